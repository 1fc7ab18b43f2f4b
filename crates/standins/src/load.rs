//! The load tool: open loop, documented callers, and a reconciliation of what
//! callers were told with what targets ran.

use std::collections::BTreeMap;
use std::time::Instant;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::http_client::{HttpClient, HttpVersion};
use crate::prelude::*;
use crate::target::RunRecord;

pub mod caller;
pub mod plan;
pub mod reconcile;
pub mod record;
pub mod report;

mod answer;
mod pace;
mod progress;
mod table;
mod tickets;

pub use caller::{Call, Caller};
pub use plan::{CallKind, CallerLimits, Destination, LoadPlan, Pacing};
pub use reconcile::Reconciliation;
pub use record::{CallRecord, Verdict};
pub use report::{LatencySummary, Report};

/// All calls of one run.
#[derive(Debug)]
pub struct LoadOutcome {
    /// The plan.
    pub plan: LoadPlan,
    /// One record a call, by the order in which they ended.
    pub records: Vec<CallRecord>,
    /// From the first call to the end of the last.
    pub elapsed: Duration,
}

impl LoadOutcome {
    /// Compares what callers were told with what targets ran.
    #[must_use]
    pub fn reconcile(&self, runs: &[RunRecord]) -> Reconciliation {
        reconcile::reconcile(&self.plan, &self.records, runs)
    }

    /// Sums up; `runs` are those of all targets, if they are known.
    #[must_use]
    pub fn report(&self, runs: Option<&[RunRecord]>) -> Report {
        report::report(self, runs.map(|runs| self.reconcile(runs)))
    }
}

/// Sends all calls of a plan and waits for the last to end.
///
/// # Errors
///
/// Fails when the plan breaks a bound.
pub async fn run(plan: LoadPlan) -> Result<LoadOutcome> {
    plan.check()?;
    let plan = Arc::new(plan);
    let caller = Arc::new(Caller::new(&plan));
    let permits = Arc::new(Semaphore::new(plan.max_in_flight));
    let run_name = format!("{}-{}", plan.seed, wall_clock().0);
    let started_at = Instant::now();
    let mut due_calls = pace::start(&plan)?;
    let mut calls = JoinSet::new();
    let mut records = Vec::new();
    loop {
        tokio::select! {
            biased;
            due = due_calls.recv() => {
                let Some(due) = due else {
                    break;
                };
                let (plan, caller) = (Arc::clone(&plan), Arc::clone(&caller));
                let permits = Arc::clone(&permits);
                let nonce = format!("{run_name}-{}", due.number);
                calls.spawn(async move {
                    let _permit = permits.acquire().await;
                    make_call(&plan, &caller, due, nonce).await
                });
            }
            Some(ended) = calls.join_next() => records.push(ended?),
        }
    }
    while let Some(ended) = calls.join_next().await {
        records.push(ended?);
    }
    let elapsed = started_at.elapsed();
    let plan = Arc::unwrap_or_clone(plan);
    Ok(LoadOutcome {
        plan,
        records,
        elapsed,
    })
}

async fn make_call(
    plan: &LoadPlan,
    caller: &Caller,
    due: pace::DueCall,
    nonce: String,
) -> CallRecord {
    let call = Call {
        kind: &plan.kinds[due.kind],
        kind_index: due.kind,
        nonce,
        tenant: due.tenant,
        entry_draw: due.entry_draw,
        intended_at: due.intended_at,
    };
    caller.call(&call).await
}

/// Reads the journals of targets that run as processes.
///
/// # Errors
///
/// Fails when one of them cannot be reached.
pub async fn fetch_runs(targets: &[SocketAddr]) -> Result<Vec<RunRecord>> {
    let client = HttpClient::new(HttpVersion::Http1);
    let mut runs = Vec::new();
    for target in targets {
        let answer = client.get(*target, "/admin/runs").await?;
        runs.append(&mut answer.json::<Vec<RunRecord>>()?);
    }
    Ok(runs)
}

/// Counts by name, for reports.
pub(crate) type Tally = BTreeMap<String, u64>;
