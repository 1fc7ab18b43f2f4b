//! Records of non-idempotent calls, so that each runs at most once.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;

use super::{EventSink, GateEvent};
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// A record is kept for this long after its call's deadline. The entry queries it
/// at the latest when it detects a dead link, about a second after the link broke.
const RECORD_RETENTION_MS: Millis = Millis(5_000);
/// A fenced key is refused for this long. A late copy of its call can only come
/// from a socket buffer of a paused process or of a bad link.
const FENCE_RETENTION_MS: Millis = Millis::from_secs(60);

/// Maximum number of expired records that one call removes. It is more than the one
/// record that a call adds, so that records do not accumulate, and small, because
/// the caller waits meanwhile. Scanning all records once a second made one payment
/// in a thousand wait 3 to 5 ms at 1,000 per second
/// (`hornbeamhitch-overhead --routed`).
const MAX_EXPIRED_PER_CALL: usize = 16;

/// The state of a key that an entry has queried.
#[derive(Debug)]
pub(super) enum FenceResult {
    /// The call had not started and never will.
    NeverStarts,
    /// The call is running; its outcome will also go to the sink of the query.
    Running,
    /// The call has ended with this event.
    Ended(GateEvent),
}

/// What a record knows about its call.
enum Phase {
    /// The call runs; the sinks receive its outcome too.
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

/// Records by call key.
///
/// If a link breaks during a payment, the entry cannot tell whether the payment ran.
/// A retry might run it twice, and giving up would leave the caller without the
/// outcome. With the record the entry can query it: a key that has not started is
/// fenced, and a call that runs or has run reports its outcome.
#[derive(Debug)]
pub(super) struct Records {
    by_key: HashMap<CallKey, Phase>,
    /// The keys in the order in which their records expire.
    by_expiry: BTreeSet<(Millis, CallKey)>,
    /// The keys of calls that were answered, oldest first. Some may have expired.
    answered: VecDeque<CallKey>,
    /// Length of the bodies of all recorded answers.
    answer_bytes: u64,
    max_answer_bytes: u64,
}

impl Records {
    /// Creates an empty table that keeps this many bytes of answers.
    pub(super) fn new(max_answer_bytes: u64) -> Self {
        Self {
            by_key: HashMap::new(),
            by_expiry: BTreeSet::new(),
            answered: VecDeque::new(),
            answer_bytes: 0,
            max_answer_bytes,
        }
    }

    /// Number of records.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Records the start of a call; returns false if its key was fenced or the call has
    /// already started.
    pub(super) fn start(&mut self, key: CallKey, deadline_at: Millis, now: Millis) -> bool {
        self.remove_expired(now);
        if self.by_key.contains_key(&key) {
            return false;
        }
        let forget_at = deadline_at + RECORD_RETENTION_MS;
        self.insert(key, Phase::Running(Vec::new()), forget_at);
        true
    }

    /// Records how a call ended; returns the sinks of the queries that wait for it. The
    /// oldest answers are dropped for it if their bodies become too long.
    pub(super) fn end(&mut self, key: CallKey, event: GateEvent) -> Vec<Arc<EventSink>> {
        let Some(phase) = self.by_key.get_mut(&key) else {
            return Vec::new();
        };
        self.answer_bytes += body_bytes(&event);
        if let GateEvent::Answered { .. } = event {
            self.answered.push_back(key);
        }
        let before = std::mem::replace(phase, Phase::Ended(event));
        self.drop_oldest_answers();
        match before {
            Phase::Running(watchers) => watchers,
            Phase::Ended(event) => {
                self.answer_bytes -= body_bytes(&event);
                Vec::new()
            }
            Phase::Fenced => Vec::new(),
        }
    }

    /// Replaces the oldest answers while too many bytes are recorded. Who queries such a call
    /// later learns that it may have run.
    fn drop_oldest_answers(&mut self) {
        while self.answer_bytes > self.max_answer_bytes {
            let Some(key) = self.answered.pop_front() else {
                return;
            };
            if let Some(Phase::Ended(event)) = self.by_key.get_mut(&key) {
                self.answer_bytes -= body_bytes(event);
                *event = GateEvent::Ended(CallEnd::Broken);
            }
        }
    }

    /// Returns the state of a key and fences it if its call has not started.
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

    /// Removes expired records, at most [`MAX_EXPIRED_PER_CALL`].
    fn remove_expired(&mut self, now: Millis) {
        for _ in 0..MAX_EXPIRED_PER_CALL {
            let Some((forget_at, key)) = self.by_expiry.first().copied() else {
                return;
            };
            if now < forget_at {
                return;
            }
            self.by_expiry.pop_first();
            if let Some(Phase::Ended(event)) = self.by_key.remove(&key) {
                self.answer_bytes -= body_bytes(&event);
            }
            while let Some(oldest) = self.answered.front()
                && !self.by_key.contains_key(oldest)
            {
                self.answered.pop_front();
            }
        }
    }
}

/// Length of the body that an event holds.
fn body_bytes(event: &GateEvent) -> u64 {
    match event {
        GateEvent::Answered { body, .. } => body.len() as u64,
        _ => 0,
    }
}
