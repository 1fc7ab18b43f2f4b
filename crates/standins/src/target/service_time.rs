//! How long a run takes.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;

const MAX_SERVICE_US: f64 = 60_000_000.0;

/// Distribution of service times, all in microseconds.
///
/// The timer that ends a run has a grain of a millisecond: a run takes up to a
/// millisecond longer than drawn. Zero costs no timer at all.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceTime {
    /// Always the same.
    Fixed {
        /// The time.
        us: u64,
    },
    /// Without memory.
    Exponential {
        /// Its mean.
        mean_us: u64,
    },
    /// With a long tail.
    LogNormal {
        /// Half of all runs take less.
        median_us: u64,
        /// Deviation of the logarithm; 0.5 is moderate, 1.5 heavy.
        sigma: f64,
    },
}

/// Draws service times from a seed.
pub(super) struct Sampler {
    rng: Mutex<StdRng>,
}

impl Sampler {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Draws one service time in microseconds.
    pub(super) fn draw_us(&self, distribution: &ServiceTime) -> f64 {
        let drawn = match *distribution {
            ServiceTime::Fixed { us } => us as f64,
            ServiceTime::Exponential { mean_us } => -self.open_unit().ln() * mean_us as f64,
            ServiceTime::LogNormal { median_us, sigma } => {
                (self.normal() * sigma).exp() * median_us as f64
            }
        };
        drawn.clamp(0.0, MAX_SERVICE_US)
    }

    /// Draws a whole number in a range.
    pub(super) fn between(&self, low: u64, high: u64) -> u64 {
        self.rng.lock().random_range(low..=high.max(low))
    }

    /// A number in (0, 1], so that its logarithm is finite.
    fn open_unit(&self) -> f64 {
        1.0 - self.rng.lock().random::<f64>()
    }

    fn normal(&self) -> f64 {
        let radius = (-2.0 * self.open_unit().ln()).sqrt();
        radius * (std::f64::consts::TAU * self.open_unit()).cos()
    }
}
