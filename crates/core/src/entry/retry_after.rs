//! When a refused caller should retry.

use rand::RngExt;
use rand::rngs::Xoshiro256PlusPlus;

use crate::prelude::*;

/// Minimum `Retry-After` of a refusal.
pub const MIN_RETRY_AFTER_MS: Millis = Millis(50);
/// Maximum `Retry-After` of a refusal.
pub const MAX_RETRY_AFTER_MS: Millis = Millis(10_000);

/// Half-life of the attempt and refusal counts.
const HALF_LIFE_MS: f32 = 2_000.0;
/// Number of accepted attempts assumed at the start, so that a single refusal
/// of a service with little traffic does not count as an overload.
const ASSUMED_ACCEPTED_ATTEMPTS: f32 = 4.0;

/// Computes retry times that grow with the share of recently refused attempts.
///
/// If all refused callers retried after the same time, they would return
/// together and be refused again. Jitter spreads them out, and the growing time
/// lowers their rate until the refusals end.
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

    /// Counts an attempt that was refused by this entry or by a gate.
    pub(crate) fn count_refused(&mut self, now: Millis) {
        self.decay(now);
        self.attempts += 1.0;
        self.refusals += 1.0;
    }

    /// Draws a retry time. Its base grows exponentially with the share of
    /// refusals from the minimum to half of the maximum; the result is uniform
    /// between the base and twice the base.
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
