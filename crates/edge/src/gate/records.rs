//! What a gate remembers of calls that may run only once.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use super::{EventSink, GateEvent};
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// A record is kept this long after its call's deadline. Its entry asks at the
/// latest when its link is found dead, about a second after it broke.
const RECORD_RETENTION_MS: Millis = Millis(5_000);
/// A key that was fenced is refused for this long: a late copy of its call can
/// only be one that lay in a socket buffer of a paused process or a bad link.
const FENCE_RETENTION_MS: Millis = Millis::from_secs(60);

/// Records that a call lets go of at most. More than the one that it adds, so
/// that they do not pile up; few, because its caller waits meanwhile. Looking
/// through all of them once a second made one payment in a thousand wait 3 to 5 ms
/// at 1,000 a second (`hornbeamhitch-overhead --routed`).
const MAX_EXPIRED_PER_CALL: usize = 16;

/// What is known of a key that was asked about.
#[derive(Debug)]
pub(super) enum FenceResult {
    /// It had not started and never will.
    NeverStarts,
    /// It runs; its end goes to the sink as well.
    Running,
    /// It has ended.
    Ended(GateEvent),
}

enum Phase {
    Running(Vec<Arc<EventSink>>),
    Ended(GateEvent),
    Fenced,
}

impl fmt::Debug for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running(_) => "Running",
            Self::Ended(_) => "Ended",
            Self::Fenced => "Fenced",
        })
    }
}

/// Records by key.
///
/// Failure answered: the link breaks while a payment is on its way, and the
/// entry cannot tell whether it ran. Sent again, it might run twice; given up,
/// the caller learns nothing. The record lets the entry ask: a key that has not
/// started is fenced for good, one that runs or has run gives its answer.
#[derive(Debug, Default)]
pub(super) struct Records {
    by_key: HashMap<CallKey, Phase>,
    /// The keys by when they may be forgotten.
    by_expiry: BTreeSet<(Millis, CallKey)>,
}

impl Records {
    /// Records held.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Notes that a call starts; false when its key was fenced or has started
    /// before.
    pub(super) fn start(&mut self, key: CallKey, deadline_at: Millis, now: Millis) -> bool {
        self.remove_expired(now);
        if self.by_key.contains_key(&key) {
            return false;
        }
        let forget_at = deadline_at + RECORD_RETENTION_MS;
        self.insert(key, Phase::Running(Vec::new()), forget_at);
        true
    }

    /// Notes how a call ended; returns who else asked for it.
    pub(super) fn end(&mut self, key: CallKey, event: GateEvent) -> Vec<Arc<EventSink>> {
        let Some(phase) = self.by_key.get_mut(&key) else {
            return Vec::new();
        };
        match std::mem::replace(phase, Phase::Ended(event)) {
            Phase::Running(watchers) => watchers,
            Phase::Ended(_) | Phase::Fenced => Vec::new(),
        }
    }

    /// Asks about a key.
    pub(super) fn fence(
        &mut self,
        key: CallKey,
        sink: &Arc<EventSink>,
        now: Millis,
    ) -> FenceResult {
        let Some(phase) = self.by_key.get_mut(&key) else {
            self.insert(key, Phase::Fenced, now + FENCE_RETENTION_MS);
            return FenceResult::NeverStarts;
        };
        match phase {
            Phase::Fenced => FenceResult::NeverStarts,
            Phase::Ended(event) => FenceResult::Ended(event.clone()),
            Phase::Running(watchers) => {
                watchers.push(Arc::clone(sink));
                FenceResult::Running
            }
        }
    }

    fn insert(&mut self, key: CallKey, phase: Phase, forget_at: Millis) {
        self.by_key.insert(key, phase);
        self.by_expiry.insert((forget_at, key));
    }

    /// Forgets some of those whose time has come.
    fn remove_expired(&mut self, now: Millis) {
        for _ in 0..MAX_EXPIRED_PER_CALL {
            let Some((forget_at, key)) = self.by_expiry.first().copied() else {
                return;
            };
            if now < forget_at {
                return;
            }
            self.by_expiry.pop_first();
            self.by_key.remove(&key);
        }
    }
}
