//! An entry's part of the retry budget that all entries share.

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// The limit on extra arrivals at a service, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Extra arrivals as a share of the requests for the service.
    pub ratio: f64,
    /// Extra arrivals beyond that share.
    pub slack: f64,
    /// Any span of this length is held to it.
    pub window_ms: Millis,
}

/// Part of the ratio that entries use. The rest is for what they count late:
/// arrivals cross the ends of a window, and the listed entries change.
const USED_RATIO_SHARE: f64 = 0.7;
/// Part of the slack that entries use. Each repeat that it allows makes its calls
/// again at another service, whose slack is no larger. With two calls a run,
/// `2 n` of them are within the ratio 0.2 and the slack `s` up to `n = s / 1.6`.
const USED_SLACK_SHARE: f64 = 0.6;
/// Debt that calls of repeated runs may leave, as a part of the slack that an entry
/// has for itself. It is paid by the requests that follow; without a bound, an entry
/// could not retry for minutes after a bad one.
const MAX_DEBT_FACTOR: f64 = 2.0;

/// One entry's tokens for one service.
///
/// No entry sees the sum. Each keeps to its own part: the ratio of the requests
/// that it sends itself, and an equal part of the slack. The parts then add up
/// to no more than the whole in every window, whoever fails.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Millis,
}

impl RetryBudget {
    /// A budget with its part of the slack in hand.
    #[must_use]
    pub fn new(limit: &RetryLimit, entries: usize, now: Millis) -> Self {
        Self {
            tokens: slack_share(limit, entries),
            refilled_at: now,
        }
    }

    /// Counts a first attempt.
    pub fn count_first_attempt(&mut self, limit: &RetryLimit, entries: usize) {
        let cap = slack_share(limit, entries).max(1.0) + 1.0;
        self.tokens = (self.tokens + limit.ratio * USED_RATIO_SHARE).min(cap.max(self.tokens));
    }

    /// Counts the part of a first attempt, in percent, that is expected to repeat
    /// an earlier one: its caller is a target, whose own run may be a retry.
    ///
    /// Failure answered: half of what reaches a service fails. Its callers' runs fail
    /// with it and are sent again elsewhere, where they make their calls again.
    /// Counted at the callers' service alone, retries there and at the called one
    /// add up to more than the limit, at the service that can bear it least. Taken
    /// from the called service's tokens, they leave so many fewer retries there.
    pub fn count_repeated(&mut self, limit: &RetryLimit, entries: usize, percent: u8) {
        let max_debt = slack_share(limit, entries) * MAX_DEBT_FACTOR;
        let lowest = (-max_debt).min(self.tokens);
        self.tokens = (self.tokens - f64::from(percent) / 100.0).max(lowest);
    }

    /// Takes one extra arrival; false when none is left.
    pub fn try_take(&mut self, limit: &RetryLimit, entries: usize, now: Millis) -> bool {
        self.refill(limit, entries, now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Gives back a token that led to no arrival.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    fn refill(&mut self, limit: &RetryLimit, entries: usize, now: Millis) {
        let share = slack_share(limit, entries);
        let elapsed = now.since(self.refilled_at).0 as f64 / limit.window_ms.0.max(1) as f64;
        self.refilled_at = self.refilled_at.max(now);
        // Half the slack is in hand at first and half comes over a window, so
        // that no window sees more than the whole.
        let gained = share * elapsed;
        self.tokens = (self.tokens + gained).min(self.tokens.max(share));
    }
}

fn slack_share(limit: &RetryLimit, entries: usize) -> f64 {
    limit.slack * USED_SLACK_SHARE / 2.0 / entries.max(1) as f64
}
