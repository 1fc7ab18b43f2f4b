//! Compares what callers were told with what targets ran.

use std::collections::HashMap;

use crate::prelude::*;
use crate::target::{RunEnd, RunRecord};

use super::plan::LoadPlan;
use super::record::{CallRecord, Verdict};

/// Maximum number of example calls in a report for each kind of fault.
const MAX_EXAMPLES: usize = 10;

/// Result of the comparison. The first five counters must be zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reconciliation {
    /// Calls whose caller got an answer, but that no target finished.
    pub lost: u64,
    /// Non-idempotent calls that ran more than once.
    pub run_twice: u64,
    /// Calls that ran although their caller was told that they did not.
    pub not_run_but_ran: u64,
    /// Calls that got anything but the complete answer to their own request.
    pub wrong_answers: u64,
    /// Runs without a nonce, which cannot be assigned to a call and could be second
    /// runs.
    pub unaccounted_runs: u64,
    /// Calls whose callers cannot tell whether they ran.
    pub unknown: u64,
    /// Calls of these that ran.
    pub unknown_ran: u64,
    /// Calls of these that did not run.
    pub unknown_not_ran: u64,
    /// Idempotent calls that ran more than once, through retries and hedged requests.
    pub idempotent_repeats: u64,
    /// Up to ten example calls for each of the first four counters.
    pub examples: Vec<String>,
}

impl Reconciliation {
    /// Returns whether the first five counters are zero.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let faults = self.lost + self.run_twice + self.not_run_but_ran + self.wrong_answers;
        faults + self.unaccounted_runs == 0
    }

    fn example(&mut self, count: u64, fault: &str, record: &CallRecord, runs: &[&RunRecord]) {
        if count > MAX_EXAMPLES as u64 {
            return;
        }
        let mut starts = Vec::new();
        for run in runs {
            let marks = &run.marks;
            let (number, attempt) = (marks.try_number, marks.attempt);
            starts.push(format!(
                "{}#{} try {number:?} attempt {attempt:?} {:?}",
                run.target, run.run, run.end
            ));
        }
        self.examples.push(format!(
            "{fault}: {} codes {:?}, not-run tries {:?}, runs [{}]",
            record.nonce,
            record.codes,
            record.not_run_tries,
            starts.join("; ")
        ));
    }
}

pub(super) fn reconcile(
    plan: &LoadPlan,
    records: &[CallRecord],
    runs: &[RunRecord],
) -> Reconciliation {
    let mut by_nonce: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
    let mut totals = Reconciliation::default();
    for run in runs {
        match &run.marks.nonce {
            Some(nonce) => by_nonce.entry(nonce).or_default().push(run),
            None => totals.unaccounted_runs += 1,
        }
    }
    for record in records {
        let runs = by_nonce.get(record.nonce.as_str());
        let runs = runs.map_or(&[][..], Vec::as_slice);
        compare(plan, record, runs, &mut totals);
    }
    totals
}

fn compare(plan: &LoadPlan, record: &CallRecord, runs: &[&RunRecord], totals: &mut Reconciliation) {
    let finished = runs.iter().any(|run| could_have_answered(run));
    if record.verdict == Verdict::Answered && !finished {
        totals.lost += 1;
        totals.example(totals.lost, "lost", record, runs);
    }
    if runs.len() > 1 {
        if plan.kinds[record.kind].idempotent {
            totals.idempotent_repeats += 1;
        } else {
            totals.run_twice += 1;
            totals.example(totals.run_twice, "run twice", record, runs);
        }
    }
    if ran_despite_not_run(record, runs) {
        totals.not_run_but_ran += 1;
        totals.example(totals.not_run_but_ran, "not run but ran", record, runs);
    }
    if record.wrong_answer {
        totals.wrong_answers += 1;
        totals.example(totals.wrong_answers, "wrong answer", record, runs);
    }
    if record.verdict == Verdict::Unknown {
        totals.unknown += 1;
        if runs.is_empty() {
            totals.unknown_not_ran += 1;
        } else {
            totals.unknown_ran += 1;
        }
    }
}

/// Returns whether the target can have answered this run.
fn could_have_answered(run: &RunRecord) -> bool {
    matches!(
        run.end,
        RunEnd::Finished | RunEnd::FailedFast | RunEnd::DeadlinePassed
    )
}

fn ran_despite_not_run(record: &CallRecord, runs: &[&RunRecord]) -> bool {
    if record.verdict == Verdict::NotRun && !runs.is_empty() {
        return true;
    }
    for run in runs {
        let Some(number) = run.marks.try_number else {
            continue;
        };
        if record.not_run_tries.contains(&number) {
            return true;
        }
    }
    false
}
