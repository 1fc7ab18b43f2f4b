//! The limit on requests that a target states about itself.
//!
//! The limit is the number of requests a second that the target accepts from all nodes
//! together. All requests pass the target's gate, so the gate alone can keep it. A gate
//! that has just started learns it with the calls of entries that have received it.

use crate::gate::send_log::{MAX_WINDOW_MS, RateBound, SendLog};
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Kind of message in which a target states its limit.
///
/// A target may state its limit in one kind of message only, so a message without a limit
/// says nothing about the messages of other kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    /// Answers to requests.
    Answer,
    /// Answers to health checks.
    HealthCheck,
}

/// What the messages of one kind state.
#[derive(Clone, Copy, Debug, Default)]
struct Statement {
    per_1000_s: Option<u64>,
    /// When the last message arrived; `None` before the first.
    received_at: Option<Millis>,
}

impl Statement {
    /// Records a message that answers a request of `asked_at`.
    fn note(&mut self, per_1000_s: Option<u64>, asked_at: Millis, now: Millis) {
        let is_outdated = self
            .received_at
            .is_some_and(|received_at| asked_at < received_at);
        // The target may have begun this message before it stated the limit.
        if per_1000_s.is_none() && is_outdated {
            return;
        }
        self.per_1000_s = per_1000_s;
        self.received_at = Some(now);
    }
}

/// The limit on requests that one incarnation of a target states.
#[derive(Debug, Default)]
pub struct StatedLimit {
    by_answers: Statement,
    by_health_checks: Statement,
    /// Limit that entries have received, until the target answers a request of this gate.
    by_entries: Option<u64>,
    /// Since when a limit is in force.
    since: Option<Millis>,
}

impl StatedLimit {
    /// Records the limit in a message of the target that answers a request of `asked_at`,
    /// in requests per 1,000 seconds; `None` if the message states none. Returns whether
    /// the limit in force has changed.
    pub fn note(
        &mut self,
        source: LimitSource,
        per_1000_s: Option<u64>,
        asked_at: Millis,
        now: Millis,
    ) -> bool {
        let before = self.per_1000_s();
        match source {
            LimitSource::Answer => {
                self.by_answers.note(per_1000_s, asked_at, now);
                self.by_entries = None;
            }
            LimitSource::HealthCheck => self.by_health_checks.note(per_1000_s, asked_at, now),
        }
        self.update_since(now);
        before != self.per_1000_s()
    }

    /// Records the limit that an entry has received from this incarnation of the target.
    /// Returns whether the limit in force has changed.
    pub fn note_from_entry(&mut self, per_1000_s: Option<u64>, now: Millis) -> bool {
        if per_1000_s.is_none() || self.by_answers.received_at.is_some() {
            return false;
        }
        let before = self.per_1000_s();
        self.by_entries = per_1000_s;
        self.update_since(now);
        before != self.per_1000_s()
    }

    /// Returns the limit in force, in requests per 1,000 seconds: the lowest one stated.
    #[must_use]
    pub fn per_1000_s(&self) -> Option<u64> {
        let stated = [
            self.by_answers.per_1000_s,
            self.by_health_checks.per_1000_s,
            self.by_entries,
        ];
        stated.into_iter().flatten().min()
    }

    /// Returns when the limit admits a request that `ahead` others precede, or `None` if it
    /// does so now.
    #[must_use]
    pub fn free_at(&self, sends: &SendLog, ahead: u32, now: Millis) -> Option<Millis> {
        let bound = bound_for(self.per_1000_s()?);
        sends.free_at(&bound, self.since.unwrap_or(now), ahead, now)
    }

    fn update_since(&mut self, now: Millis) {
        self.since = match self.per_1000_s() {
            Some(_) => self.since.or(Some(now)),
            None => None,
        };
    }
}

/// Returns the bound that keeps a rate with the smallest bursts of whole requests: those of
/// about a second, or single ones.
///
/// However low the limit is, one request in [`MAX_WINDOW_MS`] is admitted: its answer
/// tells whether the limit still holds.
fn bound_for(per_1000_s: u64) -> RateBound {
    let max_requests = per_1000_s.div_ceil(1_000).max(1);
    let window_ms = max_requests.saturating_mul(1_000_000) / per_1000_s.max(1);
    RateBound {
        max_requests: u32::try_from(max_requests).unwrap_or(u32::MAX),
        window_ms: Millis(window_ms).min(MAX_WINDOW_MS),
    }
}
