//! The load tool: sends calls in an open loop as the documented protocol requires
//! of callers, and reconciles what callers were told with what targets ran.

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

/// Outcome of one run of the load tool.
#[derive(Debug)]
pub struct LoadOutcome {
    /// The plan of the run.
    pub plan: LoadPlan,
    /// One record per call, in the order in which the calls ended.
    pub records: Vec<CallRecord>,
    /// Time from the start of the run to the end of the last call.
    pub elapsed: Duration,
}

impl LoadOutcome {
    /// Compares what callers were told with what targets ran.
    #[must_use]
    pub fn reconcile(&self, runs: &[RunRecord]) -> Reconciliation {
        reconcile::reconcile(&self.plan, &self.records, runs)
    }

    /// Summarises the run. `runs` are the runs of all targets, if they are known.
    #[must_use]
    pub fn report(&self, runs: Option<&[RunRecord]>) -> Report {
        report::report(self, runs.map(|runs| self.reconcile(runs)))
    }
}

/// Sends all calls of a plan and waits until all have ended.
///
/// # Errors
///
/// Fails when the plan exceeds a limit.
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

/// Fetches the journals of targets over HTTP.
///
/// # Errors
///
/// Fails when a journal cannot be read.
pub async fn fetch_runs(targets: &[SocketAddr]) -> Result<Vec<RunRecord>> {
    let client = HttpClient::new(HttpVersion::Http1);
    let mut runs = Vec::new();
    for target in targets {
        let answer = client.get(*target, "/admin/runs").await?;
        runs.append(&mut answer.json::<Vec<RunRecord>>()?);
    }
    Ok(runs)
}

/// Counters by name.
pub(crate) type Tally = BTreeMap<String, u64>;
