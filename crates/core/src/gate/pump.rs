//! Hands out starts: the next call of the queue, or a suspect's turn.

use super::queue::Place;
use super::run::Phase;
use super::{Gate, RunId, Wake};
use crate::prelude::*;
use crate::suspects::SuspicionLevel;

impl Gate {
    /// Starts every held call that may start now.
    ///
    /// Each deadline is checked at the very moment of its start: after a pause
    /// of the process the queue is full of calls whose callers have long given
    /// up, and running them would only delay the living.
    pub(super) fn pump(&mut self, now: Millis) {
        if let Some(run) = self.quarantine.end_overlong(now) {
            self.share_again(run, now);
        }
        while self.step(now) {}
    }

    /// Refuses held calls that cannot make their deadline any more.
    pub(super) fn refuse_hopeless(&mut self, now: Millis) {
        let mut hopeless = Vec::new();
        let mut ahead = 0;
        for place in self.queue.iter() {
            let class = self.runs[&place.run].class;
            let wait_us = self.wait_us(ahead, now);
            if self.is_hopeless(class, place.deadline_at, wait_us, now) {
                hopeless.push(place.run);
                continue;
            }
            ahead += 1;
        }
        for place in self.quarantine.iter() {
            if now >= place.deadline_at {
                hopeless.push(place.run);
            }
        }
        for run in hopeless {
            self.refuse_late(run);
        }
    }

    /// Puts a suspect where it waits for the target to itself.
    pub(super) fn quarantine_held(&mut self, run: RunId, place: Place) {
        self.quarantine.insert(place);
        self.set_phase(run, Phase::Quarantined);
    }

    /// Decides about one held call; false when there is nothing to decide.
    fn step(&mut self, now: Millis) -> bool {
        if self.quarantine.is_running_alone() {
            return false;
        }
        if self.quarantine.is_turn(self.queue.is_empty()) {
            return self.step_suspect(now);
        }
        if self.in_flight >= self.limit.current(now) {
            return false;
        }
        let Some(place) = self.queue.pop() else {
            return false;
        };
        self.step_queued(place, now);
        true
    }

    fn step_queued(&mut self, place: Place, now: Millis) {
        let run = &self.runs[&place.run];
        let (class, fingerprint) = (run.class, run.fingerprint);
        if self.is_hopeless(class, place.deadline_at, 0.0, now) {
            return self.refuse_late(place.run);
        }
        match self.standing(fingerprint) {
            SuspicionLevel::Clear => self.start_held(place.run, false, now),
            SuspicionLevel::Convicted => self.refuse_held(place.run, Self::convicted_refusal()),
            SuspicionLevel::Suspect if self.quarantine.has_room() => {
                self.quarantine_held(place.run, place);
            }
            SuspicionLevel::Suspect => self.refuse_crowded(place.run),
        }
    }

    fn step_suspect(&mut self, now: Millis) -> bool {
        let Some(place) = self.quarantine.first() else {
            return false;
        };
        let run = &self.runs[&place.run];
        let (class, fingerprint) = (run.class, run.fingerprint);
        if now >= place.deadline_at {
            self.refuse_late(place.run);
            return true;
        }
        match self.standing(fingerprint) {
            SuspicionLevel::Convicted => self.refuse_held(place.run, Self::convicted_refusal()),
            SuspicionLevel::Clear => {
                self.quarantine.remove(&place);
                self.queue.insert(class, place);
                self.set_phase(place.run, Phase::Queued);
            }
            SuspicionLevel::Suspect if self.in_flight == 0 => {
                self.quarantine.remove(&place);
                self.start_held(place.run, true, now);
            }
            SuspicionLevel::Suspect if self.quarantine.drain(now) => return false,
            SuspicionLevel::Suspect => {
                self.refuse_crowded(place.run);
                self.quarantine.owe(self.limit.current(now));
            }
        }
        true
    }

    fn start_held(&mut self, run: RunId, alone: bool, now: Millis) {
        self.mark_started(run, alone, now);
        self.wakes.push(Wake::Start(run));
    }

    fn refuse_late(&mut self, run: RunId) {
        let refusal = self.refusal(ResultCode::DeadlineTooShort);
        self.refuse_held(run, refusal);
    }

    fn refuse_crowded(&mut self, run: RunId) {
        let refusal = self.overload();
        self.refuse_held(run, refusal);
    }

    fn share_again(&mut self, run: RunId, now: Millis) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.alone = false;
        }
        self.quarantine.owe(self.limit.current(now));
    }

    fn set_phase(&mut self, run: RunId, phase: Phase) {
        let run = self.runs.get_mut(&run);
        run.expect("only calls in hand are held").phase = phase;
    }
}
