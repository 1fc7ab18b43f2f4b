//! Sums that decay with time.

use crate::prelude::*;

/// Time in which recorded work loses half of its weight.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Number of half-lives after which the weights are related to a new origin, so that they
/// stay within the range of exact arithmetic.
const MAX_HALF_LIVES: f64 = 20.0;

/// Returns the weight of the work of `age_ms`, if one unit is recorded in each millisecond.
pub(super) fn total_weight_ms(age_ms: f64) -> f64 {
    let rest = (-age_ms / HALF_LIFE_MS).exp2();
    (1.0 - rest) * HALF_LIFE_MS / std::f64::consts::LN_2
}

/// Weight of work that is recorded now, relative to work at an origin.
///
/// New work is weighted up instead of weighting all earlier sums down, so that sums of one
/// origin can be compared and added without regard to their times.
#[derive(Clone, Copy, Debug)]
pub(super) struct Decay {
    origin: Millis,
}

impl Decay {
    pub(super) const fn new(now: Millis) -> Self {
        Self { origin: now }
    }

    /// Returns the weight of work that is recorded now.
    pub(super) fn weight(&self, now: Millis) -> f64 {
        self.half_lives(now).exp2()
    }

    /// Moves the origin to `now` if it is long past. Returns the factor by which all sums
    /// must be multiplied then.
    pub(super) fn rebase(&mut self, now: Millis) -> Option<f64> {
        let half_lives = self.half_lives(now);
        if half_lives < MAX_HALF_LIVES {
            return None;
        }
        self.origin = now;
        Some((-half_lives).exp2())
    }

    fn half_lives(&self, now: Millis) -> f64 {
        now.since(self.origin).0 as f64 / HALF_LIFE_MS
    }
}
