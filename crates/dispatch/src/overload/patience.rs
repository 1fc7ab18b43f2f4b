//! Plans how long a call may wait for a suitable target.

use crate::overload::work::WorkEstimate;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Number of mean run times that a call needs before its objective to meet it nine times
/// in ten, since run times vary.
const RUN_TIME_MARGIN: f64 = 1.45;
/// Round trip between caller and entry, which counts towards the objective as callers
/// measure it: two ways of 8 ms.
const CALLER_ROUND_TRIP_MS: Millis = Millis(16);
/// Run time in a slow spell, in percent of the usual run time.
const SLOW_SPELL_PERCENT: u32 = 500;
/// When all targets are busy (in contrast to slow), a call is refused after its objective
/// divided by this, or later, when a usual run would no longer meet the objective. The
/// caller may then retry in time.
const BUSY_WAIT_DIVISOR: u64 = 8;
/// Work is short if this many runs fit into the time until the deadline. Short work finds
/// a slot soon even in an overload, since it goes first and takes little from other work.
/// Most of it consists of calls that a target makes on behalf of its own caller; refusing
/// such a call would cost that whole request.
const SHORT_WORK_RATIO: f64 = 10.0;
/// Short work stays queued for this part of the time until its deadline, in percent. The
/// same was tried for long work and reverted: in an overload its callers were served late
/// instead of being refused and served in time on their retry.
const SHORT_BUSY_WAIT_PERCENT: u64 = 70;
/// Calls with at least this many bytes of request and answer wait for a target in the own
/// data centre as long as they can, since traffic between data centres costs.
const HEAVY_BYTES: f64 = 20_000.0;
/// Calls with at most this many bytes do not wait for a target in the own data centre:
/// sending a light request to another data centre costs less than serving it late.
const LIGHT_BYTES: f64 = 3_000.0;

/// Times up to which a call waits for which kind of target, in the entry's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitPlan {
    /// Time until which the call waits for a near target in a slow spell to recover
    /// before it is sent to far ones.
    pub near_until: Millis,
    /// Time until which only targets of usual speed are used, because the objective can
    /// still be met.
    pub fast_until: Millis,
    /// Time by which a run must end to meet the objective.
    pub objective_at: Millis,
    /// Time that a new call of the same route has to meet the objective.
    pub whole_objective_ms: Millis,
    /// Time from which a slow target is better than none; [`Millis::MAX`] if a slow run
    /// would not end before the deadline.
    pub slow_from: Millis,
    /// Time from which the call is refused if all targets are busy.
    pub busy_until: Millis,
    /// Latest start of a run that ends before the deadline.
    pub last_start: Millis,
}

impl WaitPlan {
    /// Plans a call that arrived at `arrived` and must end by `deadline_at`.
    #[must_use]
    pub fn plan(
        route: &Route,
        work: &WorkEstimate,
        request_bytes: usize,
        arrived: Millis,
        deadline_at: Millis,
    ) -> Self {
        let margin = run_with_margin(work.run_ms);
        let whole_objective_ms = route.objective_ms.minus(CALLER_ROUND_TRIP_MS);
        let objective_at = arrived + whole_objective_ms;
        let fast_until = Millis(objective_at.0.saturating_sub(margin.0)).max(arrived);
        let spare = fast_until.since(arrived);
        let bytes = work.answer_bytes + request_bytes as f64;
        let near_share = ((bytes - LIGHT_BYTES) / (HEAVY_BYTES - LIGHT_BYTES)).clamp(0.0, 1.0);
        let near_until = arrived + Millis((spare.0 as f64 * near_share) as u64);
        let last_start = Millis(deadline_at.0.saturating_sub(work.run_at(100).0)).max(arrived);
        let slow_start = deadline_at.0.checked_sub(work.run_at(SLOW_SPELL_PERCENT).0);
        let slow_from = match slow_start {
            Some(at) if at >= arrived.0 => Millis(at).max(fast_until).min(last_start),
            _ => Millis::MAX,
        };
        let time_ms = deadline_at.since(arrived).0;
        let is_short = work.samples > 0 && work.run_ms * SHORT_WORK_RATIO <= time_ms as f64;
        let busy_for = match is_short {
            true => time_ms * SHORT_BUSY_WAIT_PERCENT / 100,
            false => route.objective_ms.0 / BUSY_WAIT_DIVISOR,
        };
        let busy_until = arrived + Millis(busy_for);
        Self {
            near_until,
            fast_until,
            objective_at,
            whole_objective_ms,
            slow_from,
            busy_until: busy_until.max(fast_until).min(last_start),
            last_start,
        }
    }

    /// Adjusts the plan for a caller that was refused before and has waited for
    /// `waited_ms`: its objective counts from its first request.
    ///
    /// The time that it may wait now is unchanged. Most callers that retry already miss
    /// their objective; if they were refused at once, they would never be served.
    #[must_use]
    pub fn after_waiting(self, waited_ms: Millis) -> Self {
        Self {
            objective_at: self.objective_at.minus(waited_ms),
            ..self
        }
    }

    /// Adjusts the plan for the objective of a call that waits behind this one on its
    /// connection.
    ///
    /// The call then waits for near and fast targets only as long as the earlier objective
    /// allows, but is refused no sooner than on its own. An objective that a run would no
    /// longer meet changes nothing: gates would place the call behind those that still
    /// meet theirs.
    #[must_use]
    pub fn with_objective(self, objective_at: Millis, work: &WorkEstimate, now: Millis) -> Self {
        let fast_until = objective_at.minus(run_with_margin(work.run_ms));
        if objective_at >= self.objective_at || fast_until <= now {
            return self;
        }
        Self {
            near_until: self.near_until.min(fast_until),
            fast_until: self.fast_until.min(fast_until),
            objective_at,
            ..self
        }
    }
}

/// Returns the time within which nine in ten runs end whose mean is `run_ms`.
#[must_use]
pub fn run_with_margin(run_ms: f64) -> Millis {
    Millis((run_ms * RUN_TIME_MARGIN) as u64)
}
