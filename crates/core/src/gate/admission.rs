//! Admission: run a call now, queue it, or refuse it at once.

use super::run::Admission;
use super::{Arrival, Gate};
use crate::prelude::*;
use crate::suspects::{CONVICTED_RETRY_AFTER_MS, NO_FINGERPRINT, SuspicionLevel};

/// Bound of the predicted wait in service times.
const MAX_WAIT_SERVICE_TIMES: f64 = 3.0;
/// Minimum of that bound, so that calls wait in the queue during a stall caused
/// by a noisy neighbour (5 to 50 ms).
const MIN_WAIT_BOUND_US: f64 = 50_000.0;
/// Share of its remaining time that a call may spend waiting.
const MAX_WAIT_SHARE: f64 = 0.5;
/// A call is refused if it has less than this share of the predicted time left.
/// Predictions are averages, and half of all calls are faster than average.
const MIN_TIME_LEFT_SHARE: f64 = 0.5;

const US_PER_MS: f64 = 1_000.0;

impl Gate {
    /// Decides about a new call.
    pub(super) fn admit(
        &mut self,
        arrival: &Arrival<'_>,
        now: Millis,
    ) -> Result<Admission, Refusal> {
        if self.leaving {
            return Err(self.refusal(ResultCode::Leaving));
        }
        match self.suspicion_level(arrival.fingerprint) {
            SuspicionLevel::Convicted => return Err(Self::convicted_refusal()),
            SuspicionLevel::Suspect => return self.admit_suspect(arrival, now),
            SuspicionLevel::Clear => {}
        }
        if self.will_miss_deadline(arrival.class, arrival.deadline_at, 0.0, now) {
            return Err(self.refusal(ResultCode::DeadlineTooShort));
        }
        if self.may_start(now) {
            return Ok(Admission::Run);
        }
        self.admit_to_queue(arrival, now)
    }

    /// Returns the suspicion level of a fingerprint, from this gate and the
    /// fleet.
    pub(super) fn suspicion_level(&self, fingerprint: u64) -> SuspicionLevel {
        if fingerprint == NO_FINGERPRINT {
            return SuspicionLevel::Clear;
        }
        let fleet_mark = self.fleet_suspects.mark(fingerprint);
        fleet_mark.max(self.own_suspects.mark(fingerprint)).level
    }

    pub(super) const fn convicted_refusal() -> Refusal {
        Refusal::retry_after(ResultCode::CrashSuspect, CONVICTED_RETRY_AFTER_MS)
    }

    /// Creates a refusal for overload and counts it.
    pub(super) fn overload_refusal(&mut self) -> Refusal {
        self.retry_after.note_refused();
        self.refusal(ResultCode::Overloaded)
    }

    /// Whether a call would miss its deadline after this wait.
    ///
    /// An idle target accepts every call whose deadline has not passed.
    /// Otherwise a target that was slow once would get no more calls, and
    /// nothing would show that it has recovered.
    pub(super) fn will_miss_deadline(
        &self,
        class: CallClass,
        deadline_at: Millis,
        wait_us: f64,
        now: Millis,
    ) -> bool {
        if now >= deadline_at {
            return true;
        }
        if self.in_flight == 0 {
            return false;
        }
        let needed_us = wait_us + self.service_times.class_us(class);
        left_us(deadline_at, now) < needed_us * MIN_TIME_LEFT_SHARE
    }

    /// Returns the predicted wait behind `ahead` queued calls.
    pub(super) fn wait_us(&self, ahead: usize, now: Millis) -> f64 {
        let slots = f64::from(self.limit.current(now));
        (ahead + 1) as f64 * self.service_times.overall_us() / slots
    }

    fn may_start(&self, now: Millis) -> bool {
        self.queue.is_empty()
            && !self.quarantine.blocks()
            && self.in_flight < self.limit.current(now)
    }

    fn admit_to_queue(&mut self, arrival: &Arrival<'_>, now: Millis) -> Result<Admission, Refusal> {
        let queue_limit = self.policy.queue_limit as usize;
        let ahead = self
            .queue
            .ahead(arrival.class, arrival.deadline_at, queue_limit);
        let wait_us = self.wait_us(ahead, now);
        if self.waits_too_long(arrival, wait_us, now) {
            return Err(self.overload_refusal());
        }
        if self.queue.len() < queue_limit {
            return Ok(Admission::Queue);
        }
        let Some(displaced) = self.queue.displaceable(arrival.class) else {
            return Err(self.overload_refusal());
        };
        let refusal = self.overload_refusal();
        self.refuse_call(displaced, refusal);
        Ok(Admission::Queue)
    }

    /// Whether the predicted wait is too long. The bound makes an overload
    /// cause immediate refusals and not a long queue in which every call uses
    /// up its deadline.
    fn waits_too_long(&self, arrival: &Arrival<'_>, wait_us: f64, now: Millis) -> bool {
        let bound_us =
            (MAX_WAIT_SERVICE_TIMES * self.service_times.overall_us()).max(MIN_WAIT_BOUND_US);
        let left_us = left_us(arrival.deadline_at, now);
        let own_us = self.service_times.class_us(arrival.class);
        wait_us > bound_us || wait_us > left_us * MAX_WAIT_SHARE || wait_us + own_us > left_us
    }

    fn admit_suspect(&mut self, arrival: &Arrival<'_>, now: Millis) -> Result<Admission, Refusal> {
        if now >= arrival.deadline_at {
            return Err(self.refusal(ResultCode::DeadlineTooShort));
        }
        if self.may_start(now) && self.in_flight == 0 && self.quarantine.is_idle() {
            return Ok(Admission::RunAlone);
        }
        if !self.quarantine.has_room() {
            return Err(self.overload_refusal());
        }
        Ok(Admission::Quarantine)
    }
}

fn left_us(deadline_at: Millis, now: Millis) -> f64 {
    deadline_at.since(now).0 as f64 * US_PER_MS
}
