//! What nodes add to a call, against a direct call to the same target, in one
//! run.
//!
//! The series are measured in turn, slice by slice and round by round, so that
//! a slow moment of a shared machine meets all of them. Differences are taken
//! within a round; a report has the best and the median of all rounds.

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

/// Load comes back to rest in this time after all nodes are ready.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const IDLE_SPAN: Duration = Duration::from_secs(5);

/// What one run measures.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// Which nodes are measured.
    pub nodes: NodeKind,
    /// Calls a second of each series.
    pub rate_per_s: f64,
    /// Time measured for each series, in seconds.
    pub seconds: f64,
    /// Slices over which that time is spread.
    pub rounds: u32,
    /// Time before the first round, for each series, in seconds.
    pub warm_up_s: f64,
    /// Kept connections of each route, each with a thread of its own.
    pub connections: usize,
    /// The search for the rate at which p99 doubles ends here; 0 leaves it out.
    pub max_rate_per_s: f64,
    /// Seed of all arrivals.
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
    /// Checks the bounds.
    ///
    /// # Errors
    ///
    /// Names the first bound that does not hold.
    pub fn check(&self) -> Result<()> {
        ensure!(
            self.rate_per_s >= 1.0 && self.rate_per_s <= 20_000.0,
            "a rate from 1 to 20,000 calls a second"
        );
        ensure!(
            self.seconds >= 1.0 && self.seconds <= 60.0,
            "1 to 60 seconds"
        );
        ensure!((1..=20).contains(&self.rounds), "1 to 20 rounds");
        ensure!(
            (0.0..=10.0).contains(&self.warm_up_s),
            "0 to 10 seconds of warm-up"
        );
        ensure!(
            (1..=128).contains(&self.connections),
            "1 to 128 connections"
        );
        ensure!(
            (0.0..=20_000.0).contains(&self.max_rate_per_s),
            "a search up to at most 20,000 calls a second"
        );
        Ok(())
    }

    fn slice(&self) -> Duration {
        Duration::from_secs_f64(self.seconds / f64::from(self.rounds))
    }
}

/// Starts two targets with their nodes, measures, and ends all.
///
/// # Errors
///
/// Fails when the plan breaks a bound or a process does not come up or end.
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
