//! The calls that run in the target, and those that ended a short time ago without an answer.

use std::collections::BTreeMap;

use hornbeamhitch_dispatch::faults::crashes::CrashedRun;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Time for which a call that ended without an answer counts as in flight. Its caller may
/// have left, or its connection may have closed, just before the target crashed.
const UNANSWERED_RETENTION_MS: Millis = Millis(250);

/// What the gate records about a call while it runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningCall {
    pub(super) fingerprint: u64,
    /// Probability in percent that this run repeats an earlier one.
    pub(super) repeated_percent: u8,
    /// Whether the request runs as a trial.
    pub(super) is_trial: bool,
    /// Whether the target may have received the request.
    pub(super) is_sent: bool,
}

/// The calls that run in the target.
#[derive(Debug, Default)]
pub(super) struct RunningCalls {
    calls: BTreeMap<u64, RunningCall>,
    /// Calls that ended without an answer, and when.
    unanswered: Vec<(RunningCall, Millis)>,
    last_number: u64,
}

impl RunningCalls {
    /// Adds a call and returns its number.
    pub(super) fn add(&mut self, call: RunningCall) -> u64 {
        self.last_number += 1;
        self.calls.insert(self.last_number, call);
        self.last_number
    }

    /// Records that the target may have received a call's request.
    pub(super) fn note_sent(&mut self, number: u64) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.is_sent = true;
        }
    }

    /// Removes a call that the target has answered.
    pub(super) fn finish(&mut self, number: u64) {
        self.calls.remove(&number);
    }

    /// Removes a call that ended without an answer, unless it was removed before. Returns
    /// whether the target may still work on it.
    pub(super) fn abandon(&mut self, number: u64, now: Millis) -> bool {
        self.unanswered
            .retain(|(_, ended_at)| now.since(*ended_at) < UNANSWERED_RETENTION_MS);
        let Some(call) = self.calls.remove(&number) else {
            return false;
        };
        if call.is_sent {
            self.unanswered.push((call, now));
        }
        call.is_sent
    }

    /// Removes and returns all calls that were sent and not answered, after a crash.
    pub(super) fn take_unanswered(&mut self, now: Millis) -> Vec<CrashedRun> {
        let mut taken: Vec<CrashedRun> = Vec::new();
        for (call, ended_at) in self.unanswered.drain(..) {
            if now.since(ended_at) < UNANSWERED_RETENTION_MS {
                taken.push(crashed_run(&call));
            }
        }
        self.calls.retain(|_, call| {
            if call.is_sent {
                taken.push(crashed_run(call));
            }
            !call.is_sent
        });
        taken
    }

    /// Returns the mean share of the calls that repeats earlier runs, in percent.
    pub(super) fn repeated_percent(&self) -> u8 {
        let mut sum = 0;
        for call in self.calls.values() {
            sum += usize::from(call.repeated_percent);
        }
        let mean = sum / self.calls.len().max(1);
        u8::try_from(mean).unwrap_or(u8::MAX)
    }
}

const fn crashed_run(call: &RunningCall) -> CrashedRun {
    CrashedRun {
        fingerprint: call.fingerprint,
        was_trial: call.is_trial,
    }
}
