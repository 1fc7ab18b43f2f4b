//! Quantiles of a histogram of durations.

use hdrhistogram::Histogram;

use crate::prelude::*;

const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_DURATION_NS: u64 = 60_000_000_000;
const NS_PER_US: f64 = 1_000.0;

/// Histogram of durations in nanoseconds.
pub type Durations = Histogram<u64>;

/// Creates an empty histogram.
pub(super) fn durations() -> Durations {
    Histogram::new_with_bounds(1, MAX_DURATION_NS, SIGNIFICANT_DIGITS)
        .expect("the constant bounds and digits are valid")
}

/// Records a duration. Durations above a minute are recorded as a minute.
pub(super) fn record(durations: &mut Durations, duration: Duration) {
    let ns = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
    durations.saturating_record(ns);
}

/// Quantiles in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50_us: f64,
    /// 99th percentile.
    pub p99_us: f64,
    /// 99.9th percentile.
    pub p999_us: f64,
}

impl Quantiles {
    /// Reads the quantiles of a histogram.
    #[must_use]
    pub fn of(durations: &Histogram<u64>) -> Self {
        let us = |quantile| durations.value_at_quantile(quantile) as f64 / NS_PER_US;
        Self {
            p50_us: us(0.5),
            p99_us: us(0.99),
            p999_us: us(0.999),
        }
    }

    /// Subtracts each quantile of `other`.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            p50_us: self.p50_us - other.p50_us,
            p99_us: self.p99_us - other.p99_us,
            p999_us: self.p999_us - other.p999_us,
        }
    }

    /// Returns the median of each quantile over all rounds.
    #[must_use]
    pub fn median(rounds: &[Self]) -> Self {
        Self::by_rank(rounds, rounds.len() / 2)
    }

    /// Returns the minimum of each quantile over all rounds.
    #[must_use]
    pub fn minimum(rounds: &[Self]) -> Self {
        Self::by_rank(rounds, 0)
    }

    fn by_rank(rounds: &[Self], rank: usize) -> Self {
        let pick = |read: fn(&Self) -> f64| {
            let mut values: Vec<f64> = rounds.iter().map(read).collect();
            values.sort_by(f64::total_cmp);
            values.get(rank).copied().unwrap_or_default()
        };
        Self {
            p50_us: pick(|round| round.p50_us),
            p99_us: pick(|round| round.p99_us),
            p999_us: pick(|round| round.p999_us),
        }
    }
}
