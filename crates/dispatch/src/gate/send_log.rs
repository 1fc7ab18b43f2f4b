//! Times of the requests that a gate sent to its target, to keep limits in sliding windows.

use std::collections::VecDeque;

use crate::prelude::*;

/// Time for which sent requests are remembered: the longest window of any limit.
pub const MAX_WINDOW_MS: Millis = Millis::from_secs(10);

/// Maximum number of requests in any window of this length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateBound {
    /// Maximum number of requests.
    pub max_requests: u32,
    /// Length of the window, at most [`MAX_WINDOW_MS`].
    pub window_ms: Millis,
}

/// Requests that were sent within [`MAX_WINDOW_MS`], or were admitted and are not sent yet.
///
/// All requests to a target pass its gate, so its log is complete from the start of the
/// gate's process.
#[derive(Debug, Default)]
pub struct SendLog {
    /// Times at which requests were sent, oldest first.
    sent: VecDeque<Millis>,
    /// Requests that were admitted but not sent yet.
    admitted: u32,
}

impl SendLog {
    /// Records that a request was admitted, before it is sent.
    pub const fn note_admitted(&mut self) {
        self.admitted += 1;
    }

    /// Records that an admitted request is sent now.
    pub fn note_sent(&mut self, now: Millis) {
        self.note_withdrawn();
        self.sent.push_back(now);
        while let Some(oldest) = self.sent.front() {
            if now.since(*oldest) < MAX_WINDOW_MS {
                return;
            }
            self.sent.pop_front();
        }
    }

    /// Records that an admitted request will not be sent.
    pub const fn note_withdrawn(&mut self) {
        self.admitted = self.admitted.saturating_sub(1);
    }

    /// Returns when the bound admits a request that `ahead` others precede, or `None` if it
    /// does so now. Requests that were sent before `since` do not count.
    #[must_use]
    pub fn free_at(
        &self,
        bound: &RateBound,
        since: Millis,
        ahead: u32,
        now: Millis,
    ) -> Option<Millis> {
        let counts = |at: &Millis| *at >= since && now.since(*at) < bound.window_ms;
        let first = self.sent.partition_point(|at| !counts(at));
        let in_window = self.sent.len() - first;
        let counted = in_window + self.admitted as usize + ahead as usize;
        let max_requests = (bound.max_requests as usize).max(1);
        // Each request takes the place of the one `max_requests` before it. Those that are
        // not sent yet are sent now, or one window after the ones that they replace.
        let windows = counted / max_requests;
        for window in 1..=windows {
            let replaced = counted - window * max_requests;
            if replaced < in_window {
                let wait_ms = Millis(bound.window_ms.0 * window as u64);
                return Some(self.sent[first + replaced] + wait_ms);
            }
        }
        let wait_ms = Millis(bound.window_ms.0 * windows as u64);
        (windows > 0).then_some(now + wait_ms)
    }
}
