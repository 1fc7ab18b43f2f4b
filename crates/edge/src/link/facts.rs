//! Transfer of the state that a node without configuration receives from a peer.

use std::time::Duration;

use bytes::Bytes;
use hornbeamhitch_dispatch::routing::routes::parts::digest;
use hornbeamhitch_wire::link::{MAX_FRAME_BYTES, ToGate};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::framed::{PartialBody, next_part};
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Largest encoded state in a single frame, which leaves room for the message around it.
const MAX_SINGLE_BYTES: usize = MAX_FRAME_BYTES - 1024;
/// Largest encoded state that a node accepts.
const MAX_WHOLE_BYTES: u64 = 32 * 1024 * 1024;

/// Sends encoded facts as one frame, or in parts between which other frames may be sent.
pub(super) fn send(encoded: Bytes, mut push: impl FnMut(ToGate)) {
    if encoded.len() <= MAX_SINGLE_BYTES {
        return push(ToGate::Facts(encoded));
    }
    let (digest, whole_bytes) = (digest(&encoded), encoded.len() as u64);
    let mut rest = encoded;
    while !rest.is_empty() {
        push(ToGate::FactsPart {
            digest,
            whole_bytes,
            part: next_part(&mut rest),
        });
    }
}

/// Facts that arrive in parts over one link.
#[derive(Debug, Default)]
pub(super) struct PartialFacts(Option<(PartDigest, PartialBody)>);

impl PartialFacts {
    /// Adds a part, and returns the facts when they are complete. Parts of other facts than
    /// before replace those, and facts that do not match their digest are dropped.
    pub(super) fn add(
        &mut self,
        whole_digest: PartDigest,
        whole_bytes: u64,
        part: &[u8],
    ) -> Option<Bytes> {
        if whole_bytes > MAX_WHOLE_BYTES {
            log::warn!("{whole_bytes} bytes of facts exceed the limit of {MAX_WHOLE_BYTES}");
            return None;
        }
        if self
            .0
            .as_ref()
            .is_none_or(|(known, _)| *known != whole_digest)
        {
            self.0 = Some((whole_digest, PartialBody::new(whole_bytes, whole_bytes)));
        }
        let (_, body) = self.0.as_mut()?;
        if let Err(fault) = body.push(part) {
            log::warn!("facts received from another node are longer than stated: {fault}");
            self.0 = None;
            return None;
        }
        if !body.is_complete() {
            return None;
        }
        let (_, body) = self.0.take()?;
        let encoded = body.into_bytes();
        if digest(&encoded) == whole_digest {
            return Some(encoded);
        }
        log::warn!("facts received from another node do not match their digest");
        None
    }
}

/// Limits requests for facts, so that a node that has none receives them from one peer at a
/// time.
#[derive(Debug, Default)]
pub struct FactsRequests {
    /// When facts were last requested, or a part of them last arrived.
    last_progress: Mutex<Option<Instant>>,
}

impl FactsRequests {
    /// Returns whether facts may be requested now, because nothing has arrived for
    /// `interval`.
    pub(super) fn begin(&self, interval: Duration) -> bool {
        let mut last_progress = self.last_progress.lock();
        if last_progress.is_some_and(|at| at.elapsed() < interval) {
            return false;
        }
        *last_progress = Some(Instant::now());
        true
    }

    pub(super) fn note_progress(&self) {
        *self.last_progress.lock() = Some(Instant::now());
    }
}
