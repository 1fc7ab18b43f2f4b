//! Detects that a gate's own target leaves, independently of the list that the gate's
//! node receives.
//!
//! The gate checks the target's health before it starts calls. A target that fails the
//! check is failing, is leaving, or has a wrong health check; its entry in the list shows
//! which. So the gate looks up the entry itself while the check fails, and refuses calls
//! once the entry shows that the target leaves.
//!
//! Guards against a gate that sends work to a target that has announced its departure,
//! because the change reaches the gate late: a reader has failed, or a large update is on
//! its way. All calls reach a target through its gate, so the gate's own knowledge is
//! enough.
//!
//! A target may also state in its answers that it leaves. Either word is enough.

use crate::knowledge::waits::Waits;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// State of a target's entry in the list, looked up by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ListingState {
    /// The target takes work.
    Open,
    /// The target has announced that it leaves.
    Draining,
    /// The target is not listed: it left without draining, or its entry has expired.
    Unlisted,
}

/// Tracks whether a gate's target leaves.
#[derive(Debug)]
pub struct Departure {
    waits: Waits,
    /// Time of the last health check.
    health_checked_at: Option<Millis>,
    is_unhealthy: bool,
    /// Time of the last lookup of the entry.
    looked_up_at: Option<Millis>,
    /// The target that must not get work by its entry.
    departed: Option<TargetId>,
    /// The target that has stated in its answers that it leaves, and when it did so last.
    states_leaving: Option<(TargetId, Millis)>,
}

impl Departure {
    /// Creates the state for a target about which nothing is known.
    #[must_use]
    pub const fn new(waits: Waits) -> Self {
        Self {
            waits,
            health_checked_at: None,
            is_unhealthy: false,
            looked_up_at: None,
            departed: None,
            states_leaving: None,
        }
    }

    /// Returns whether the target's health must be checked before a call starts. A target
    /// that is always busy reports its speed with its answers, and would otherwise never
    /// be checked.
    #[must_use]
    pub fn health_is_due(&self, now: Millis) -> bool {
        let health_checked_at = self.health_checked_at;
        health_checked_at.is_none_or(|at| now.since(at) >= self.waits.own_health_interval_ms())
    }

    /// Records the result of a health check.
    pub const fn note_health(&mut self, is_unhealthy: bool, now: Millis) {
        self.health_checked_at = Some(now);
        self.is_unhealthy = is_unhealthy;
    }

    /// Returns whether the target's entry must be looked up now, and if so counts it as
    /// looked up.
    ///
    /// The entry is also looked up while the target gets no work. An expired entry may
    /// return, or the target may restart under the same id; no health check would show
    /// this, since none is made without calls.
    #[must_use]
    pub fn start_lookup_if_due(&mut self, now: Millis) -> bool {
        if !self.is_unhealthy && self.departed.is_none() && self.states_leaving.is_none() {
            return false;
        }
        let previous = self.looked_up_at;
        if previous.is_some_and(|at| now.since(at) < self.waits.own_entry_interval_ms()) {
            return false;
        }
        self.looked_up_at = Some(now);
        true
    }

    /// Records the state of the target's entry; returns whether this changes whether the
    /// target gets work.
    pub fn note_entry(&mut self, id: &TargetId, listing_state: ListingState) -> bool {
        let had_left = self.has_left(id);
        self.departed = match listing_state {
            ListingState::Open => None,
            ListingState::Draining | ListingState::Unlisted => Some(id.clone()),
        };
        had_left != self.has_left(id)
    }

    /// Records whether the target states that it leaves, in an answer to a request of
    /// `asked_at`. Returns whether this changes whether the target gets work.
    pub fn note_statement(
        &mut self,
        id: &TargetId,
        is_leaving: bool,
        asked_at: Millis,
        now: Millis,
    ) -> bool {
        let had_left = self.has_left(id);
        match &self.states_leaving {
            _ if is_leaving => self.states_leaving = Some((id.clone(), now)),
            // The target may have begun this answer before it stated that it leaves.
            Some((_, stated_at)) if asked_at < *stated_at => {}
            Some((leaving, _)) if leaving == id => self.states_leaving = None,
            _ => {}
        }
        had_left != self.has_left(id)
    }

    /// Discards what is known of an earlier incarnation of the target.
    pub fn forget_target(&mut self) {
        self.departed = None;
        self.states_leaving = None;
    }

    /// Returns whether the target must be asked again whether it still leaves, and if so
    /// counts it as asked. No call asks it, since it gets none.
    #[must_use]
    pub fn start_statement_check_if_due(&mut self, now: Millis) -> bool {
        if self.states_leaving.is_none() || !self.health_is_due(now) {
            return false;
        }
        self.health_checked_at = Some(now);
        true
    }

    /// Returns whether this target must not get work, by its entry or by its own word.
    #[must_use]
    pub fn has_left(&self, id: &TargetId) -> bool {
        let leaving = self.states_leaving.as_ref().map(|(leaving, _)| leaving);
        self.departed.as_ref() == Some(id) || leaving == Some(id)
    }
}
