//! Counters of a run and the report of them.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::policy::PolicyKind;
use crate::prelude::*;

const MAX_LATENCY_US: u64 = 60_000_000;
/// With three significant digits, quantiles are exact to a thousandth.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// The caller got the complete answer before the deadline.
    Answered,
    /// The call did not run.
    Refused(Refusal),
    /// The call failed or may have run.
    Failed(Refusal),
}

/// Counters of one run.
#[derive(Debug)]
pub(super) struct Tally {
    answered: Histogram<u64>,
    all: Histogram<u64>,
    calls: u64,
    calls_answered: u64,
    tries_refused: u64,
    tries_failed: u64,
    tries_measured: u64,
    goodput: u64,
    pub(super) tries: u64,
    pub(super) attempts: u64,
    pub(super) retries: u64,
    pub(super) hedges: u64,
    pub(super) probes: u64,
    pub(super) control_bytes: u64,
    pub(super) crashes: u64,
    pub(super) busy_us: u64,
    pub(super) useful_us: u64,
}

impl Tally {
    pub(super) fn new() -> Self {
        Self {
            answered: histogram(),
            all: histogram(),
            calls: 0,
            calls_answered: 0,
            tries_refused: 0,
            tries_failed: 0,
            tries_measured: 0,
            goodput: 0,
            tries: 0,
            attempts: 0,
            retries: 0,
            hedges: 0,
            probes: 0,
            control_bytes: 0,
            crashes: 0,
            busy_us: 0,
            useful_us: 0,
        }
    }

    pub(super) fn count_goodput(&mut self, end: &CallEnd, in_window: bool) {
        if in_window && *end == CallEnd::Answered {
            self.goodput += 1;
        }
    }

    /// Counts the end of a caller's try. The latency of a try without an answer counts
    /// as its whole deadline, so that rejections do not lower the quantiles.
    pub(super) fn count_try(&mut self, end: &CallEnd, latency: Micros, deadline: Micros) {
        self.tries_measured += 1;
        match end {
            CallEnd::Answered => {
                self.answered.saturating_record(latency.0);
                self.all.saturating_record(latency.0);
                return;
            }
            CallEnd::Refused(_) => self.tries_refused += 1,
            CallEnd::Failed(_) => self.tries_failed += 1,
        }
        self.all.saturating_record(deadline.0);
    }

    /// Counts a call that its caller does not send again.
    pub(super) fn count_call(&mut self, end: &CallEnd) {
        self.calls += 1;
        if *end == CallEnd::Answered {
            self.calls_answered += 1;
        }
    }

    pub(super) fn report(&self, case: &Case, kind: PolicyKind) -> RunReport {
        let window = case.duration.since(case.warm_up);
        let goodput_per_s = self.goodput as f64 / window.as_secs_f64();
        RunReport {
            case: case.name.clone(),
            policy: kind,
            calls: self.calls,
            calls_answered: self.calls_answered,
            tries: self.tries_measured,
            refused: self.tries_refused,
            failed: self.tries_failed,
            p50_us: self.answered.value_at_quantile(0.5),
            p99_us: self.answered.value_at_quantile(0.99),
            p999_us: self.answered.value_at_quantile(0.999),
            p99_all_us: self.all.value_at_quantile(0.99),
            goodput_per_s,
            goodput_share: goodput_per_s / case.capacity_per_s(),
            attempts_per_try: ratio(self.attempts, self.tries),
            retries_per_try: ratio(self.retries, self.tries),
            hedges_per_try: ratio(self.hedges, self.tries),
            probes_per_call: ratio(self.probes, self.tries),
            control_bytes_per_call: ratio(self.control_bytes, self.tries),
            useful_share: ratio(self.useful_us, self.busy_us),
            crashes: self.crashes,
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are in range")
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

/// Results of a run. Times are from the arrival of a try at its entry to the answer at
/// the entry. They exclude the round trip between caller and entry.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Name of the case.
    pub case: String,
    /// Target selection policy.
    pub policy: PolicyKind,
    /// Number of measured calls.
    pub calls: u64,
    /// Number of measured calls that were finally answered.
    pub calls_answered: u64,
    /// Number of tries of measured calls, including resends.
    pub tries: u64,
    /// Number of tries that ended as "not run".
    pub refused: u64,
    /// Number of tries that failed in another way.
    pub failed: u64,
    /// Median latency of answered tries.
    pub p50_us: u64,
    /// 99th percentile of the latency of answered tries.
    pub p99_us: u64,
    /// 99.9th percentile of the latency of answered tries.
    pub p999_us: u64,
    /// 99th percentile of the latency of all tries. A try without an answer counts with
    /// its whole deadline.
    pub p99_all_us: u64,
    /// Answered calls per second.
    pub goodput_per_s: f64,
    /// Answered calls per second as a share of the capacity without faults.
    pub goodput_share: f64,
    /// Attempts at gates per try at an entry, at all depths.
    pub attempts_per_try: f64,
    /// Retries per try at an entry.
    pub retries_per_try: f64,
    /// Hedges per try at an entry.
    pub hedges_per_try: f64,
    /// Probes per try at an entry.
    pub probes_per_call: f64,
    /// Bytes of load reports on answers per try at an entry.
    pub control_bytes_per_call: f64,
    /// Share of the slots' busy time that was spent on answers that reached their entry.
    pub useful_share: f64,
    /// Number of target crashes.
    pub crashes: u64,
}
