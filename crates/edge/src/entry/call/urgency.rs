//! Passes on the urgency of a call to those before it on its connection, and places the
//! call with the urgency that it has inherited itself.

use hornbeamhitch_dispatch::overload::OverloadPart;
use hornbeamhitch_dispatch::overload::patience::run_with_margin;
use hornbeamhitch_dispatch::overload::urgency::{HedgeTimes, Urgency};

use super::{CallDriver, MIN_STUCK_AFTER_MS, STUCK_AFTER_RUNS};
use crate::prelude::*;

impl CallDriver<'_> {
    /// Raises the urgency of the calls before this one on its connection.
    pub(super) fn raise_calls_before(&self) {
        if !self.request.on_connection.waits() {
            return;
        }
        let state = self.entry.state.lock();
        let is_in_force = state.admission.has(OverloadPart::AnswerOrder);
        drop(state);
        if is_in_force {
            self.request.on_connection.raise_before(Urgency {
                priority: self.own_priority(),
                objective_at: self.own_wait_plan.objective_at,
            });
        }
    }

    /// Returns the priority of the call without what it has inherited.
    fn own_priority(&self) -> u8 {
        match self.request.admitted.class {
            LoadClass::NESTED => 0,
            _ => self.request.route.priority,
        }
    }

    /// Returns the priority with which gates place the call.
    pub(super) fn priority(&self) -> u8 {
        let own = self.own_priority();
        self.inherited
            .map_or(own, |inherited| inherited.priority.min(own))
    }

    /// Adopts the urgency of the calls that wait behind this one.
    pub(super) fn adopt_inherited(&mut self, now: Millis) {
        let Some(inherited) = self.request.on_connection.inherited() else {
            return;
        };
        self.inherited = Some(inherited);
        self.wait_plan = self
            .own_wait_plan
            .with_objective(inherited.objective_at, &self.work, now);
    }

    /// Brings the hedge of the current run forward after a call behind this one has come.
    pub(super) fn bring_hedge_forward(&mut self) {
        self.adopt_inherited(self.entry.now());
        let Some(hedge_at) = self.hedge_at else {
            return;
        };
        for attempt in &self.attempts {
            let Some((started_at, slowness)) = attempt.started else {
                continue;
            };
            if attempt.guard.is_some() {
                self.hedge_at = Some(hedge_at.min(self.hedge_time(started_at, slowness)));
            }
        }
    }

    /// Returns when a run is hedged that started at `started_at` in a target of this
    /// slowness.
    pub(super) fn hedge_time(&self, started_at: Millis, slowness_percent: u32) -> Millis {
        let run_ms = self.work.run_at(slowness_percent).0 as f64;
        let usual_ms = Millis((run_ms * STUCK_AFTER_RUNS) as u64).max(MIN_STUCK_AFTER_MS);
        let usual = started_at + usual_ms;
        let Some(inherited) = self.inherited else {
            return usual;
        };
        let times = HedgeTimes {
            earliest: started_at + run_with_margin(run_ms).max(MIN_STUCK_AFTER_MS),
            usual,
        };
        let hedge_run_ms = run_with_margin(self.work.run_ms);
        times.with_objective(inherited.objective_at, hedge_run_ms)
    }
}
