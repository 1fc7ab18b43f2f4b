//! What an entry remembers of gates that refused its calls.
//!
//! In an overload most gates refuse, and a call that is refused asks one after the
//! other, round after round. Asked blindly, each question carries a whole request
//! head over the network, most of them into another data centre, for nothing. A gate
//! that has just refused is asked with the terms alone, and head and body follow if it
//! has a slot: half of all bytes between data centres in an overload, at the cost of
//! a round trip for a call that is taken after all.
//!
//! Not asking at all for 5 or 10 ms after a refusal saved another tenth of the bytes
//! and lost as much by slots that came free meanwhile.

use std::collections::HashMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// A gate whose last word was a refusal within this span is likely to refuse again:
/// slow spells and lines last some hundred milliseconds. Nothing is lost where it
/// does not, but one round trip within the region.
const REFUSAL_TTL_MS: Millis = Millis(500);

/// When gates refused last, by the life of their target; a call that was taken ends it.
#[derive(Debug, Default)]
pub struct Refusals {
    refused_at: HashMap<TargetIncarnation, Millis>,
}

impl Refusals {
    /// The gate had no room for a call, or its target was slow.
    pub fn note_refused(&mut self, target: &Member, now: Millis) {
        self.refused_at.insert(target.incarnation(), now);
    }

    /// The gate took a call.
    pub fn note_accepted(&mut self, target: &Member) {
        self.refused_at.remove(&target.incarnation());
    }

    /// Whether the gate is likely to refuse, so that it is better asked with few
    /// bytes.
    #[must_use]
    pub fn is_refusal_likely(&self, target: &Member, now: Millis) -> bool {
        let refused_at = self.refused_at.get(&target.incarnation());
        refused_at.is_some_and(|at| now.since(*at) < REFUSAL_TTL_MS)
    }

    /// Forgets lives that are no longer listed.
    pub fn retain(&mut self, members: &Members) {
        self.refused_at
            .retain(|incarnation, _| members.contains(incarnation));
    }
}
