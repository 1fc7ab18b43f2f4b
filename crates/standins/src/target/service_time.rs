//! Distributions of the duration of runs.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;

const MAX_SERVICE_US: f64 = 60_000_000.0;

/// Distribution of service times, in microseconds.
///
/// The timer that ends a run has a resolution of a millisecond, so a run takes
/// up to a millisecond longer than drawn. A service time of zero uses no timer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceTime {
    /// Constant.
    Fixed {
        /// The service time.
        us: u64,
    },
    /// Exponential distribution.
    Exponential {
        /// Mean.
        mean_us: u64,
    },
    /// Log-normal distribution, which has a long tail.
    LogNormal {
        /// Median.
        median_us: u64,
        /// Standard deviation of the logarithm; 0.5 gives a moderate tail, 1.5 a
        /// heavy one.
        sigma: f64,
    },
}

/// Seeded source of random service times.
pub(super) struct Sampler {
    rng: Mutex<StdRng>,
}

impl Sampler {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Draws a service time, in microseconds.
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

    /// Draws an integer from `low` to `high`, both included.
    pub(super) fn between(&self, low: u64, high: u64) -> u64 {
        self.rng.lock().random_range(low..=high.max(low))
    }

    /// Draws a number in (0, 1], so that its logarithm is finite.
    fn open_unit(&self) -> f64 {
        1.0 - self.rng.lock().random::<f64>()
    }

    fn normal(&self) -> f64 {
        let radius = (-2.0 * self.open_unit().ln()).sqrt();
        radius * (std::f64::consts::TAU * self.open_unit()).cos()
    }
}
