//! Bounds on counts and virtual-time quantiles, kept in a committed file.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::policy::PolicyKind;
use crate::prelude::*;
use crate::report::{Summary, summarise};
use crate::run::{Job, run_all};
use crate::world::RunReport;

/// The committed file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundsFile {
    /// Seed of the runs that the bounds are about.
    pub seed: u64,
    /// The bounds.
    pub bounds: Vec<Bound>,
}

/// One bound on one measure of ours in one case.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Name of the case.
    pub case: String,
    /// What is bounded.
    pub measure: Measure,
    /// Greatest value that passes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
    /// Least value that passes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
    /// Why the bound stands where it stands.
    pub why: String,
}

/// What a bound can be about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Measure {
    /// 99th percentile of answered tries in microseconds.
    P99Us,
    /// 99.9th percentile of answered tries in microseconds.
    P999Us,
    /// Tail of ours over the oracle's.
    OverOracle,
    /// Tail of ours over the lowest among the baselines.
    OverBestBaseline,
    /// Answered calls as a share of what the slots can carry.
    GoodputShare,
    /// Refused tries as a share of all.
    RefusedShare,
    /// Failed tries as a share of all.
    FailedShare,
    /// Attempts per try, over all depths.
    AttemptsPerTry,
    /// Probes per try.
    ProbesPerCall,
    /// Share of the slots' busy time that was useful.
    UsefulShare,
    /// Crashes of targets.
    Crashes,
}

/// A bound beside what was measured.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The bound.
    pub bound: Bound,
    /// What the run gave.
    pub measured: f64,
    /// Whether the bound holds.
    pub holds: bool,
}

/// Runs what the bounds need and holds every bound against it.
///
/// # Errors
///
/// A bound that names a case which is not in the catalogue is an error: it
/// would otherwise pass unseen.
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
