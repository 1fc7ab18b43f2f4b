//! Tells immediate repeats of one request from requests of different callers that have the
//! same content.

use std::collections::HashMap;

use xxhash_rust::xxh3::Xxh3;

use super::CallerId;
use crate::overload::return_schedule::RequestKey;
use crate::prelude::*;

/// Difference up to which two deadlines count as the same. Repeats that a caller sends at
/// once arrive within some milliseconds of each other.
const DEADLINE_TOLERANCE_MS: Millis = Millis(5);
/// Time after which a repeat is no immediate one. A caller that was refused returns after
/// 60 ms at the earliest, and is not to be treated as one that repeats without waiting.
const MAX_REPEAT_DELAY_MS: Millis = Millis(50);
/// Mean interval of requests with the same content and different deadlines below which
/// their deadlines agree by chance too often. At 200 ms, one in twenty comes within the
/// tolerance before or after another one.
const MIN_DISTINCT_INTERVAL_MS: f64 = 200.0;
/// Weight of a new interval in the moving average.
const INTERVAL_GAIN: f64 = 0.2;
/// Time after which a content without requests is forgotten.
const MAX_IDLE_MS: Millis = Millis(2_000);
/// Maximum number of contents that are remembered, some hundred for each second.
const MAX_CONTENTS: usize = 4_096;

/// The last request with some content.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastRequest {
    caller: CallerId,
    deadline_at: Millis,
    /// Arrival of the first request with this deadline.
    first_at: Millis,
    /// Arrival of the last request with this deadline.
    last_at: Millis,
    /// Mean interval between requests with different deadlines.
    mean_interval_ms: f64,
}

impl LastRequest {
    fn has_deadline_of(&self, key: RequestKey) -> bool {
        let difference_ms =
            self.deadline_at.since(key.deadline_at) + key.deadline_at.since(self.deadline_at);
        difference_ms <= DEADLINE_TOLERANCE_MS
    }

    fn is_repeated_by(&self, key: RequestKey, now: Millis) -> bool {
        self.has_deadline_of(key)
            && now.since(self.last_at) <= MAX_REPEAT_DELAY_MS
            && self.mean_interval_ms >= MIN_DISTINCT_INTERVAL_MS
    }

    /// Records a request of another caller.
    fn note_other(&mut self, caller: CallerId, key: RequestKey, now: Millis) {
        // One with the same deadline is most likely a caller that returns, which says
        // nothing about how popular the content is.
        if !self.has_deadline_of(key) {
            self.note_interval(now.since(self.first_at).0 as f64);
            self.first_at = now;
        }
        self.caller = caller;
        self.deadline_at = key.deadline_at;
        self.last_at = now;
    }

    fn note_interval(&mut self, interval_ms: f64) {
        match self.mean_interval_ms.is_finite() {
            true => self.mean_interval_ms += INTERVAL_GAIN * (interval_ms - self.mean_interval_ms),
            // This is the second request.
            false => self.mean_interval_ms = interval_ms,
        }
    }
}

/// Callers of requests that only their content identifies.
///
/// Guards against treating many callers that fetch the same page as one greedy caller.
/// Requests of one caller have the same content, the same deadline and follow each other
/// immediately. Where requests with the same content come so often that different callers
/// have the same deadline by chance, each of them counts as a caller.
#[derive(Debug, Default)]
pub(super) struct ContentCallers {
    pub(super) by_fingerprint: HashMap<u64, LastRequest>,
    /// Number of callers so far, part of their ids.
    callers: u64,
}

impl ContentCallers {
    /// Returns the caller of a request that arrives now.
    pub(super) fn caller(&mut self, key: RequestKey, now: Millis) -> CallerId {
        let known = self.by_fingerprint.get_mut(&key.fingerprint);
        if let Some(last) = known
            && last.is_repeated_by(key, now)
        {
            last.last_at = now;
            return last.caller;
        }
        let caller = self.new_caller(key.fingerprint);
        if let Some(last) = self.by_fingerprint.get_mut(&key.fingerprint) {
            last.note_other(caller, key, now);
        } else if self.has_room(now) {
            let request = LastRequest {
                caller,
                deadline_at: key.deadline_at,
                first_at: now,
                last_at: now,
                mean_interval_ms: f64::INFINITY,
            };
            self.by_fingerprint.insert(key.fingerprint, request);
        }
        caller
    }

    fn new_caller(&mut self, fingerprint: u64) -> CallerId {
        self.callers += 1;
        let mut hash = Xxh3::new();
        hash.update(&fingerprint.to_le_bytes());
        hash.update(&self.callers.to_le_bytes());
        CallerId(hash.digest())
    }

    fn has_room(&mut self, now: Millis) -> bool {
        if self.by_fingerprint.len() >= MAX_CONTENTS {
            self.by_fingerprint
                .retain(|_, last| now.since(last.last_at) <= MAX_IDLE_MS);
        }
        self.by_fingerprint.len() < MAX_CONTENTS
    }
}
