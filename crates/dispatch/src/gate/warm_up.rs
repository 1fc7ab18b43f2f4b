//! Limits the admission rate of a target that is warming up.
//!
//! A target that has just started, or whose caches were dropped, is cold: it tolerates few
//! requests a second until its warm-up ends, and crashes if it receives far more. All
//! requests to a target pass its gate, so the gate alone can keep the limit, whatever the
//! entries know. The limit holds in every window of one second, not only in aligned ones.

use serde::{Deserialize, Serialize};

use crate::gate::send_log::{RateBound, SendLog};
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Window in which the requests to a cold target are limited: one second, and the time by
/// which the requests of a window may arrive closer together than they were sent.
const WINDOW_MS: Millis = Millis(1_020);
/// Time for which a report of the remaining warm-up is valid. A target may become cold at
/// any moment.
const REPORT_TTL_MS: Millis = Millis(10);
/// Interval between two reports while calls wait for the first valid one.
const REPORT_INTERVAL_MS: Millis = Millis(15);
/// Shortest time in which a platform starts a process again after its end. A target that
/// became cold within this time before the start of this process never received a request
/// from the previous process.
const MIN_RESTART_MS: Millis = Millis(250);
/// Requests that are left of the tolerated number, because requests that are sent within
/// one window may arrive within a shorter one.
const SAFETY_MARGIN: u32 = 1;

/// Warm-up of a service's targets, as configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time for which a target is cold after its start.
    pub duration_ms: Millis,
    /// Admission rate of a cold target, in requests per 1,000 seconds.
    pub requests_per_1000_s: u64,
}

/// How far the requests to a cold target may exceed its admission rate within a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpTolerance {
    /// Factor on the admission rate.
    pub factor: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl WarmUpTolerance {
    /// Tolerance of a deployment that states none: the rate itself.
    pub const NONE: Self = Self {
        factor: 1.0,
        slack: 0.0,
    };
}

impl Default for WarmUpTolerance {
    fn default() -> Self {
        Self::NONE
    }
}

impl WarmUp {
    /// Returns the maximum number of requests that a cold target may receive within one
    /// second; at least 1, or the target would never be used.
    #[must_use]
    pub fn max_requests(&self, tolerance: &WarmUpTolerance) -> u32 {
        let rate_per_s = self.requests_per_1000_s as f64 / 1_000.0;
        let tolerated = (rate_per_s * tolerance.factor + tolerance.slack).floor() as u32;
        tolerated.saturating_sub(SAFETY_MARGIN).max(1)
    }
}

/// Whether the next request may be sent to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// It may be sent now.
    Send,
    /// The remaining warm-up has to be read first.
    Read,
    /// It may be sent at this time at the earliest.
    At(Millis),
}

/// What the target last reported about its warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Report {
    /// Remaining warm-up; `None` if the target could not be asked.
    left_ms: Option<Millis>,
    at: Millis,
}

/// Limit on the requests to one target while it is cold.
///
/// A target of which nothing is known counts as cold. Requests that were sent before it
/// became cold count too, so the limit also holds in the window in which it became cold.
#[derive(Debug)]
pub struct WarmUpLimiter {
    warm_up: Option<WarmUp>,
    tolerance: WarmUpTolerance,
    report: Option<Report>,
    /// Whether the target was cold by the last report that it gave.
    last_reported_cold: bool,
    /// When this process started. An earlier process on this VM may have sent as many
    /// requests as the limit allows just before.
    started_at: Millis,
}

impl WarmUpLimiter {
    /// Creates a limiter in a process that started at `started_at`.
    #[must_use]
    pub const fn new(started_at: Millis) -> Self {
        Self {
            warm_up: None,
            tolerance: WarmUpTolerance::NONE,
            report: None,
            last_reported_cold: false,
            started_at,
        }
    }

    /// Sets the warm-up of the target's service; `None` if its targets need none.
    pub const fn set_warm_up(&mut self, warm_up: Option<WarmUp>) {
        self.warm_up = warm_up;
    }

    /// Sets how far the admission rate may be exceeded.
    pub const fn set_tolerance(&mut self, tolerance: WarmUpTolerance) {
        self.tolerance = tolerance;
    }

    /// Records the remaining warm-up that the target reported; `None` if the target could
    /// not be asked. Returns whether the target is cold if its report has changed that.
    pub fn note_report(&mut self, left_ms: Option<Millis>, now: Millis) -> Option<bool> {
        self.report = Some(Report { left_ms, at: now });
        let reports_cold = left_ms? > Millis::ZERO;
        let has_changed = reports_cold != self.last_reported_cold;
        self.last_reported_cold = reports_cold;
        has_changed.then_some(reports_cold)
    }

    /// Discards the report of an earlier incarnation of the target.
    pub const fn forget_report(&mut self) {
        self.report = None;
    }

    /// Returns whether the target is known to be cold.
    #[must_use]
    pub fn is_cold(&self, now: Millis) -> bool {
        let left_ms = self.report.and_then(|report| report.left_ms);
        let at = self.report.map_or(Millis::ZERO, |report| report.at);
        self.warm_up.is_some() && left_ms.is_some_and(|left_ms| now < at + left_ms)
    }

    /// Returns how many requests a second the target tolerates, if it is known to be cold.
    #[must_use]
    pub fn max_requests_per_s(&self, now: Millis) -> Option<f64> {
        let warm_up = self.warm_up.filter(|_| self.is_cold(now))?;
        let max_requests = f64::from(warm_up.max_requests(&self.tolerance));
        Some(max_requests * 1_000.0 / WINDOW_MS.0 as f64)
    }

    /// Returns whether a request may be sent now that `ahead` others precede.
    #[must_use]
    pub fn pace(&self, sends: &SendLog, ahead: u32, now: Millis) -> Pace {
        let Some(warm_up) = self.warm_up else {
            return Pace::Send;
        };
        let valid_report = self
            .report
            .filter(|report| now.since(report.at) <= REPORT_TTL_MS);
        if valid_report.is_some_and(|report| report.left_ms == Some(Millis::ZERO)) {
            return Pace::Send;
        }
        let bound = RateBound {
            max_requests: warm_up.max_requests(&self.tolerance),
            window_ms: WINDOW_MS,
        };
        let is_window_known = self.is_window_known(&warm_up, now);
        let free_at = match sends.free_at(&bound, Millis::ZERO, ahead, now) {
            _ if !is_window_known => self.started_at + WINDOW_MS,
            Some(free_at) => free_at,
            None => return Pace::Send,
        };
        let Some(report) = valid_report else {
            return Pace::Read;
        };
        let changes_ms = report.left_ms.unwrap_or(REPORT_INTERVAL_MS);
        Pace::At(free_at.min(report.at + changes_ms))
    }

    /// Returns whether all requests that the target received within the window, since it
    /// became cold, are counted here.
    fn is_window_known(&self, warm_up: &WarmUp, now: Millis) -> bool {
        if now.since(self.started_at) >= WINDOW_MS {
            return true;
        }
        let Some(Report {
            left_ms: Some(left_ms),
            at,
        }) = self.report
        else {
            return false;
        };
        if left_ms > warm_up.duration_ms {
            return false;
        }
        let passed_ms = warm_up.duration_ms.minus(left_ms);
        at.minus(passed_ms) + MIN_RESTART_MS > self.started_at
    }
}
