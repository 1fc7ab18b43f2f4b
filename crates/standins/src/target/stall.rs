//! Stalls, during which all work of a target is frozen.

use tokio::time::{Instant, sleep, sleep_until};

use crate::prelude::*;

/// Tracks stalls. Runs are extended by the time they lose to them.
pub(super) struct Stalls {
    state: Mutex<State>,
}

struct State {
    frozen_until: Instant,
    /// Total duration of all stalls, including the remainder of the current one.
    total: Duration,
    count: u64,
}

impl Stalls {
    pub(super) fn new() -> Self {
        let state = State {
            frozen_until: Instant::now(),
            total: Duration::ZERO,
            count: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Freezes all work for `span` from now. A shorter span than the rest of the
    /// current stall changes nothing.
    pub(super) fn freeze(&self, span: Duration) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let from = state.frozen_until.max(now);
        let until = (now + span).max(from);
        state.total += until - from;
        state.frozen_until = until;
        state.count += 1;
    }

    pub(super) fn count(&self) -> u64 {
        self.state.lock().count
    }

    /// Waits until no stall is in progress.
    pub(super) async fn wait(&self) {
        loop {
            let until = self.state.lock().frozen_until;
            if until <= Instant::now() {
                return;
            }
            sleep_until(until).await;
        }
    }

    /// Waits for `span`, not counting the time of stalls.
    pub(super) async fn work(&self, span: Duration) {
        self.wait().await;
        let lost_before = self.state.lock().total;
        let end = Instant::now() + span;
        if !span.is_zero() {
            sleep(span).await;
        }
        loop {
            let lost = self.state.lock().total - lost_before;
            let end = end + lost;
            if end <= Instant::now() {
                return;
            }
            sleep_until(end).await;
        }
    }
}
