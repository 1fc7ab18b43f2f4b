//! Which calls a slot is kept for while more come than a target can run.

use std::collections::BTreeMap;

use crate::admission::GateCall;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Run times spread: with so many expected run times left of its objective, a call is
/// in time nine times in ten, and more does not help it.
const SAFE_RUN_TIMES: f64 = 1.45;
/// Below this chance hardly any call is in time, so that all of them are alike.
const MIN_CHANCE: f64 = 0.4;
/// Calls whose chances differ by less are alike. Newcomers find one another's slots
/// within some tens of milliseconds, about a tenth of the objectives in use.
const CHANCE_TOLERANCE: f64 = 0.1;
/// A slot is kept for the calls that were turned away for this part of their run time.
/// While there are such calls they ask many times as often; when there are no more, no
/// more of the slot than this is lost.
const HOLD_DIVISOR: u64 = 4;

/// How likely a call is to meet its objective if it starts now, beside a newcomer of
/// its kind: 1 for the newcomer, and for whoever is as sure to be in time.
///
/// Compared with their own newcomers, kinds with a tight objective do not give way to
/// others for good.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Chance(f64);

impl Chance {
    /// The chance of a call that takes `run_ms` at the present speed of the target.
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

/// The best chances that a gate has just turned away for want of a slot, by rank.
///
/// Failure answered: more calls come than all targets can run. All of them ask again
/// and again, so a slot that comes free goes to any of them, mostly to one that has
/// waited long, or was refused before, and will be late. Targets are busy all the time,
/// and half of what they run is late. So while calls with a good chance are turned
/// away, those with less of a chance are turned away too.
///
/// With five calls for three that can be run, each asking every 12 ms for 160 ms and
/// coming back once, 981 of 981 runs in ten seconds are in time, and 62 of 981 without
/// this (by the test of admission in an overload).
#[derive(Debug, Default)]
pub struct Contention {
    by_priority: BTreeMap<u8, RejectedCalls>,
}

impl Contention {
    /// A call of this rank (0 goes first) was turned away for want of a slot.
    pub fn note_rejected(&mut self, priority: u8, chance: Chance, run_ms: Millis, now: Millis) {
        let rejected = self
            .by_priority
            .get(&priority)
            .filter(|rejected| now < rejected.until);
        if rejected.is_some_and(|rejected| rejected.chance > chance) {
            return;
        }
        let until = now + Millis(run_ms.0 / HOLD_DIVISOR);
        self.by_priority
            .insert(priority, RejectedCalls { chance, until });
    }

    /// Whether a call has to leave its slot to others of its rank or a higher one.
    #[must_use]
    pub fn must_yield(&self, priority: u8, chance: Chance, now: Millis) -> bool {
        for rejected in self
            .by_priority
            .range(..=priority)
            .map(|(_, rejected)| rejected)
        {
            if now < rejected.until && rejected.chance.0 - chance.0 > CHANCE_TOLERANCE {
                return true;
            }
        }
        false
    }
}
