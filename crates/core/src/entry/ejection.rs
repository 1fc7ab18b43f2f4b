//! Ejection of failing targets, and their readmission after a successful trial.

use crate::prelude::*;

/// Tolerance for shares that approximate a fraction of a small number, such as
/// 0.33 of 3.
const ROUNDING_SLACK: f64 = 0.05;
/// A target replaces an ejected one only if it has more than this many times
/// its failures, so that equally bad targets do not alternate at every failure.
const WORSE_FACTOR: u32 = 2;

/// Returns how many of `targets` may be ejected at once. At least one always
/// stays in use.
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

/// The failures of one target and its ejection state.
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

    /// Counts as many failures at once as are needed to eject the target.
    pub(crate) fn count_unreachable(&mut self, policy: &EjectionPolicy) {
        let enough = policy.consecutive_failures;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1).max(enough);
    }

    /// Ends the run of consecutive failures after a successful answer.
    pub(crate) fn count_success(&mut self) {
        self.consecutive_failures = 0;
    }

    pub(crate) fn should_eject(&self, policy: &EjectionPolicy) -> bool {
        self.ejected.is_none() && self.consecutive_failures >= policy.consecutive_failures
    }

    /// Whether this target is so much worse than `other` that it should be
    /// ejected instead.
    pub(crate) fn is_much_worse_than(&self, other: &Self) -> bool {
        self.consecutive_failures > other.consecutive_failures.saturating_mul(WORSE_FACTOR)
    }

    pub(crate) fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Ejects the target. The ejection time doubles if the target fails again
    /// soon after its readmission. Otherwise a target that passes single trials
    /// but fails under load would alternate at the shortest interval.
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

    /// Ends the ejection.
    pub(crate) fn readmit(&mut self, now: Millis) {
        self.ejected = None;
        self.readmitted_at = Some(now);
    }

    /// Returns when the next trial may start; `None` while one is in progress.
    pub(crate) fn trial_at(&self) -> Option<Millis> {
        let ejected = self.ejected?;
        (!ejected.trial_open).then_some(ejected.trial_at)
    }

    pub(crate) fn start_trial(&mut self) {
        if let Some(ejected) = &mut self.ejected {
            ejected.trial_open = true;
        }
    }

    /// Records a failed trial and doubles the time to the next one.
    pub(crate) fn fail_trial(&mut self, policy: &EjectionPolicy, now: Millis) {
        self.interval_ms = doubled(self.interval_ms, policy);
        self.postpone_trial(now);
    }

    /// Records an inconclusive trial. The next one follows after the same
    /// interval.
    pub(crate) fn postpone_trial(&mut self, now: Millis) {
        if let Some(ejected) = &mut self.ejected {
            ejected.trial_open = false;
            ejected.trial_at = now + self.interval_ms;
        }
    }

    /// Whether an attempt that started at this time was sent after the
    /// ejection.
    pub(crate) fn was_ejected_before(&self, started_at: Millis) -> bool {
        self.ejected.is_some_and(|ejected| started_at > ejected.at)
    }
}

fn doubled(interval_ms: Millis, policy: &EjectionPolicy) -> Millis {
    (interval_ms + interval_ms).min(policy.max_ejection_ms)
}
