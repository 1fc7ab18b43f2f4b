//! Remembers which gates refused an entry's calls recently.
//!
//! In an overload most gates refuse, and a refused call tries one gate after the other,
//! round after round. If each attempt sent the whole request head, most of them into
//! another data centre, nearly all of these bytes would be wasted. So a gate that has
//! just refused receives the terms of the call alone, and head and body follow if it has
//! a slot. This saves half of all bytes between data centres in an overload, at the cost
//! of one more round trip for a call that is accepted after all.
//!
//! Sending nothing at all for 5 or 10 ms after a refusal saved another tenth of the
//! bytes, but lost as much because slots came free meanwhile.

use std::collections::HashMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Time for which a gate that refused is expected to refuse again: slow spells and queues
/// last some hundred milliseconds. A wrong guess costs only one round trip within the
/// region.
const REFUSAL_TTL_MS: Millis = Millis(500);

/// Time of each gate's last refusal, by incarnation of its target. An accepted call
/// removes it.
#[derive(Debug, Default)]
pub struct Refusals {
    refused_at: HashMap<TargetIncarnation, Millis>,
}

impl Refusals {
    /// Records that the gate had no free slot, or that its target was slow.
    pub fn note_refused(&mut self, target: &Member, now: Millis) {
        self.refused_at.insert(target.incarnation(), now);
    }

    /// Records that the gate accepted a call.
    pub fn note_accepted(&mut self, target: &Member) {
        self.refused_at.remove(&target.incarnation());
    }

    /// Returns whether the gate is likely to refuse, so that it should receive the terms
    /// of a call first.
    #[must_use]
    pub fn is_refusal_likely(&self, target: &Member, now: Millis) -> bool {
        let refused_at = self.refused_at.get(&target.incarnation());
        refused_at.is_some_and(|at| now.since(*at) < REFUSAL_TTL_MS)
    }

    /// Discards incarnations that are no longer listed.
    pub fn retain(&mut self, members: &Members) {
        self.refused_at
            .retain(|incarnation, _| members.contains(incarnation));
    }
}
