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

/// Why a gate accepts no call before a stated time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThrottleCause {
    /// The target is warming up.
    WarmUp,
    /// The target states a limit on its requests.
    StatedLimit,
}

/// A gate's statement that it accepts no call before a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttle {
    /// When the gate can accept the next call.
    pub free_at: Millis,
    /// The reason.
    pub cause: ThrottleCause,
}

/// Last refusal of each gate, by incarnation of its target. An accepted call removes it.
#[derive(Debug, Default)]
pub struct Refusals {
    by_incarnation: HashMap<TargetIncarnation, Refusal>,
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    at: Millis,
    throttle: Option<Throttle>,
}

impl Refusals {
    /// Records that the gate had no free slot, or that its target was slow.
    pub fn note_refused(&mut self, target: &Member, now: Millis) {
        self.insert(target, None, now);
    }

    /// Records that the gate accepts no call before a stated time.
    pub fn note_throttled(&mut self, target: &Member, throttle: Throttle, now: Millis) {
        self.insert(target, Some(throttle), now);
    }

    /// Records that the gate accepted a call.
    pub fn note_accepted(&mut self, target: &Member) {
        self.by_incarnation.remove(&target.incarnation());
    }

    /// Returns whether the gate is likely to refuse, so that it should receive the terms
    /// of a call first.
    #[must_use]
    pub fn is_refusal_likely(&self, target: &Member, now: Millis) -> bool {
        let refusal = self.by_incarnation.get(&target.incarnation());
        refusal.is_some_and(|refusal| now.since(refusal.at) < REFUSAL_TTL_MS)
    }

    /// Returns when the gate can accept the next call and why, if it has said that it
    /// cannot yet.
    #[must_use]
    pub fn throttle(&self, target: &Member, now: Millis) -> Option<Throttle> {
        let refusal = self.by_incarnation.get(&target.incarnation())?;
        refusal.throttle.filter(|throttle| throttle.free_at > now)
    }

    fn insert(&mut self, target: &Member, throttle: Option<Throttle>, now: Millis) {
        let refusal = Refusal { at: now, throttle };
        self.by_incarnation.insert(target.incarnation(), refusal);
    }

    /// Discards incarnations that are no longer listed.
    pub fn retain(&mut self, members: &Members) {
        self.by_incarnation
            .retain(|incarnation, _| members.contains(incarnation));
    }
}
