//! When a refused caller should come back.

use rand::RngExt;
use rand::rngs::Xoshiro256PlusPlus;

use crate::prelude::*;

/// Shortest time that a caller is told to stay away.
pub const MIN_RETRY_AFTER_MS: Millis = Millis(50);
/// Longest time that a caller is told to stay away.
pub const MAX_RETRY_AFTER_MS: Millis = Millis(10_000);

/// Time after which half of what was counted is forgotten.
const HALF_LIFE_MS: f32 = 2_000.0;
/// Attempts that count as answered before any was seen, so that one refusal of
/// a quiet service is not taken for an overload.
const ASSUMED_ACCEPTED_ATTEMPTS: f32 = 4.0;

/// Grows the time with the share of attempts that were refused lately.
///
/// Failure answered: a service refuses, all callers return together after the
/// same time, and are refused again. Spread breaks the step; growth lowers the
/// rate at which they return, until the refusals end.
#[derive(Clone, Debug)]
pub(crate) struct RetryAfter {
    attempts: f32,
    refusals: f32,
    counted_at: Millis,
}

impl RetryAfter {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            attempts: 0.0,
            refusals: 0.0,
            counted_at: now,
        }
    }

    /// Counts an attempt that was not refused.
    pub(crate) fn count_accepted(&mut self, now: Millis) {
        self.decay(now);
        self.attempts += 1.0;
    }

    /// Counts an attempt that was refused, here or at a gate.
    pub(crate) fn count_refused(&mut self, now: Millis) {
        self.decay(now);
        self.attempts += 1.0;
        self.refusals += 1.0;
    }

    /// Draws a time: the base grows from the shortest to half the longest with
    /// the share of refusals, and is spread over its double.
    pub(crate) fn draw(&mut self, rng: &mut Xoshiro256PlusPlus, now: Millis) -> Millis {
        self.decay(now);
        let share = self.refusals / (self.attempts + ASSUMED_ACCEPTED_ATTEMPTS);
        let shortest = MIN_RETRY_AFTER_MS.0 as f32;
        let longest = MAX_RETRY_AFTER_MS.0 as f32 / 2.0;
        let base = shortest * (longest / shortest).powf(share);
        let spread = base * (1.0 + rng.random::<f32>());
        Millis(spread as u64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    fn decay(&mut self, now: Millis) {
        let left = (-(now.since(self.counted_at).0 as f32) / HALF_LIFE_MS).exp2();
        self.attempts *= left;
        self.refusals *= left;
        self.counted_at = self.counted_at.max(now);
    }
}
