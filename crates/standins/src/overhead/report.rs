//! What one run has measured.

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

/// A node without traffic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct IdleNode {
    /// Its VM.
    pub vm: String,
    /// Shares of one core, by thread name and in `total`.
    pub core_share_by_thread: BTreeMap<String, f64>,
    /// Memory in use.
    pub resident_bytes: u64,
}

/// Processor time of one node while a series was measured.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct NodeTime {
    /// User and system time, in microseconds.
    pub busy_us: f64,
    /// Calls in that time.
    pub calls: u64,
}

impl NodeTime {
    pub(super) fn add(&mut self, spent: &ProcessTime, calls: u64) {
        const US_PER_S: f64 = 1_000_000.0;
        self.busy_us += spent.total().as_secs_f64() * US_PER_S;
        self.calls += calls;
    }

    /// Processor time a call, what the node spends without calls included.
    #[must_use]
    pub fn us_per_call(&self) -> f64 {
        self.busy_us / self.calls.max(1) as f64
    }
}

/// One series.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SeriesReport {
    /// Which.
    pub series: Series,
    /// Calls.
    pub calls: u64,
    /// Calls without the answer 200, by their answers.
    pub failures: Tally,
    /// Latency of each round.
    pub rounds: Vec<Quantiles>,
    /// Latency over all rounds.
    pub overall: Quantiles,
    /// How late the generator itself was, over all rounds.
    pub generator_lag: Quantiles,
    /// Processor time of each node, by VM.
    pub nodes: BTreeMap<String, NodeTime>,
    /// All latencies.
    #[serde(skip, default = "durations")]
    pub latency: Durations,
    /// All lags of the generator.
    #[serde(skip, default = "durations")]
    pub lag: Durations,
}

impl SeriesReport {
    /// A series without rounds yet.
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

    /// Calls without the answer 200.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.failures.values().sum()
    }

    /// The median of all rounds.
    #[must_use]
    pub fn median(&self) -> Quantiles {
        Quantiles::median(&self.rounds)
    }
}

/// What a route adds to the direct call, from the rounds of one run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Added {
    /// Difference of the best rounds: on a shared machine the one that other
    /// work has met least, of either series.
    pub best: Quantiles,
    /// Median difference.
    pub median: Quantiles,
}

/// The report of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// What was measured.
    pub plan: Plan,
    /// The machine's load average before the first round.
    pub load_average_before: f64,
    /// The same after the last measurement.
    pub load_average_after: f64,
    /// Nodes without traffic.
    pub idle: Vec<IdleNode>,
    /// All series.
    pub series: Vec<SeriesReport>,
    /// Rates at which the p99 doubles; empty when they were not searched.
    pub doublings: Vec<Doubling>,
    /// Memory of each node after all traffic, by VM.
    pub resident_bytes_after: BTreeMap<String, u64>,
}

impl Report {
    /// What a series adds to the direct one of its call type.
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

    /// The report of one series.
    #[must_use]
    pub fn of(&self, series: Series) -> Option<&SeriesReport> {
        self.series.iter().find(|one| one.series == series)
    }

    /// A table for people.
    #[must_use]
    pub fn table(&self) -> String {
        table::render(self)
    }

    /// JSON for programs.
    ///
    /// # Errors
    ///
    /// Never for a report as this crate makes it.
    pub fn json(&self) -> Result<String> {
        Ok(serde_json::to_string_pretty(self)?)
    }
}
