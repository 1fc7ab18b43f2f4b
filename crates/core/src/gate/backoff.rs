//! When a refused caller should retry.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;

const MIN_RETRY_AFTER_MS: f64 = 50.0;
const MAX_RETRY_AFTER_MS: f64 = 10_000.0;

/// Weight of one decision in the smoothed share of refusals.
const SMOOTHING: f64 = 1.0 / 32.0;

/// Jitter range, so that callers that were refused together do not return
/// together.
const SPREAD_LOW: f64 = 0.5;
const SPREAD_HIGH: f64 = 1.5;

/// Computes retry times that grow with the share of recently refused calls.
#[derive(Debug)]
pub(super) struct RetryAfter {
    rng: SmallRng,
    /// Smoothed share of arrivals refused for overload, 0 to 1.
    refused_share: f64,
}

impl RetryAfter {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            refused_share: 0.0,
        }
    }

    pub(super) fn note_admitted(&mut self) {
        self.refused_share -= self.refused_share * SMOOTHING;
    }

    pub(super) fn note_refused(&mut self) {
        self.refused_share += (1.0 - self.refused_share) * SMOOTHING;
    }

    /// Draws a time between 50 ms and 10 s. It grows exponentially with the
    /// share of refusals and has a jitter of 50% in both directions.
    pub(super) fn draw(&mut self) -> Millis {
        let base_ms =
            MIN_RETRY_AFTER_MS * (MAX_RETRY_AFTER_MS / MIN_RETRY_AFTER_MS).powf(self.refused_share);
        let spread = self.rng.random_range(SPREAD_LOW..SPREAD_HIGH);
        Millis((base_ms * spread).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64)
    }
}
