//! Measures the latency that nodes add to a call, compared with a direct call to the
//! same target in the same run.
//!
//! The series are measured in turn in each round, so that a slow phase of a shared
//! machine affects all of them. Differences are computed within a round. A report
//! contains the best and the median over all rounds.

use crate::demo::{NodeKind, Programs};
use crate::prelude::*;

pub mod bench;
pub mod bounds;
pub mod doubling;
pub mod open_loop;
pub mod process_time;
pub mod quantiles;
pub mod report;
pub mod schedule;
pub mod series;

mod table;

pub use bench::Bench;
pub use open_loop::{OfferedLoad, OpenLoop};
pub use quantiles::Quantiles;
pub use report::Report;
pub use series::{CallType, Route, Series};

use doubling::Doubling;
use report::{IdleNode, SeriesReport};

/// Time after which the start-up load has subsided once all nodes are ready.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const IDLE_SPAN: Duration = Duration::from_secs(5);

/// Plan of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// Kind of the measured nodes.
    pub nodes: NodeKind,
    /// Calls per second of each series.
    pub rate_per_s: f64,
    /// Measured time of each series, in seconds.
    pub seconds: f64,
    /// Number of rounds over which that time is spread.
    pub rounds: u32,
    /// Warm-up time of each series before the first round, in seconds.
    pub warm_up_s: f64,
    /// Persistent connections of each route, each with its own thread.
    pub connections: usize,
    /// Highest rate in the search for the rate at which p99 doubles; 0 skips the
    /// search.
    pub max_rate_per_s: f64,
    /// Seed of all arrival times.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            nodes: NodeKind::default(),
            rate_per_s: 1_000.0,
            seconds: 10.0,
            rounds: 5,
            warm_up_s: 2.0,
            connections: 32,
            max_rate_per_s: 20_000.0,
            seed: 1,
        }
    }
}

impl Plan {
    /// Checks the limits of the plan.
    ///
    /// # Errors
    ///
    /// Describes the first violation.
    pub fn check(&self) -> Result<()> {
        ensure!(
            self.rate_per_s >= 1.0 && self.rate_per_s <= 20_000.0,
            "the rate must be from 1 to 20,000 calls per second"
        );
        ensure!(
            self.seconds >= 1.0 && self.seconds <= 60.0,
            "the measured time must be from 1 to 60 seconds"
        );
        ensure!(
            (1..=20).contains(&self.rounds),
            "the number of rounds must be from 1 to 20"
        );
        ensure!(
            (0.0..=10.0).contains(&self.warm_up_s),
            "the warm-up must be from 0 to 10 seconds"
        );
        ensure!(
            (1..=128).contains(&self.connections),
            "the number of connections must be from 1 to 128"
        );
        ensure!(
            (0.0..=20_000.0).contains(&self.max_rate_per_s),
            "the search must end at 20,000 calls per second at most"
        );
        Ok(())
    }

    fn slice(&self) -> Duration {
        Duration::from_secs_f64(self.seconds / f64::from(self.rounds))
    }
}

/// Starts two targets with their nodes, runs the measurement and stops all processes.
///
/// # Errors
///
/// Fails when the plan exceeds a limit or a process does not become ready or exit.
pub async fn run(plan: Plan, programs: &Programs) -> Result<Report> {
    plan.check()?;
    let mut bench = Bench::start(programs, plan.connections).await?;
    let report = measure(&plan, &mut bench).await;
    bench.stop().await?;
    report
}

async fn measure(plan: &Plan, bench: &mut Bench) -> Result<Report> {
    tokio::time::sleep(SETTLE_TIME).await;
    let idle = measure_idle(bench).await?;
    let load_average_before = process_time::load_average();
    let mut series = warm_up(plan, bench).await?;
    for round in 0..plan.rounds {
        for one in &mut series {
            let offered = OfferedLoad {
                rate_per_s: plan.rate_per_s,
                span: plan.slice(),
                seed: plan.seed + u64::from(round),
            };
            measure_slice(bench, one, &offered).await?;
        }
    }
    let mut doublings = Vec::new();
    if plan.max_rate_per_s > plan.rate_per_s {
        for one in &series {
            let found = Doubling::search(plan, bench, one).await?;
            doublings.push(found);
        }
    }
    let resident_bytes_after = bench.resident_bytes()?;
    Ok(Report {
        plan: plan.clone(),
        load_average_before,
        load_average_after: process_time::load_average(),
        idle,
        series,
        doublings,
        resident_bytes_after,
    })
}

async fn measure_idle(bench: &mut Bench) -> Result<Vec<IdleNode>> {
    let before = bench.processor_times()?;
    tokio::time::sleep(IDLE_SPAN).await;
    let after = bench.processor_times()?;
    let resident = bench.resident_bytes()?;
    let mut idle = Vec::new();
    for (vm, after) in &after {
        let spent = after.since(&before[vm]);
        idle.push(IdleNode {
            vm: vm.clone(),
            core_share_by_thread: spent.core_shares(IDLE_SPAN),
            resident_bytes: resident[vm],
        });
    }
    Ok(idle)
}

async fn warm_up(plan: &Plan, bench: &mut Bench) -> Result<Vec<SeriesReport>> {
    let mut all = Vec::new();
    for series in Series::all() {
        let offered = OfferedLoad {
            rate_per_s: plan.rate_per_s,
            span: Duration::from_secs_f64(plan.warm_up_s),
            seed: plan.seed,
        };
        bench.run_load(series, &offered).await?;
        all.push(SeriesReport::new(series));
    }
    Ok(all)
}

async fn measure_slice(
    bench: &mut Bench,
    report: &mut SeriesReport,
    offered: &OfferedLoad,
) -> Result<()> {
    let before = bench.processor_times()?;
    let outcome = bench.run_load(report.series, offered).await?;
    let after = bench.processor_times()?;
    for (vm, after) in &after {
        let spent = after.since(&before[vm]);
        let time = report.nodes.entry(vm.clone()).or_default();
        time.add(&spent, outcome.calls);
    }
    report.add(&outcome)
}
