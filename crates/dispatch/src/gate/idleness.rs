//! Decides whether the target certainly runs nothing.

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Time after a complete answer for which the target does not count as idle. After a pause
/// of the process, the answer of a run may be read before a call that the run has made.
const SETTLE_MS: Millis = Millis(10);
/// Minimum time that a target may go on with a run that ended without a complete answer. A
/// run past its deadline may still wait for a call that it has made.
const MIN_ABANDONED_MS: Millis = Millis(500);
/// Maximum time that a target is assumed to go on with such a run.
const MAX_ABANDONED_MS: Millis = Millis(5_000);

/// When the target may still work on runs that the gate no longer counts.
///
/// Guards against taking a nested call for a caller's. A run that was cancelled, timed out
/// or broke off has left its slot, but its target may go on with it and make a call. The
/// same applies to the runs of an earlier process of this node.
#[derive(Clone, Copy, Debug)]
pub struct TargetIdleness {
    busy_until: Millis,
}

impl TargetIdleness {
    /// Creates the state of a gate whose process started at `started_at`.
    #[must_use]
    pub fn new(started_at: Millis) -> Self {
        Self {
            busy_until: started_at + MAX_ABANDONED_MS,
        }
    }

    /// Records that the target has answered a run.
    pub fn note_answered(&mut self, now: Millis) {
        self.busy_until = self.busy_until.max(now + SETTLE_MS);
    }

    /// Records that a run ended with an error, or without an answer, so that the target may
    /// go on with it until its deadline.
    pub fn note_abandoned(&mut self, deadline_at: Millis, now: Millis) {
        let until = deadline_at.clamp(now + MIN_ABANDONED_MS, now + MAX_ABANDONED_MS);
        self.busy_until = self.busy_until.max(until);
    }

    /// Returns whether the target runs nothing, given the number of calls at its gate.
    #[must_use]
    pub fn is_idle(&self, calls: usize, now: Millis) -> bool {
        calls == 0 && now >= self.busy_until
    }
}
