//! Taking a failing target out of picking, and letting it back by trials.

use crate::prelude::*;

/// A share that is meant as a fraction of a small number, such as 0.33 of 3,
/// may fall short of it by this much.
const ROUNDING_SLACK: f64 = 0.05;
/// A target takes the place of an ejected one only when it is this many times
/// worse, so that equally bad ones do not change places at every failure.
const WORSE_FACTOR: u32 = 2;

/// How many of `targets` may be ejected at once; at least one always stays.
pub(crate) fn max_ejected(targets: usize, share: f64) -> usize {
    let allowed = (targets as f64 * share + ROUNDING_SLACK).floor() as usize;
    allowed.min(targets.saturating_sub(1))
}

#[derive(Clone, Copy, Debug)]
struct Ejected {
    at: Millis,
    trial_at: Millis,
    trial_open: bool,
}

/// Failures of one target and what follows from them.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    consecutive_failures: u32,
    ejected: Option<Ejected>,
    interval_ms: Millis,
    readmitted_at: Option<Millis>,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            consecutive_failures: 0,
            ejected: None,
            interval_ms: Millis::ZERO,
            readmitted_at: None,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Counts a failure.
    pub(crate) fn count_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Counts as many failures at once as eject a target.
    pub(crate) fn count_unreachable(&mut self, policy: &EjectionPolicy) {
        let enough = policy.consecutive_failures;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1).max(enough);
    }

    /// An answer: the run of failures is over.
    pub(crate) fn count_success(&mut self) {
        self.consecutive_failures = 0;
    }

    pub(crate) fn should_eject(&self, policy: &EjectionPolicy) -> bool {
        self.ejected.is_none() && self.consecutive_failures >= policy.consecutive_failures
    }

    /// Whether this target is so much worse that it should be out instead.
    pub(crate) fn is_much_worse_than(&self, other: &Self) -> bool {
        self.consecutive_failures > other.consecutive_failures.saturating_mul(WORSE_FACTOR)
    }

    pub(crate) fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Takes the target out. Failing again soon after a return doubles the
    /// time, so that a target which passes single trials but fails under load
    /// does not swing in and out at the shortest interval.
    pub(crate) fn eject(&mut self, policy: &EjectionPolicy, now: Millis) {
        let relapsed = self
            .readmitted_at
            .is_some_and(|at| now.since(at) < self.interval_ms);
        self.interval_ms = if relapsed {
            doubled(self.interval_ms, policy)
        } else {
            policy.base_ejection_ms
        };
        self.ejected = Some(Ejected {
            at: now,
            trial_at: now + self.interval_ms,
            trial_open: false,
        });
    }

    /// Brings the target back into picking.
    pub(crate) fn readmit(&mut self, now: Millis) {
        self.ejected = None;
        self.readmitted_at = Some(now);
    }

    /// When the next trial may start; `None` while one is open.
    pub(crate) fn trial_at(&self) -> Option<Millis> {
        let ejected = self.ejected?;
        (!ejected.trial_open).then_some(ejected.trial_at)
    }

    pub(crate) fn start_trial(&mut self) {
        if let Some(ejected) = &mut self.ejected {
            ejected.trial_open = true;
        }
    }

    /// The trial failed: the next one is twice as far away.
    pub(crate) fn fail_trial(&mut self, policy: &EjectionPolicy, now: Millis) {
        self.interval_ms = doubled(self.interval_ms, policy);
        self.postpone_trial(now);
    }

    /// The trial told nothing: another after the same time.
    pub(crate) fn postpone_trial(&mut self, now: Millis) {
        if let Some(ejected) = &mut self.ejected {
            ejected.trial_open = false;
            ejected.trial_at = now + self.interval_ms;
        }
    }

    /// Whether an attempt started then tells about the time after ejection.
    pub(crate) fn was_ejected_before(&self, started_at: Millis) -> bool {
        self.ejected.is_some_and(|ejected| started_at > ejected.at)
    }
}

fn doubled(interval_ms: Millis, policy: &EjectionPolicy) -> Millis {
    (interval_ms + interval_ms).min(policy.max_ejection_ms)
}
