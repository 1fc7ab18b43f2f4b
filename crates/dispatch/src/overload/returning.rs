//! Recognises callers that were refused and retry.

use std::collections::HashMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Difference up to which two deadlines count as the same. A caller sends the rest of its
/// deadline in whole milliseconds, and its two requests differ by a few milliseconds in
/// their time on the network.
const DEADLINE_TOLERANCE_MS: Millis = Millis(20);
/// Maximum number of refused requests that are remembered. When it is reached, no further
/// ones are stored until some have passed their deadlines. An entry refuses some hundred
/// requests a second at worst.
const MAX_REMEMBERED: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct RefusedRequest {
    /// Time of the caller's first request.
    first_arrived: Millis,
    deadline_at: Millis,
}

/// Requests that an entry refused, kept until their deadlines.
///
/// Guards against wasted slots in an overload. A caller that was refused retries with a
/// new request id, and its objective counts from its first request. Treated as a new
/// caller, it would get a slot in which it misses its objective, while a new caller that
/// would have met it is refused and returns late in turn. So the retry is recognised: it
/// has the same content and the same deadline.
#[derive(Debug, Default)]
pub struct ReturningCallers {
    by_fingerprint: HashMap<u64, RefusedRequest>,
}

impl ReturningCallers {
    /// Returns when the caller of this request sent its first request, which is `arrived`
    /// for a new caller.
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

    /// Records that a request was refused and that its caller may retry.
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

    /// Discards requests whose deadlines have passed.
    pub fn forget_expired(&mut self, now: Millis) {
        self.by_fingerprint
            .retain(|_, refused| now < refused.deadline_at);
    }
}
