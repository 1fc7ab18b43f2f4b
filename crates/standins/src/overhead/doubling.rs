//! Search for the rate at which the p99 of a series doubles.

use crate::prelude::*;

use super::Plan;
use super::bench::Bench;
use super::open_loop::OfferedLoad;
use super::quantiles::Quantiles;
use super::report::SeriesReport;
use super::series::Series;

const SLICE: Duration = Duration::from_secs(1);
const SLICES: u64 = 3;
const FACTOR: f64 = 2.0;
/// Number of times that the interval between the highest rate without doubling and
/// the lowest rate with doubling is halved.
const REFINEMENTS: u32 = 2;
/// If the p99 of the generator's own lag exceeds this share of the p99 latency, the
/// generator limits the result.
const MAX_LAG_SHARE: f64 = 0.5;

/// Measurement at one rate.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Step {
    /// Calls per second.
    pub rate_per_s: f64,
    /// Median p99 of the slices, in microseconds.
    pub p99_us: f64,
    /// Median p99 of the generator's own lag, in microseconds.
    pub lag_p99_us: f64,
    /// Number of failed calls.
    pub failures: u64,
}

/// Result of the search for one series.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Doubling {
    /// The series.
    pub series: Series,
    /// Median p99 at the plan's rate, in microseconds.
    pub base_p99_us: f64,
    /// Highest measured rate at which the p99 did not double.
    pub holds_at_per_s: f64,
    /// Lowest measured rate at which the p99 doubled; `None` if no rate up to the end of
    /// the search did.
    pub doubles_at_per_s: Option<f64>,
    /// All measurements, in order.
    pub steps: Vec<Step>,
}

impl Doubling {
    /// Doubles the rate until the p99 has doubled, then bisects the last interval.
    ///
    /// # Errors
    ///
    /// Fails when tickets cannot be fetched or connections cannot be established.
    pub(super) async fn search(
        plan: &Plan,
        bench: &mut Bench,
        base: &SeriesReport,
    ) -> Result<Self> {
        let mut found = Self {
            series: base.series,
            base_p99_us: base.median().p99_us,
            holds_at_per_s: plan.rate_per_s,
            doubles_at_per_s: None,
            steps: Vec::new(),
        };
        while found.doubles_at_per_s.is_none() && found.holds_at_per_s < plan.max_rate_per_s {
            let rate_per_s = (found.holds_at_per_s * 2.0).min(plan.max_rate_per_s);
            found.probe(plan, bench, rate_per_s).await?;
        }
        for _ in 0..REFINEMENTS {
            let Some(doubling_rate) = found.doubles_at_per_s else {
                break;
            };
            let rate_per_s = f64::midpoint(found.holds_at_per_s, doubling_rate);
            found.probe(plan, bench, rate_per_s).await?;
        }
        Ok(found)
    }

    async fn probe(&mut self, plan: &Plan, bench: &mut Bench, rate_per_s: f64) -> Result<()> {
        let mut latencies = Vec::new();
        let mut lags = Vec::new();
        let mut failures = 0;
        for slice in 0..SLICES {
            let offered = OfferedLoad {
                rate_per_s,
                span: SLICE,
                seed: plan.seed + slice,
            };
            let outcome = bench.run_load(self.series, &offered).await?;
            latencies.push(Quantiles::of(&outcome.latency));
            lags.push(Quantiles::of(&outcome.lag));
            failures += outcome.failures.values().sum::<u64>();
        }
        let step = Step {
            rate_per_s,
            p99_us: Quantiles::median(&latencies).p99_us,
            lag_p99_us: Quantiles::median(&lags).p99_us,
            failures,
        };
        self.steps.push(step);
        if failures == 0 && step.p99_us < FACTOR * self.base_p99_us {
            self.holds_at_per_s = rate_per_s;
        } else {
            self.doubles_at_per_s = Some(rate_per_s);
        }
        Ok(())
    }

    /// Returns whether the generator itself was late at the rate that doubled the p99.
    #[must_use]
    pub fn is_limited_by_generator(&self) -> bool {
        let Some(rate_per_s) = self.doubles_at_per_s else {
            return false;
        };
        let mut steps = self.steps.iter();
        steps.any(|step| {
            step.rate_per_s == rate_per_s && step.lag_p99_us > MAX_LAG_SHARE * step.p99_us
        })
    }
}
