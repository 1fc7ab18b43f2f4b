//! How often the targets of a service reject requests, and what follows for retries.
//!
//! A gate sends no more requests than its target has slots, so a rejection by the target
//! itself is no sign of a queue: the next target, or the same one a moment later, may accept.
//! The retry budget is too small for all rejected requests once targets reject many. So the
//! budget goes to calls that can still meet their objective, and a refusal states a retry time
//! of a few milliseconds, as long as a retry is likely to be accepted.

use std::collections::HashMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Half-life of the counts. A fault of a service lasts seconds, and an entry sees some ten
/// of its requests a second.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Number of recent requests that a rate is based on at least.
const MIN_REQUESTS: f64 = 4.0;
/// Rate from which the retry budget does not suffice for all rejected requests. Budgets are
/// commonly a fifth of the requests.
const SCARCE_BUDGET_RATE: f64 = 0.2;
/// Rate from which an immediate retry is not worth it. Callers retry once or twice, and
/// three of four such callers would use up their retries for nothing.
const FUTILE_RATE: f64 = 0.8;
/// Range of the retry time of a caller whose request was rejected by a target. The spread
/// keeps the callers of one moment apart.
const PROMPT_RETRY_MS: std::ops::Range<f64> = 1.0..20.0;

/// Recent rejections by service.
#[derive(Debug, Default)]
pub struct RejectRates {
    by_service: HashMap<ServiceName, Counts>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: f64,
    rejected: f64,
    counted_at: Millis,
}

impl Counts {
    fn decayed(self, now: Millis) -> Self {
        let elapsed_ms = now.since(self.counted_at).0 as f64;
        let factor = (-elapsed_ms / HALF_LIFE_MS).exp2();
        Self {
            requests: self.requests * factor,
            rejected: self.rejected * factor,
            counted_at: self.counted_at.max(now),
        }
    }
}

impl RejectRates {
    /// Records that a target of the service accepted a request.
    pub fn note_accepted(&mut self, service: &ServiceName, now: Millis) {
        if let Some(counts) = self.by_service.get_mut(service) {
            *counts = counts.decayed(now);
            counts.requests += 1.0;
        }
    }

    /// Records that a target of the service rejected a request.
    pub fn note_rejected(&mut self, service: &ServiceName, now: Millis) {
        let counts = self.by_service.entry(service.clone()).or_default();
        *counts = counts.decayed(now);
        counts.requests += 1.0;
        counts.rejected += 1.0;
    }

    /// Returns the part of the recent requests that targets of the service rejected, or
    /// `None` if there were too few requests to tell.
    #[must_use]
    pub fn rate(&self, service: &ServiceName, now: Millis) -> Option<f64> {
        let counts = self.by_service.get(service)?.decayed(now);
        (counts.requests >= MIN_REQUESTS).then(|| counts.rejected / counts.requests)
    }

    /// Returns whether a rejected call may take a token of the retry budget. While the
    /// budget does not suffice for all, only calls that can meet their objective may.
    #[must_use]
    pub fn may_retry(&self, service: &ServiceName, meets_objective: bool, now: Millis) -> bool {
        let rate = self.rate(service, now).unwrap_or_default();
        meets_objective || rate < SCARCE_BUDGET_RATE
    }

    /// Returns after which time the caller of a rejected request may retry, or `None` if an
    /// immediate retry is futile. `draw` is random, from 0 to 1.
    #[must_use]
    pub fn prompt_retry_ms(&self, service: &ServiceName, draw: f64, now: Millis) -> Option<Millis> {
        let rate = self.rate(service, now).unwrap_or_default();
        if rate >= FUTILE_RATE {
            return None;
        }
        let spread_ms = PROMPT_RETRY_MS.end - PROMPT_RETRY_MS.start;
        Some(Millis((PROMPT_RETRY_MS.start + draw * spread_ms) as u64))
    }

    /// Discards services without recent requests.
    pub fn forget_old(&mut self, now: Millis) {
        self.by_service
            .retain(|_, counts| counts.decayed(now).requests >= MIN_REQUESTS / 100.0);
    }
}
