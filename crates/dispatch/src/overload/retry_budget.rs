//! An entry's share of the retry budget that all entries have in common.

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Limit on the extra arrivals (retries and repeated calls) at a service, over all
/// entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Extra arrivals as a fraction of the requests for the service.
    pub ratio: f64,
    /// Extra arrivals allowed beyond that fraction in each window.
    pub slack: f64,
    /// Length of a window. The limit holds in every window of this length.
    pub window_ms: Millis,
}

/// Part of the ratio that entries use. The rest covers what they count late: arrivals
/// cross the ends of a window, and the set of listed entries changes.
const USED_RATIO_SHARE: f64 = 0.7;
/// Part of the slack that entries use. Each retry that it allows makes its calls again at
/// another service, whose slack is no larger. With two calls per run, `2 n` of them are
/// within the ratio 0.2 and the slack `s` up to `n = s / 1.6`.
const USED_SLACK_SHARE: f64 = 0.6;
/// Bound on the debt that calls of repeated runs may leave, in multiples of the entry's
/// share of the slack. Later requests pay the debt; without a bound, an entry could not
/// retry for minutes after a bad one.
const MAX_DEBT_FACTOR: f64 = 2.0;

/// One entry's tokens for one service.
///
/// No entry sees the total. Each keeps to its own share: the ratio of the requests that
/// it sends itself, and an equal share of the slack. The shares then add up to no more
/// than the limit in every window, whichever entries fail.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    /// Share of the slack if that is below one token, which is not among the tokens.
    slack_fraction: f64,
    refilled_at: Millis,
}

impl RetryBudget {
    /// Creates a budget that holds its share of the slack.
    #[must_use]
    pub fn new(limit: &RetryLimit, entries: usize, now: Millis) -> Self {
        let share = slack_share(limit, entries);
        let is_whole = share >= 1.0;
        Self {
            tokens: if is_whole { share } else { 0.0 },
            slack_fraction: if is_whole { 0.0 } else { share },
            refilled_at: now,
        }
    }

    /// Counts a first attempt, which adds to the tokens.
    pub fn count_first_attempt(&mut self, limit: &RetryLimit, entries: usize) {
        let cap = slack_share(limit, entries).max(1.0) + 1.0;
        self.tokens = (self.tokens + limit.ratio * USED_RATIO_SHARE).min(cap.max(self.tokens));
    }

    /// Counts the probability, in percent, with which a first attempt repeats an earlier
    /// one because its caller is a target whose own run may be a retry.
    ///
    /// Guards against retries that multiply along a chain of services. When half of what
    /// reaches a service fails, the runs of its callers fail too and are retried
    /// elsewhere, where they make their calls again. If only the callers' service counted
    /// these, its retries and those at the called service would add up to more than the
    /// limit, at the service that can bear it least. Taken from the tokens of the called
    /// service, they reduce the retries there by as much.
    pub fn count_repeated(&mut self, limit: &RetryLimit, entries: usize, percent: u8) {
        let max_debt = slack_share(limit, entries) * MAX_DEBT_FACTOR;
        let lowest = (-max_debt).min(self.tokens);
        self.tokens = (self.tokens - f64::from(percent) / 100.0).max(lowest);
    }

    /// Takes a token for one extra arrival; returns false if none is granted. `draw` is
    /// random, from 0 to 1.
    ///
    /// A share of the slack below one token is granted with a probability, and spent either
    /// way. Otherwise the slack would be lost in a fleet of more entries than it has tokens.
    pub fn try_take(&mut self, limit: &RetryLimit, entries: usize, now: Millis, draw: f64) -> bool {
        self.refill(limit, entries, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        let fraction = std::mem::take(&mut self.slack_fraction);
        draw < fraction * draw_confidence(limit)
    }

    /// Returns a token that led to no arrival.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    fn refill(&mut self, limit: &RetryLimit, entries: usize, now: Millis) {
        let share = slack_share(limit, entries);
        let elapsed = now.since(self.refilled_at).0 as f64 / limit.window_ms.0.max(1) as f64;
        self.refilled_at = self.refilled_at.max(now);
        // Half of the slack is available at first, and half is added over a window, so
        // that no window sees more than the whole.
        let gained = share * elapsed;
        if share >= 1.0 {
            self.tokens = (self.tokens + gained).min(self.tokens.max(share));
        } else {
            self.slack_fraction = (self.slack_fraction + gained).min(share);
        }
    }
}

/// Returns the part of a fraction of a token that is its probability of being granted.
///
/// The number of fractions that are granted in a window varies with the square root of its
/// mean. The mean is lower than the used part of the slack by four standard deviations.
fn draw_confidence(limit: &RetryLimit) -> f64 {
    const STANDARD_DEVIATIONS: f64 = 4.0;
    let mean = limit.slack * USED_SLACK_SHARE;
    (1.0 - STANDARD_DEVIATIONS / mean.sqrt()).max(0.0)
}

fn slack_share(limit: &RetryLimit, entries: usize) -> f64 {
    limit.slack * USED_SLACK_SHARE / 2.0 / entries.max(1) as f64
}
