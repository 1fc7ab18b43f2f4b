//! Callers that were refused and come back.

use std::collections::HashMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// A caller names what is left of its deadline in whole milliseconds, and its two
/// requests take a few milliseconds more or less on their way.
const DEADLINE_TOLERANCE_MS: Millis = Millis(20);
/// Refused requests that are remembered; beyond it, none is taken up until some have
/// passed their deadlines. An entry refuses some hundred a second at the worst.
const MAX_REMEMBERED: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct RefusedRequest {
    /// When the caller first asked.
    first_arrived: Millis,
    deadline_at: Millis,
}

/// The requests that an entry refused, until their deadlines.
///
/// Failure answered: a caller that was refused comes back, with a new request id, and
/// its objective counts from its first request. Taken for a newcomer, it is given a
/// slot in which it will be late, while a newcomer that would have been in time is
/// refused, and comes back late in turn. So it is recognised: it asks for the same
/// again and must have it by the same moment.
#[derive(Debug, Default)]
pub struct ReturningCallers {
    by_fingerprint: HashMap<u64, RefusedRequest>,
}

impl ReturningCallers {
    /// When the caller of this request first asked, which is now for a newcomer.
    pub fn first_arrived(&self, fingerprint: u64, deadline_at: Millis, arrived: Millis) -> Millis {
        let Some(refused) = self.by_fingerprint.get(&fingerprint) else {
            return arrived;
        };
        let difference_ms =
            refused.deadline_at.since(deadline_at) + deadline_at.since(refused.deadline_at);
        match difference_ms <= DEADLINE_TOLERANCE_MS {
            true => refused.first_arrived.min(arrived),
            false => arrived,
        }
    }

    /// A request was refused, and its caller may come back.
    pub fn note_refused(&mut self, fingerprint: u64, deadline_at: Millis, first_arrived: Millis) {
        if self.by_fingerprint.len() >= MAX_REMEMBERED {
            return;
        }
        let refused = RefusedRequest {
            first_arrived,
            deadline_at,
        };
        self.by_fingerprint.insert(fingerprint, refused);
    }

    /// Forgets requests whose deadlines have passed.
    pub fn forget_expired(&mut self, now: Millis) {
        self.by_fingerprint
            .retain(|_, refused| now < refused.deadline_at);
    }
}
