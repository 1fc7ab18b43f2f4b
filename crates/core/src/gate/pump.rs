//! Starts waiting calls: the next one from the queue, or a suspect.

use super::queue::QueuePosition;
use super::run::Phase;
use super::{Gate, RunId, Wake};
use crate::prelude::*;
use crate::suspects::SuspicionLevel;

impl Gate {
    /// Starts every waiting call that may start now.
    ///
    /// Each deadline is checked again at the start of the call. After a pause
    /// of the process the queue is full of calls whose callers have given up,
    /// and running them would only delay the others.
    pub(super) fn pump(&mut self, now: Millis) {
        if let Some(run) = self.quarantine.end_overdue(now) {
            self.resume_sharing(run, now);
        }
        while self.step(now) {}
    }

    /// Refuses waiting calls that can no longer meet their deadline.
    pub(super) fn refuse_late_calls(&mut self, now: Millis) {
        let mut late = Vec::new();
        let mut ahead = 0;
        for position in self.queue.iter() {
            let class = self.runs[&position.run].class;
            let wait_us = self.wait_us(ahead, now);
            if self.will_miss_deadline(class, position.deadline_at, wait_us, now) {
                late.push(position.run);
                continue;
            }
            ahead += 1;
        }
        for position in self.quarantine.iter() {
            if now >= position.deadline_at {
                late.push(position.run);
            }
        }
        for run in late {
            self.refuse_for_deadline(run);
        }
    }

    /// Places a suspect in quarantine, where it waits until it can run alone.
    pub(super) fn quarantine_call(&mut self, run: RunId, position: QueuePosition) {
        self.quarantine.insert(position);
        self.set_phase(run, Phase::Quarantined);
    }

    /// Decides about one waiting call; returns false if there is nothing to
    /// decide.
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
        let Some(position) = self.queue.pop() else {
            return false;
        };
        self.step_queued(position, now);
        true
    }

    fn step_queued(&mut self, position: QueuePosition, now: Millis) {
        let run = &self.runs[&position.run];
        let (class, fingerprint) = (run.class, run.fingerprint);
        if self.will_miss_deadline(class, position.deadline_at, 0.0, now) {
            return self.refuse_for_deadline(position.run);
        }
        match self.suspicion_level(fingerprint) {
            SuspicionLevel::Clear => self.start_waiting(position.run, false, now),
            SuspicionLevel::Convicted => self.refuse_call(position.run, Self::convicted_refusal()),
            SuspicionLevel::Suspect if self.quarantine.has_room() => {
                self.quarantine_call(position.run, position);
            }
            SuspicionLevel::Suspect => self.refuse_for_overload(position.run),
        }
    }

    fn step_suspect(&mut self, now: Millis) -> bool {
        let Some(position) = self.quarantine.first() else {
            return false;
        };
        let run = &self.runs[&position.run];
        let (class, fingerprint) = (run.class, run.fingerprint);
        if now >= position.deadline_at {
            self.refuse_for_deadline(position.run);
            return true;
        }
        match self.suspicion_level(fingerprint) {
            SuspicionLevel::Convicted => self.refuse_call(position.run, Self::convicted_refusal()),
            SuspicionLevel::Clear => {
                self.quarantine.remove(&position);
                self.queue.insert(class, position);
                self.set_phase(position.run, Phase::Queued);
            }
            SuspicionLevel::Suspect if self.in_flight == 0 => {
                self.quarantine.remove(&position);
                self.start_waiting(position.run, true, now);
            }
            SuspicionLevel::Suspect if self.quarantine.drain(now) => return false,
            SuspicionLevel::Suspect => {
                self.refuse_for_overload(position.run);
                self.quarantine.reserve_starts(self.limit.current(now));
            }
        }
        true
    }

    fn start_waiting(&mut self, run: RunId, alone: bool, now: Millis) {
        self.mark_started(run, alone, now);
        self.wakes.push(Wake::Start(run));
    }

    fn refuse_for_deadline(&mut self, run: RunId) {
        let refusal = self.refusal(ResultCode::DeadlineTooShort);
        self.refuse_call(run, refusal);
    }

    fn refuse_for_overload(&mut self, run: RunId) {
        let refusal = self.overload_refusal();
        self.refuse_call(run, refusal);
    }

    fn resume_sharing(&mut self, run: RunId, now: Millis) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.alone = false;
        }
        self.quarantine.reserve_starts(self.limit.current(now));
    }

    fn set_phase(&mut self, run: RunId, phase: Phase) {
        let run = self.runs.get_mut(&run);
        run.expect("only active calls wait").phase = phase;
    }
}
