//! Limits the attempts of a call while its service is overloaded.
//!
//! In an overload most gates are full. A call that tries one after the other costs each of them
//! work and is refused late. So it tries few, and waits in the queue of the last one.

use hornbeamhitch_dispatch::placement::order::{self, Candidate};

use super::CallDriver;
use super::selection::Step;
use crate::prelude::*;

/// Number of gates without capacity after which the call is refused.
const MAX_FULL_GATES: u32 = 3;

impl CallDriver<'_> {
    /// Whether the call tries few gates only. A call that is made by a run does not, since the
    /// run's work would be lost.
    pub(super) const fn tries_few_gates(&self) -> bool {
        let admitted = &self.request.admitted;
        admitted.is_overloaded && admitted.class.index() != LoadClass::NESTED.index()
    }

    /// Decides the next step of a call that tries few gates, while no attempt is open.
    pub(super) fn next_of_few(&mut self, now: Millis) -> Step {
        if self.rounds.count == 0 {
            let candidates = self.candidates(now);
            let candidates = self.by_free_capacity(candidates, now);
            self.begin_round(candidates, now);
        }
        let is_over = self.history.full_gates >= MAX_FULL_GATES;
        match self.next_candidate(now).filter(|_| !is_over) {
            Some(step) => step,
            None => Step::End(self.final_outcome()),
        }
    }

    /// Returns how long the gate of the candidate that was just taken may queue the call: the
    /// last one until the call is refused because all targets are busy, and each one if the
    /// call goes before those that are refused.
    pub(super) fn max_queue_time_of_few(&self, now: Millis) -> Millis {
        let is_last = self.history.full_gates + 1 >= MAX_FULL_GATES;
        let is_preferred = self.request.admitted.is_preferred;
        if is_last || is_preferred || self.rounds.remaining.is_empty() {
            return self.wait_plan.busy_until.since(now);
        }
        Millis::ZERO
    }

    fn by_free_capacity(&self, candidates: Vec<Candidate>, now: Millis) -> Vec<Candidate> {
        let mut state = self.entry.state.lock();
        let state = &mut *state;
        let levels = state.admission.levels();
        let free_centislots = |member: &Member| levels.free_centislots(member, now);
        let attempts = MAX_FULL_GATES as usize;
        order::by_free_capacity(candidates, attempts, free_centislots, &mut state.rng)
    }
}
