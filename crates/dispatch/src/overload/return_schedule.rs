//! Schedules when refused callers may retry.
//!
//! An entry sets a part of its capacity aside for callers that it has refused. Each
//! reservation takes as much of this capacity's time as its run needs (`timeline`), so
//! that the retries come one after the other and find a slot. All times are of this
//! process; a deadline is the time of arrival plus the time that the caller has left.

use std::collections::{BTreeMap, HashMap};

use crate::prelude::*;
use timeline::{Slot, Timeline};

#[cfg(test)]
mod tests;
mod timeline;

/// Difference up to which two deadlines count as the same, as in
/// [`super::returning`].
const DEADLINE_TOLERANCE_MS: Millis = Millis(20);
/// Time before its reservation from which a retry counts as on time.
const EARLY_TOLERANCE_MS: Millis = Millis(10);
/// Time after its reservation up to which a retry counts as on time.
const LATE_TOLERANCE_MS: Millis = Millis(100);
/// Callers honour a retry time up to their remaining time divided by this.
const HONOURED_DIVISOR: u64 = 3;
/// Time for a refusal to reach a caller and for its retry to come back. The caller has so
/// much less time left than the entry knows of.
const CALLER_ROUND_TRIP_MS: Millis = Millis(20);
/// Maximum number of reservations of all services.
const MAX_RESERVATIONS: usize = 4_096;
/// Wait of a caller while no capacity is expected at all.
const NO_CAPACITY_WAIT_MS: Millis = Millis(1_000);
/// Maximum wait that a refusal states.
const MAX_WAIT_MS: Millis = Millis(10_000);

/// Identifies a request of a caller across its attempts: its content and its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey {
    /// Hash of the parts of the request that do not change when it is sent again.
    pub fingerprint: u64,
    /// End of the caller's deadline.
    pub deadline_at: Millis,
}

/// A refused request for which a retry time is wanted.
#[derive(Clone, Copy, Debug)]
pub struct RetryWish<'a> {
    /// The request.
    pub key: RequestKey,
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Class of the request.
    pub class: LoadClass,
    /// Expected run time.
    pub work_ms: Millis,
    /// Rate at which this entry's callers of this class can be served, per second. At zero
    /// no reservation is possible.
    pub rate_per_s: f64,
}

/// When a refused caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryTime {
    /// It is served if it retries at this time.
    Reserved(Millis),
    /// It cannot be served before its deadline; capacity is expected at this time.
    Unreserved(Millis),
}

/// How the arrival of a request relates to its reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// No reservation is known.
    New,
    /// The caller retries before its reserved time.
    Early(Millis),
    /// The caller retries at its reserved time. The reservation is used up.
    OnTime,
}

/// Reservations of one entry.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    by_service: HashMap<ServiceName, ServiceSchedule>,
}

/// Reservations for one service.
#[derive(Debug, Default)]
struct ServiceSchedule {
    timeline: Timeline,
    /// Reserved times of open reservations, by fingerprint and deadline.
    open: BTreeMap<(u64, Millis), Millis>,
}

impl ReturnSchedule {
    /// Reserves a time for a refused request. A request that has a reservation keeps it.
    pub fn reserve(&mut self, wish: &RetryWish<'_>, now: Millis) -> RetryTime {
        if !(wish.rate_per_s > 0.0 && wish.rate_per_s.is_finite()) {
            return RetryTime::Unreserved(now + NO_CAPACITY_WAIT_MS);
        }
        let is_full = self.len() >= MAX_RESERVATIONS;
        let entry = self.by_service.entry(wish.service.clone());
        entry.or_default().reserve(wish, is_full, now)
    }

    /// Looks up the reservation of a request that arrives for a service.
    pub fn arrive(&mut self, service: &ServiceName, key: RequestKey, now: Millis) -> Arrival {
        match self.by_service.get_mut(service) {
            Some(schedule) => schedule.arrive(key, now),
            None => Arrival::New,
        }
    }

    /// Returns the number of open reservations for a service.
    #[must_use]
    pub fn open(&self, service: &ServiceName) -> usize {
        let schedule = self.by_service.get(service);
        schedule.map_or(0, |schedule| schedule.open.len())
    }

    /// Discards reservations that are past.
    pub fn forget_expired(&mut self, now: Millis) {
        self.by_service.retain(|_, schedule| {
            schedule.expire(now);
            !schedule.timeline.is_unused(now)
        });
    }

    /// Returns the number of reservations that are in memory, used ones included.
    fn len(&self) -> usize {
        let mut count = 0;
        for schedule in self.by_service.values() {
            count += schedule.timeline.len();
        }
        count
    }
}

impl ServiceSchedule {
    fn reserve(&mut self, wish: &RetryWish<'_>, is_full: bool, now: Millis) -> RetryTime {
        self.expire(now);
        if let Some((_, at)) = self.find(wish.key, now)
            && at > now
        {
            return RetryTime::Reserved(at);
        }
        let work_ms = wish.work_ms.max(Millis(1));
        self.timeline.set_rate(wish.rate_per_s, work_ms);
        let free_at = self.timeline.first_free(wish.class, work_ms, now);
        let is_crowded_out = self.timeline.is_crowded_out(wish.class, now);
        self.timeline.note_wish(wish.class, work_ms, now);
        if is_full || is_crowded_out || free_at > latest_retry(wish.key, work_ms, now) {
            let expected_at = self.timeline.spread(free_at, work_ms);
            return RetryTime::Unreserved(expected_at.min(now + MAX_WAIT_MS));
        }
        let id = (wish.key.fingerprint, wish.key.deadline_at);
        self.open.insert(id, free_at);
        self.timeline.insert(free_at, wish.class, work_ms, id);
        RetryTime::Reserved(free_at)
    }

    fn arrive(&mut self, key: RequestKey, now: Millis) -> Arrival {
        let Some((id, at)) = self.find(key, now) else {
            return Arrival::New;
        };
        if now + EARLY_TOLERANCE_MS < at {
            return Arrival::Early(at);
        }
        self.open.remove(&id);
        // After a pause of the process, retries whose times fell into the pause arrive
        // together. Those beyond the tolerated backlog compete as new calls.
        match self.timeline.release(at, now) {
            true => Arrival::OnTime,
            false => Arrival::New,
        }
    }

    /// Returns the open reservation of a request that is due first. Callers with the same
    /// content and deadline cannot be told apart.
    fn find(&self, key: RequestKey, now: Millis) -> Option<((u64, Millis), Millis)> {
        let from = (
            key.fingerprint,
            key.deadline_at.minus(DEADLINE_TOLERANCE_MS),
        );
        let to = (key.fingerprint, key.deadline_at + DEADLINE_TOLERANCE_MS);
        let mut first = None;
        for (id, at) in self.open.range(from..=to) {
            let is_earlier = first.is_none_or(|(_, known)| *at < known);
            if !is_late(*at, now) && is_earlier {
                first = Some((*id, *at));
            }
        }
        first
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, slot)) = self.timeline.pop_first_if(|at| is_late(at, now)) {
            let Slot { id, .. } = slot;
            // A later request with the same key may have replaced the reservation.
            if self.open.get(&id) == Some(&at) {
                self.open.remove(&id);
            }
        }
    }
}

/// Whether a reservation is past.
fn is_late(at: Millis, now: Millis) -> bool {
    at + LATE_TOLERANCE_MS < now
}

/// Returns the latest time up to which the caller waits and from which its run still ends
/// before the deadline.
fn latest_retry(key: RequestKey, work_ms: Millis, now: Millis) -> Millis {
    let left_ms = key.deadline_at.since(now).minus(CALLER_ROUND_TRIP_MS);
    let honoured_ms = Millis(left_ms.0 / HONOURED_DIVISOR);
    now + honoured_ms.min(left_ms.minus(work_ms))
}
