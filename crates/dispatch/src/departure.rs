//! What a gate learns of its own target's leaving, beside what it hears of the list.
//!
//! The gate asks the target's health before it starts calls. A target that is not well is
//! ill, or leaves, or its health check is wrong; its entry in the list tells which. So the
//! gate looks the entry up for itself while the target says so, and refuses its work from
//! then on.
//!
//! Failure answered: a target says that it leaves, and the gate beside it goes on giving it
//! work, because the word has to come from afar, where a reader has ended or large news are
//! on the way. Nothing reaches a target but through its gate, so the gate's own knowledge
//! is enough.

use crate::prelude::*;
use crate::waits::Waits;

#[cfg(test)]
mod tests;

/// What the list says of a target, looked up by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ListingState {
    /// It takes work.
    Open,
    /// It said that it leaves.
    Draining,
    /// It is not listed: it left without a word, or its entry has lapsed.
    Unlisted,
}

/// Whether a gate's target leaves.
#[derive(Debug)]
pub struct Departure {
    waits: Waits,
    /// When the target was last asked for its health.
    health_checked_at: Option<Millis>,
    is_unhealthy: bool,
    /// When its entry was last looked up.
    looked_up_at: Option<Millis>,
    /// The target that is not to get work.
    departed: Option<TargetId>,
}

impl Departure {
    /// Of a target of which nothing is known.
    #[must_use]
    pub const fn new(waits: Waits) -> Self {
        Self {
            waits,
            health_checked_at: None,
            is_unhealthy: false,
            looked_up_at: None,
            departed: None,
        }
    }

    /// Whether the target has to be asked for its health before a call starts. A target
    /// that is always busy tells its speed with its answers, and would never be asked.
    #[must_use]
    pub fn health_is_due(&self, now: Millis) -> bool {
        let health_checked_at = self.health_checked_at;
        health_checked_at.is_none_or(|at| now.since(at) >= self.waits.own_health_interval_ms())
    }

    /// The target was asked for its health, and this is the last that it said.
    pub const fn note_health(&mut self, is_unhealthy: bool, now: Millis) {
        self.health_checked_at = Some(now);
        self.is_unhealthy = is_unhealthy;
    }

    /// Whether the target's entry has to be looked up now; it counts as looked up then.
    ///
    /// Also while it gets no work: an entry that lapsed comes back, and a target may start
    /// again under its id, without a word of its health until it is asked.
    #[must_use]
    pub fn start_lookup_if_due(&mut self, now: Millis) -> bool {
        if !self.is_unhealthy && self.departed.is_none() {
            return false;
        }
        let previous = self.looked_up_at;
        if previous.is_some_and(|at| now.since(at) < self.waits.own_entry_interval_ms()) {
            return false;
        }
        self.looked_up_at = Some(now);
        true
    }

    /// What the list says of the target; true when that changes whether it gets work.
    pub fn note_entry(&mut self, id: &TargetId, listing_state: ListingState) -> bool {
        let had_left = self.has_left(id);
        self.departed = match listing_state {
            ListingState::Open => None,
            ListingState::Draining | ListingState::Unlisted => Some(id.clone()),
        };
        had_left != self.has_left(id)
    }

    /// Whether this target is not to get work.
    #[must_use]
    pub fn has_left(&self, id: &TargetId) -> bool {
        self.departed.as_ref() == Some(id)
    }
}
