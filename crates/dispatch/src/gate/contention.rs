//! Decides which calls get the free slots while more calls come than a target can run.

use std::collections::BTreeMap;

use crate::gate::admission::GateCall;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Number of expected run times left before its objective with which a call meets the
/// objective nine times in ten. Run times vary; more time hardly improves the chance.
const SAFE_RUN_TIMES: f64 = 1.45;
/// Lower bound of all chances. Below it hardly any call is in time, so such calls are
/// treated as equal.
const MIN_CHANCE: f64 = 0.4;
/// Difference in chance up to which calls are treated as equal. New calls find each
/// other's slots within some tens of milliseconds, which is about a tenth of the
/// objectives in use.
const CHANCE_TOLERANCE: f64 = 0.1;
/// Slots are held for rejected calls for their run time divided by this. While there are
/// such calls, they retry many times within this time; when there are none left, no more
/// than this part of the slot's time is lost.
const HOLD_DIVISOR: u64 = 4;

/// Chance of a call to meet its objective if it starts now, relative to a new call of the
/// same route: 1 for a new call and for any call that is as sure to be in time.
///
/// Calls are compared with new calls of their own route, so routes with a tight objective
/// do not always yield to others.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Chance(f64);

impl Chance {
    /// Returns the chance of a call that takes `run_ms` at the present speed of the
    /// target.
    #[must_use]
    pub fn of(call: &GateCall, run_ms: Millis, now: Millis) -> Self {
        let run_ms = run_ms.0.max(1) as f64;
        let remaining = call.objective_at.since(now).0 as f64 / run_ms;
        let whole = call.whole_objective_ms.0 as f64 / run_ms;
        let sufficient = whole.min(SAFE_RUN_TIMES);
        if remaining >= sufficient {
            return Self(1.0);
        }
        Self((remaining / sufficient).max(MIN_CHANCE))
    }
}

#[derive(Clone, Copy, Debug)]
struct RejectedCalls {
    chance: Chance,
    until: Millis,
}

/// The best chance among the calls that a gate has just rejected for lack of a slot, by
/// priority.
///
/// Guards against an overload in which targets are always busy and half of their runs are
/// late. When more calls come than all targets can run, all of them retry again and
/// again. A free slot goes to any of them, mostly to one that has waited long or was
/// refused before, and that will be late. So while calls with a good chance are rejected,
/// calls with a lower chance are rejected too.
///
/// In the test of admission in an overload, with five calls for every three that can run,
/// each retrying every 12 ms for 160 ms and coming back once, 981 of 981 runs in ten
/// seconds are in time. Without this rule, 62 of 981 are.
#[derive(Debug, Default)]
pub struct Contention {
    by_priority: BTreeMap<u8, RejectedCalls>,
}

impl Contention {
    /// Records that a call of this priority (0 is the highest) was rejected for lack of a
    /// slot.
    pub fn note_rejected(&mut self, priority: u8, chance: Chance, run_ms: Millis, now: Millis) {
        let best = self
            .by_priority
            .get(&priority)
            .filter(|best| now < best.until);
        if best.is_some_and(|best| best.chance > chance) {
            return;
        }
        let until = now + Millis(run_ms.0 / HOLD_DIVISOR);
        self.by_priority
            .insert(priority, RejectedCalls { chance, until });
    }

    /// Returns whether a call must leave its slot to calls of the same or a higher
    /// priority.
    #[must_use]
    pub fn must_yield(&self, priority: u8, chance: Chance, now: Millis) -> bool {
        for best in self.by_priority.range(..=priority).map(|(_, best)| best) {
            if now < best.until && best.chance.0 - chance.0 > CHANCE_TOLERANCE {
                return true;
            }
        }
        false
    }
}
