//! Charging a body while it arrives.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use hornbeamhitch_dispatch::resources::limits::ORDINARY_BODY_BYTES;

use super::{Charge, Patience, Registration, Resources};
use crate::http1::BodyMemory;

/// Step in which the charge of a body without a stated length grows.
const GROWTH_BYTES: u64 = 256 * 1024;

/// Length from which a body gets pages of its own.
const LONG_BODY_BYTES: u64 = 1024 * 1024;
/// Smallest allocation that the C library always maps on its own. Only pages that were
/// written to take memory, and all of them are given back with the body, whereas memory of
/// the heap may stay with the process.
const MAPPED_BYTES: u64 = 33 * 1024 * 1024;

/// Returns the capacity for a body of at least this length.
pub fn body_capacity(bytes: u64) -> usize {
    let capacity = match bytes >= LONG_BODY_BYTES {
        true => bytes.max(MAPPED_BYTES),
        false => bytes,
    };
    usize::try_from(capacity).expect("a body that was charged fits into memory")
}

/// The memory of one body that arrives. A body of up to [`ORDINARY_BODY_BYTES`] is part of
/// its request's own charge.
#[derive(Debug)]
pub struct ChargedBody<'a> {
    resources: &'a Arc<Resources>,
    patience: Patience,
    /// The connection on which the body arrives.
    sender: Option<&'a Registration>,
    charge: Option<Charge>,
    /// Number of bytes that closing the sender's connection is known to release.
    reported_bytes: u64,
}

impl<'a> ChargedBody<'a> {
    /// Charges nothing yet.
    #[must_use]
    pub const fn new(resources: &'a Arc<Resources>, patience: Patience) -> Self {
        Self {
            resources,
            patience,
            sender: None,
            charge: None,
            reported_bytes: 0,
        }
    }

    /// Records the progress of the body at the connection on which it arrives.
    #[must_use]
    pub const fn from_connection(mut self, sender: &'a Registration) -> Self {
        self.sender = Some(sender);
        self
    }

    fn held_bytes(&self) -> u64 {
        self.charge.as_ref().map_or(0, |charge| charge.bytes)
    }
}

impl BodyMemory for ChargedBody<'_> {
    async fn make_room(&mut self, bytes: u64) -> bool {
        if bytes <= ORDINARY_BODY_BYTES || bytes <= self.held_bytes() {
            return true;
        }
        let missing = bytes - self.held_bytes();
        let missing = match self.charge {
            None => missing,
            Some(_) => missing.max(GROWTH_BYTES),
        };
        let Some(more) = self.resources.hold_body(missing, self.patience).await else {
            return false;
        };
        if let Some(sender) = self.sender {
            sender.add_held(missing);
            self.reported_bytes += missing;
        }
        match &mut self.charge {
            Some(charge) => charge.merge(more),
            None => self.charge = Some(more),
        }
        true
    }

    fn capacity(&self, bytes: u64) -> usize {
        body_capacity(bytes)
    }

    fn note_received(&mut self, bytes: u64) {
        if let Some(sender) = self.sender {
            sender.set_moved(bytes);
        }
    }

    fn finish(mut self, body: BytesMut) -> Bytes {
        match self.charge.take() {
            Some(charge) => charge.attach(body),
            None => body.freeze(),
        }
    }
}

impl Drop for ChargedBody<'_> {
    fn drop(&mut self) {
        if let Some(sender) = self.sender {
            sender.remove_held(self.reported_bytes);
        }
    }
}
