//! Checks counts and virtual-time quantiles against the bounds in a committed file.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::policy::PolicyKind;
use crate::prelude::*;
use crate::report::{Summary, summarise};
use crate::run::{Job, run_all};
use crate::world::RunReport;

/// Content of the committed file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundsFile {
    /// Seed of the runs to which the bounds apply.
    pub seed: u64,
    /// The bounds.
    pub bounds: Vec<Bound>,
}

/// Bound on a measure of the core's own policy in one case.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Name of the case.
    pub case: String,
    /// Measure to which the bound applies.
    pub measure: Measure,
    /// Greatest allowed value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
    /// Least allowed value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
    /// Reason for the value of the bound.
    pub why: String,
}

/// Measures that can have a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Measure {
    /// 99th percentile of the latency of answered tries in microseconds.
    P99Us,
    /// 99.9th percentile of the latency of answered tries in microseconds.
    P999Us,
    /// Ratio of the core's tail latency to the oracle's.
    OverOracle,
    /// Ratio of the core's tail latency to the lowest among the baselines.
    OverBestBaseline,
    /// Answered calls per second as a share of the capacity.
    GoodputShare,
    /// Rejected tries as a share of all tries.
    RefusedShare,
    /// Failed tries as a share of all tries.
    FailedShare,
    /// Attempts per try, at all depths.
    AttemptsPerTry,
    /// Probes per try.
    ProbesPerCall,
    /// Share of the slots' busy time that was spent on answers that reached their entry.
    UsefulShare,
    /// Number of target crashes.
    Crashes,
}

/// Result of checking a bound.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The bound.
    pub bound: Bound,
    /// Measured value.
    pub measured: f64,
    /// Whether the bound holds.
    pub holds: bool,
}

/// Makes the runs that the bounds need and checks every bound.
///
/// # Errors
///
/// Fails if a bound names a case that is not in the catalogue, since the bound would
/// otherwise never be checked.
pub fn check(file: &BoundsFile, cases: &[Case]) -> eyre::Result<Vec<Verdict>> {
    let mut jobs: Vec<Job> = Vec::new();
    let mut used: Vec<Case> = Vec::new();
    for bound in &file.bounds {
        let case = cases.iter().find(|case| case.name == bound.case);
        let case = case.ok_or_else(|| eyre::eyre!("no case is named {}", bound.case))?;
        if !used.iter().any(|known| known.name == case.name) {
            used.push(case.clone());
        }
        push_jobs(&mut jobs, case, bound.measure);
    }
    let runs = run_all(&jobs, file.seed);
    let summaries = summarise(&used, &runs);
    let mut verdicts = Vec::with_capacity(file.bounds.len());
    for bound in &file.bounds {
        let measured = measure(bound, &runs, &summaries);
        let holds = bound.at_most.is_none_or(|limit| measured <= limit)
            && bound.at_least.is_none_or(|limit| measured >= limit);
        verdicts.push(Verdict {
            bound: bound.clone(),
            measured,
            holds,
        });
    }
    Ok(verdicts)
}

fn push_jobs(jobs: &mut Vec<Job>, case: &Case, measure: Measure) {
    use strum::VariantArray;
    for kind in PolicyKind::VARIANTS {
        let is_needed = match measure {
            Measure::OverBestBaseline => true,
            Measure::OverOracle => !kind.is_baseline(),
            _ => *kind == PolicyKind::Ours,
        };
        let is_known = jobs
            .iter()
            .any(|job| job.case.name == case.name && job.kind == *kind);
        if is_needed && !is_known {
            jobs.push(Job {
                case: case.clone(),
                kind: *kind,
            });
        }
    }
}

fn measure(bound: &Bound, runs: &[RunReport], summaries: &[Summary]) -> f64 {
    let ours = runs
        .iter()
        .find(|run| run.case == bound.case && run.policy == PolicyKind::Ours)
        .expect("every bound needs a run of ours");
    let summary = summaries.iter().find(|summary| summary.case == bound.case);
    let tries = ours.tries.max(1) as f64;
    match bound.measure {
        Measure::P99Us => ours.p99_us as f64,
        Measure::P999Us => ours.p999_us as f64,
        Measure::OverOracle => summary.expect("the oracle was run").over_oracle,
        Measure::OverBestBaseline => summary.expect("all were run").over_best_baseline,
        Measure::GoodputShare => ours.goodput_share,
        Measure::RefusedShare => ours.refused as f64 / tries,
        Measure::FailedShare => ours.failed as f64 / tries,
        Measure::AttemptsPerTry => ours.attempts_per_try,
        Measure::ProbesPerCall => ours.probes_per_call,
        Measure::UsefulShare => ours.useful_share,
        Measure::Crashes => ours.crashes as f64,
    }
}
