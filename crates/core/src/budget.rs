//! Token buckets, and budgets for extra attempts as a share of first attempts.
//!
//! Both count in millionths of a token. A share such as 0.1 therefore adds up
//! exactly, and a test can state at which call a budget is exhausted.

use hornbeamhitch_types::clock::Millis;

#[cfg(test)]
mod tests;

const MICROS_PER_TOKEN: u64 = 1_000_000;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A rate limiter: in any period of `t` seconds it grants at most `burst + rate
/// * t` tokens.
///
/// It bounds the work spent on measuring. A clock that stands still or steps
/// back adds no tokens, and a long pause adds at most one burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    micros: u64,
    cap_micros: u64,
    micros_per_ms: u64,
    filled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket. A rate that is not positive never refills it.
    #[must_use]
    pub fn new(rate_per_s: f64, burst: u32, now: Millis) -> Self {
        let cap_micros = u64::from(burst) * MICROS_PER_TOKEN;
        Self {
            micros: cap_micros,
            cap_micros,
            micros_per_ms: micros_per_ms(rate_per_s),
            filled_at: now,
        }
    }

    /// Changes the rate and the burst. The tokens in the bucket remain, up to
    /// the new burst, so a change of policy never adds tokens.
    pub fn set_rate(&mut self, rate_per_s: f64, burst: u32, now: Millis) {
        self.refill(now);
        self.cap_micros = u64::from(burst) * MICROS_PER_TOKEN;
        self.micros = self.micros.min(self.cap_micros);
        self.micros_per_ms = micros_per_ms(rate_per_s);
    }

    /// Takes one token; returns false if none is left.
    pub fn try_take(&mut self, now: Millis) -> bool {
        self.refill(now);
        let Some(rest) = self.micros.checked_sub(MICROS_PER_TOKEN) else {
            return false;
        };
        self.micros = rest;
        true
    }

    /// Returns the time at which the next token is available; `None` if none
    /// will ever be.
    #[must_use]
    pub fn next_at(&self, now: Millis) -> Option<Millis> {
        let now = now.max(self.filled_at);
        let missing = MICROS_PER_TOKEN.saturating_sub(self.micros_at(now));
        if missing == 0 {
            return Some(now);
        }
        if self.micros_per_ms == 0 || self.cap_micros < MICROS_PER_TOKEN {
            return None;
        }
        Some(now + Millis(missing.div_ceil(self.micros_per_ms)))
    }

    fn refill(&mut self, now: Millis) {
        self.micros = self.micros_at(now);
        self.filled_at = self.filled_at.max(now);
    }

    fn micros_at(&self, now: Millis) -> u64 {
        let gained = now
            .since(self.filled_at)
            .0
            .saturating_mul(self.micros_per_ms);
        self.micros.saturating_add(gained).min(self.cap_micros)
    }
}

/// Converts a rate to millionths of a token per millisecond. The result is
/// rounded down so that it never exceeds the rate.
fn micros_per_ms(rate_per_s: f64) -> u64 {
    (rate_per_s.max(0.0) * MICROS_PER_TOKEN as f64 / MILLIS_PER_SECOND) as u64
}

/// A budget for extra attempts (retries or hedges) as a share of first
/// attempts.
///
/// Without it, callers of an overloaded service resend, and the resends keep
/// the service overloaded after the cause is gone. For `n` first attempts, at
/// most `initial + share * n` extra attempts are granted, so the added load is
/// bounded by the share whatever fails. The initial reserve allows the first
/// failures of a service with little traffic to be retried. The cap limits how
/// many unused attempts can accumulate and be spent at once.
#[derive(Clone, Debug)]
pub struct ShareBudget {
    micros: u64,
    micros_per_attempt: u64,
}

impl ShareBudget {
    /// Extra attempts that are granted before any first attempt has been
    /// counted.
    pub const INITIAL: u32 = 4;
    /// Maximum number of unused extra attempts that can accumulate.
    pub const CAP: u32 = 16;

    /// Creates a budget for a share between 0 and 1. A share of 0 grants
    /// nothing.
    #[must_use]
    pub fn new(share: f64) -> Self {
        let micros_per_attempt = micros_per_attempt(share);
        let initial = if micros_per_attempt == 0 {
            0
        } else {
            u64::from(Self::INITIAL) * MICROS_PER_TOKEN
        };
        Self {
            micros: initial,
            micros_per_attempt,
        }
    }

    /// Changes the share. A share of 0 empties the budget; any other change
    /// adds no attempts.
    pub fn set_share(&mut self, share: f64) {
        self.micros_per_attempt = micros_per_attempt(share);
        if self.micros_per_attempt == 0 {
            self.micros = 0;
        }
    }

    /// Counts a first attempt, which adds its share to the budget.
    pub fn count_first_attempt(&mut self) {
        let cap = u64::from(Self::CAP) * MICROS_PER_TOKEN;
        self.micros = (self.micros + self.micros_per_attempt).min(cap);
    }

    /// Spends `cost` extra attempts. If fewer are left, it spends nothing and
    /// returns false.
    pub fn try_spend(&mut self, cost: u32) -> bool {
        let cost_micros = u64::from(cost) * MICROS_PER_TOKEN;
        if self.micros_per_attempt == 0 {
            return false;
        }
        let Some(rest) = self.micros.checked_sub(cost_micros) else {
            return false;
        };
        self.micros = rest;
        true
    }

    /// Returns the whole number of extra attempts left.
    #[must_use]
    pub fn left(&self) -> u32 {
        (self.micros / MICROS_PER_TOKEN) as u32
    }
}

fn micros_per_attempt(share: f64) -> u64 {
    (share.clamp(0.0, 1.0) * MICROS_PER_TOKEN as f64).round() as u64
}
