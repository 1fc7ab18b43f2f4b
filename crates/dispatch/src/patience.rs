//! How long a call may wait for a target in good shape.

use crate::prelude::*;
use crate::work::WorkEstimate;

#[cfg(test)]
mod tests;

/// Run times spread: a call that has this many mean run times left before its
/// objective makes it nine times in ten.
const RUN_TIME_MARGIN: f64 = 1.45;
/// Time from the caller to the entry and back that counts against the
/// objective, as callers see it: two ways of 8 ms.
const CALLER_ROUND_TRIP_MS: Millis = Millis(16);
/// A target in a slow spell takes about this many times as long.
const SLOW_SPELL_PERCENT: u32 = 500;
/// When no target has room (in contrast to being slow), a caller learns it
/// after this part of the objective or, where a usual run would still meet it,
/// when none would any more: it may come back in time.
const BUSY_WAIT_DIVISOR: u64 = 8;
/// Work that fits this often into the time that it has is short. Short work
/// finds a slot soon even in an overload, since it goes first and takes little
/// from others; mostly it is what a target asks of another one for a caller of
/// its own, and sent away it would cost that whole request ...
const SHORT_WORK_RATIO: f64 = 10.0;
/// ... so it stays in line for this part of its time. For long work the same
/// was tried and reverted: in an overload its callers were served late instead
/// of being sent away and served in time.
const SHORT_BUSY_WAIT_PERCENT: u64 = 70;
/// Requests above this size wait for a near target as long as they can ...
const HEAVY_BYTES: f64 = 20_000.0;
/// ... and those below this size are not worth waiting for it at all. Between
/// data centres, bytes cost; a light request costs less than a late one.
const LIGHT_BYTES: f64 = 3_000.0;

/// The points in time that steer one call, in the entry's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitPlan {
    /// Until then a near target in a slow spell is waited for before far ones
    /// are asked.
    pub near_until: Millis,
    /// Until then only targets of usual speed are taken: the objective can
    /// still be met.
    pub fast_until: Millis,
    /// A run that ends by then meets the objective.
    pub objective_at: Millis,
    /// The span in which a newcomer's run has to end for that.
    pub whole_objective_ms: Millis,
    /// From then on a slow target is better than none; [`Millis::MAX`] when a
    /// slow run would not end before the deadline.
    pub slow_from: Millis,
    /// A call that finds no room anywhere is refused from then on.
    pub busy_until: Millis,
    /// No run that starts later ends before the deadline.
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
        let margin = Millis((work.run_ms * RUN_TIME_MARGIN) as u64);
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

    /// The same for a caller that was refused before and had waited this long: its
    /// objective counts from its first request.
    ///
    /// How long it may wait now stays as it was. Most who come back are late already,
    /// and sent away at once they would be refused for good.
    #[must_use]
    pub fn after_waiting(self, waited_ms: Millis) -> Self {
        Self {
            objective_at: self.objective_at.minus(waited_ms),
            ..self
        }
    }
}
