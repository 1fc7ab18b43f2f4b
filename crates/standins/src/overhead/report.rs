//! Report on one run.

use std::collections::BTreeMap;

use crate::load::Tally;
use crate::prelude::*;

use super::Plan;
use super::doubling::Doubling;
use super::open_loop::Outcome;
use super::process_time::ProcessTime;
use super::quantiles::{Durations, Quantiles, durations};
use super::series::{Route, Series};
use super::table;

/// Measurements of a node without traffic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct IdleNode {
    /// VM of the node.
    pub vm: String,
    /// Shares of one core, by thread name and as `total`.
    pub core_share_by_thread: BTreeMap<String, f64>,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Processor time of one node while a series was measured.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct NodeTime {
    /// User and system time, in microseconds.
    pub busy_us: f64,
    /// Number of calls in that time.
    pub calls: u64,
}

impl NodeTime {
    pub(super) fn add(&mut self, spent: &ProcessTime, calls: u64) {
        const US_PER_S: f64 = 1_000_000.0;
        self.busy_us += spent.total().as_secs_f64() * US_PER_S;
        self.calls += calls;
    }

    /// Returns the processor time per call, in microseconds. It includes what the node
    /// uses without calls.
    #[must_use]
    pub fn us_per_call(&self) -> f64 {
        self.busy_us / self.calls.max(1) as f64
    }
}

/// Results of one series.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SeriesReport {
    /// The series.
    pub series: Series,
    /// Number of calls.
    pub calls: u64,
    /// Number of calls that were not answered with 200, by answer or error.
    pub failures: Tally,
    /// Latency quantiles of each round.
    pub rounds: Vec<Quantiles>,
    /// Latency quantiles over all rounds.
    pub overall: Quantiles,
    /// Lag of the generator itself, over all rounds.
    pub generator_lag: Quantiles,
    /// Processor time of each node, by VM.
    pub nodes: BTreeMap<String, NodeTime>,
    /// Histogram of all latencies.
    #[serde(skip, default = "durations")]
    pub latency: Durations,
    /// Histogram of all lags of the generator.
    #[serde(skip, default = "durations")]
    pub lag: Durations,
}

impl SeriesReport {
    /// Creates the report of a series without rounds.
    #[must_use]
    pub fn new(series: Series) -> Self {
        Self {
            series,
            calls: 0,
            failures: Tally::new(),
            rounds: Vec::new(),
            overall: Quantiles::default(),
            generator_lag: Quantiles::default(),
            nodes: BTreeMap::new(),
            latency: durations(),
            lag: durations(),
        }
    }

    pub(super) fn add(&mut self, outcome: &Outcome) -> Result<()> {
        self.calls += outcome.calls;
        for (reason, count) in &outcome.failures {
            *self.failures.entry(reason.clone()).or_default() += count;
        }
        self.rounds.push(Quantiles::of(&outcome.latency));
        self.latency.add(&outcome.latency)?;
        self.lag.add(&outcome.lag)?;
        self.overall = Quantiles::of(&self.latency);
        self.generator_lag = Quantiles::of(&self.lag);
        Ok(())
    }

    /// Returns the number of calls that were not answered with 200.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.failures.values().sum()
    }

    /// Returns the median over all rounds.
    #[must_use]
    pub fn median(&self) -> Quantiles {
        Quantiles::median(&self.rounds)
    }
}

/// Latency that a route adds to the direct call, from the rounds of one run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Added {
    /// Difference between the best rounds of both series. On a shared machine these
    /// are the rounds least affected by other load.
    pub best: Quantiles,
    /// Median of the differences within each round.
    pub median: Quantiles,
}

/// Report on one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Plan of the run.
    pub plan: Plan,
    /// The machine's load average before the first round.
    pub load_average_before: f64,
    /// The machine's load average after the last measurement.
    pub load_average_after: f64,
    /// Measurements of the nodes without traffic.
    pub idle: Vec<IdleNode>,
    /// Results of all series.
    pub series: Vec<SeriesReport>,
    /// Rates at which the p99 doubles; empty if the search was skipped.
    pub doublings: Vec<Doubling>,
    /// Resident memory of each node after all traffic, by VM, in bytes.
    pub resident_bytes_after: BTreeMap<String, u64>,
}

impl Report {
    /// Returns the latency that a series adds to the direct series of its call type.
    #[must_use]
    pub fn added(&self, series: Series) -> Option<Added> {
        let direct = Series {
            route: Route::Direct,
            ..series
        };
        let (one, direct) = (self.of(series)?, self.of(direct)?);
        let mut differences = Vec::new();
        for (round, base) in one.rounds.iter().zip(&direct.rounds) {
            differences.push(round.minus(base));
        }
        Some(Added {
            best: Quantiles::minimum(&one.rounds).minus(&Quantiles::minimum(&direct.rounds)),
            median: Quantiles::median(&differences),
        })
    }

    /// Returns the results of one series.
    #[must_use]
    pub fn of(&self, series: Series) -> Option<&SeriesReport> {
        self.series.iter().find(|one| one.series == series)
    }

    /// Formats the report as a table for people.
    #[must_use]
    pub fn table(&self) -> String {
        table::render(self)
    }

    /// Formats the report as JSON for programs.
    ///
    /// # Errors
    ///
    /// Never fails for a report that this crate created.
    pub fn json(&self) -> Result<String> {
        Ok(serde_json::to_string_pretty(self)?)
    }
}
