//! Schedules when refused callers may retry.

use crate::prelude::*;

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
    /// Rate at which this entry's callers of this class can be served, per second.
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
pub struct ReturnSchedule {}

impl ReturnSchedule {
    /// Reserves a time for a refused request.
    pub fn reserve(&mut self, _wish: &RetryWish<'_>, now: Millis) -> RetryTime {
        RetryTime::Unreserved(now)
    }

    /// Looks up the reservation of a request that arrives.
    pub fn arrive(&mut self, _key: RequestKey, _now: Millis) -> Arrival {
        Arrival::New
    }

    /// Returns the number of open reservations for a service.
    #[must_use]
    pub fn open(&self, _service: &ServiceName) -> usize {
        0
    }

    /// Discards reservations that are past.
    pub fn forget_expired(&mut self, _now: Millis) {}
}
