//! Tables and JSON of runs, and the comparison of the core with the other policies.

use std::fmt::Write;

use serde::Serialize;

use crate::policy::PolicyKind;
use crate::prelude::*;
use crate::world::RunReport;

/// All runs with one seed, as written to the JSON file.
#[derive(Debug, Serialize)]
pub struct RunSet<'a> {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Comparisons, one per case.
    pub summaries: Vec<Summary>,
    /// Runs in the order of the cases.
    pub runs: &'a [RunReport],
}

/// Comparison of the core with the oracle and the baselines in one case.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Name of the case.
    pub case: String,
    /// Tail latency of the core in microseconds; see [`tail_us`].
    pub ours_us: u64,
    /// Tail latency of the oracle in microseconds.
    pub oracle_us: u64,
    /// Lowest tail latency among the baselines with comparable goodput.
    pub best_baseline_us: Option<u64>,
    /// Baseline with that tail latency.
    pub best_baseline: Option<PolicyKind>,
    /// Ratio of the core's tail latency to the oracle's.
    pub over_oracle: f64,
    /// Ratio of the core's tail latency to the best baseline's. It is at most 1 if the
    /// core has the lowest tail latency, and 0 if no baseline has comparable goodput.
    pub over_best_baseline: f64,
}

/// Beyond capacity, a baseline with less than this share of the core's goodput is not
/// compared, because a policy that rejects more calls has shorter queues.
const COMPARABLE_GOODPUT: f64 = 0.99;

/// Tail latency by which policies are compared, in microseconds.
///
/// Below capacity it covers all tries, and a try without an answer counts with its
/// whole deadline. Beyond capacity some calls must be rejected, so it covers only
/// answered tries, and only policies with comparable goodput are compared.
#[must_use]
pub fn tail_us(case: &Case, report: &RunReport) -> u64 {
    if case.load > 1.0 {
        return report.p99_us;
    }
    report.p99_all_us
}

/// Compares the core with the oracle and the baselines in each case.
#[must_use]
pub fn summarise(cases: &[Case], runs: &[RunReport]) -> Vec<Summary> {
    let mut summaries = Vec::with_capacity(cases.len());
    for case in cases {
        if let Some(summary) = summarise_case(case, runs) {
            summaries.push(summary);
        }
    }
    summaries
}

fn summarise_case(case: &Case, runs: &[RunReport]) -> Option<Summary> {
    let of_case: Vec<&RunReport> = runs.iter().filter(|run| run.case == case.name).collect();
    let ours = of_case.iter().find(|run| run.policy == PolicyKind::Ours)?;
    let oracle = of_case
        .iter()
        .find(|run| run.policy == PolicyKind::Oracle)?;
    let ours_us = tail_us(case, ours);
    let oracle_us = tail_us(case, oracle);
    let mut best: Option<(u64, PolicyKind)> = None;
    for run in &of_case {
        if !run.policy.is_baseline()
            || best.is_some_and(|(known_us, _)| tail_us(case, run) >= known_us)
        {
            continue;
        }
        if case.load > 1.0 && run.goodput_per_s < COMPARABLE_GOODPUT * ours.goodput_per_s {
            continue;
        }
        best = Some((tail_us(case, run), run.policy));
    }
    Some(Summary {
        case: case.name.clone(),
        ours_us,
        oracle_us,
        best_baseline_us: best.map(|(tail_us, _)| tail_us),
        best_baseline: best.map(|(_, policy)| policy),
        over_oracle: ours_us as f64 / oracle_us.max(1) as f64,
        over_best_baseline: best.map_or(0.0, |(tail_us, _)| ours_us as f64 / tail_us.max(1) as f64),
    })
}

const TABLE_HEAD: &str = "\
| case | policy | p50 ms | p99 ms | p99.9 ms | p99 all ms | refused % | failed % | goodput/s \
| of capacity | attempts/try | hedges/try | probes/call | bytes/call | useful |
|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|
";

/// Formats the runs as a Markdown table with one line per run.
#[must_use]
pub fn table(runs: &[RunReport]) -> String {
    let mut text = String::from(TABLE_HEAD);
    for run in runs {
        push_line(&mut text, run);
    }
    text
}

fn push_line(text: &mut String, run: &RunReport) {
    let written = writeln!(
        text,
        "| {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.0} | {:.3} | {:.3} \
         | {:.3} | {:.3} | {:.0} | {:.3} |",
        run.case,
        run.policy.name(),
        millis(run.p50_us),
        millis(run.p99_us),
        millis(run.p999_us),
        millis(run.p99_all_us),
        percent(run.refused, run.tries),
        percent(run.failed, run.tries),
        run.goodput_per_s,
        run.goodput_share,
        run.attempts_per_try,
        run.hedges_per_try,
        run.probes_per_call,
        run.control_bytes_per_call,
        run.useful_share,
    );
    written.expect("writing to a string cannot fail");
}

const SUMMARY_HEAD: &str = "\
| case | ours p99 ms | oracle ms | best baseline ms | which | ours/oracle | ours/best |
|---|--:|--:|--:|---|--:|--:|
";

/// Formats the comparisons as a Markdown table.
#[must_use]
pub fn summary_table(summaries: &[Summary]) -> String {
    let mut text = String::from(SUMMARY_HEAD);
    for summary in summaries {
        let written = writeln!(
            text,
            "| {} | {:.1} | {:.1} | {:.1} | {} | {:.2} | {:.2} |",
            summary.case,
            millis(summary.ours_us),
            millis(summary.oracle_us),
            summary.best_baseline_us.map_or(f64::NAN, millis),
            summary.best_baseline.map_or("-", PolicyKind::name),
            summary.over_oracle,
            summary.over_best_baseline,
        );
        written.expect("writing to a string cannot fail");
    }
    text
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1e3
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}
