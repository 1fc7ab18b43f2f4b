//! Hard budgets: token buckets and shares of first attempts.
//!
//! Both count in millionths of a token, so that a share such as 0.1 adds up
//! exactly and a test can state the very call at which a budget runs dry.

use hornbeamhitch_types::clock::Millis;

#[cfg(test)]
mod tests;

const MICROS_PER_TOKEN: u64 = 1_000_000;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A hard limit on a rate: over any span of `t` seconds no more than
/// `burst + rate * t` tokens are handed out.
///
/// It bounds the work spent on measuring. A clock that stands still or steps
/// back adds nothing, and a long pause adds no more than one burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    micros: u64,
    cap_micros: u64,
    micros_per_ms: u64,
    filled_at: Millis,
}

impl TokenBucket {
    /// A full bucket; a rate that is not positive never refills it.
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

    /// Takes over a changed rate and burst; what is saved is kept up to the
    /// new burst, so that changing a policy never hands out tokens.
    pub fn set_rate(&mut self, rate_per_s: f64, burst: u32, now: Millis) {
        self.refill(now);
        self.cap_micros = u64::from(burst) * MICROS_PER_TOKEN;
        self.micros = self.micros.min(self.cap_micros);
        self.micros_per_ms = micros_per_ms(rate_per_s);
    }

    /// Takes one token; false when none is left.
    pub fn try_take(&mut self, now: Millis) -> bool {
        self.refill(now);
        let Some(rest) = self.micros.checked_sub(MICROS_PER_TOKEN) else {
            return false;
        };
        self.micros = rest;
        true
    }

    /// When the next token can be taken; `None` when it never can.
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

/// A rate that rounds down, so that rounding never exceeds the limit.
fn micros_per_ms(rate_per_s: f64) -> u64 {
    (rate_per_s.max(0.0) * MICROS_PER_TOKEN as f64 / MILLIS_PER_SECOND) as u64
}

/// Extra attempts as a share of first attempts.
///
/// Failure answered: a service is overloaded, every caller resends, and the
/// resends keep it overloaded after the cause is gone. With `n` first attempts
/// no more than `initial + share * n` extra ones are ever granted, whatever
/// fails, so the added load is bounded by the share. The reserve lets the
/// first failures of a quiet service be retried; its cap keeps a quiet hour
/// from saving up a storm.
#[derive(Clone, Debug)]
pub struct ShareBudget {
    micros: u64,
    micros_per_attempt: u64,
}

impl ShareBudget {
    /// Extra attempts granted before any first attempt was counted.
    pub const INITIAL: u32 = 4;
    /// Extra attempts that can be saved up at most.
    pub const CAP: u32 = 16;

    /// A budget for a share (0 to 1); a share of 0 grants nothing at all.
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

    /// Takes over a changed share; switching the budget off empties it, any
    /// other change hands out nothing.
    pub fn set_share(&mut self, share: f64) {
        self.micros_per_attempt = micros_per_attempt(share);
        if self.micros_per_attempt == 0 {
            self.micros = 0;
        }
    }

    /// Counts a first attempt.
    pub fn count_first_attempt(&mut self) {
        let cap = u64::from(Self::CAP) * MICROS_PER_TOKEN;
        self.micros = (self.micros + self.micros_per_attempt).min(cap);
    }

    /// Spends `cost` extra attempts; false, and nothing spent, when fewer are
    /// left.
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

    /// Whole extra attempts that are left.
    #[must_use]
    pub fn left(&self) -> u32 {
        (self.micros / MICROS_PER_TOKEN) as u32
    }
}

fn micros_per_attempt(share: f64) -> u64 {
    (share.clamp(0.0, 1.0) * MICROS_PER_TOKEN as f64).round() as u64
}
