//! Report on one run of the load tool.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::prelude::*;

use super::reconcile::Reconciliation;
use super::record::{CallRecord, Verdict};
use super::{LoadOutcome, Tally, table};

const SIGNIFICANT_DIGITS: u8 = 3;
/// Largest latency that is recorded, an hour; longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 3_600_000_000;

const ANSWERED: &str = "answered";

/// Latency of a group of calls, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of calls in the group.
    pub count: u64,
    /// Mean.
    pub mean_us: f64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Report on one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Planned rate of call starts per second.
    pub planned_rate_per_s: f64,
    /// Calls per second from the first start to the last end.
    pub measured_rate_per_s: f64,
    /// Time from the first start to the last end, in seconds.
    pub elapsed_s: f64,
    /// Number of calls.
    pub calls: u64,
    /// Calls that were abandoned before anything was sent, because the tool itself
    /// was late or no entry was available.
    pub never_sent: u64,
    /// Calls by what their callers know in the end.
    pub verdicts: Tally,
    /// Calls by the result code of their last answer.
    pub final_codes: Tally,
    /// Calls by the HTTP status of their last answer.
    pub final_statuses: Tally,
    /// All answers by result code, including redirects and refused tries.
    pub all_codes: Tally,
    /// Number of requests sent.
    pub sends: u64,
    /// Requests beyond the first of each call, without redirects.
    pub resends: u64,
    /// Number of tickets used.
    pub tickets: u64,
    /// Requests that ended without a complete answer.
    pub broken_sends: u64,
    /// Latency of answered calls from their intended start, by group: `all`,
    /// `class <name>`, `tenant <name>`, `kind <name>`.
    pub latency: BTreeMap<String, LatencySummary>,
    /// Time from the intended start to the first send, which is the delay of the
    /// tool itself.
    pub start_lag: LatencySummary,
    /// Latency of answered calls from their first send.
    pub latency_from_send: LatencySummary,
    /// Time from the intended start to the end of calls that were not answered.
    pub latency_unanswered: LatencySummary,
    /// Comparison with the targets' journals, if they are known.
    pub reconciliation: Option<Reconciliation>,
}

impl Report {
    /// Returns whether the targets' journals are known and agree with the callers'
    /// records.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let known = self.reconciliation.as_ref();
        known.is_some_and(Reconciliation::is_clean)
    }

    /// Returns the number of answered calls.
    #[must_use]
    pub fn answered(&self) -> u64 {
        self.verdicts.get(ANSWERED).copied().unwrap_or(0)
    }

    /// Formats the report as a table for people.
    #[must_use]
    pub fn table(&self) -> String {
        table::render(self)
    }

    /// Formats the report as JSON for programs.
    ///
    /// # Errors
    ///
    /// Never fails for a report that this crate created.
    pub fn json(&self) -> Result<String> {
        Ok(serde_json::to_string_pretty(self)?)
    }
}

pub(super) fn report(outcome: &LoadOutcome, reconciliation: Option<Reconciliation>) -> Report {
    let mut totals = Totals::default();
    for record in &outcome.records {
        totals.add(outcome, record);
    }
    let elapsed_s = outcome.elapsed.as_secs_f64();
    let calls = u64::try_from(outcome.records.len()).unwrap_or(u64::MAX);
    let mut latency = BTreeMap::new();
    for (group, histogram) in &totals.groups {
        latency.insert(group.clone(), summary(histogram));
    }
    let redirect = code_name(Some(ResultCode::TicketNeeded.number()));
    let redirects = totals.all_codes.get(&redirect).copied();
    Report {
        planned_rate_per_s: outcome.plan.rate_per_s,
        measured_rate_per_s: calls as f64 / elapsed_s.max(f64::MIN_POSITIVE),
        elapsed_s,
        calls,
        resends: totals.sends.saturating_sub(calls + redirects.unwrap_or(0)),
        verdicts: totals.verdicts,
        final_codes: totals.final_codes,
        final_statuses: totals.final_statuses,
        all_codes: totals.all_codes,
        sends: totals.sends,
        tickets: totals.tickets,
        broken_sends: totals.broken_sends,
        latency,
        never_sent: totals.never_sent,
        start_lag: summary(&totals.start_lag),
        latency_from_send: summary(&totals.from_send),
        latency_unanswered: summary(&totals.unanswered),
        reconciliation,
    }
}

struct Totals {
    verdicts: Tally,
    final_codes: Tally,
    final_statuses: Tally,
    all_codes: Tally,
    sends: u64,
    tickets: u64,
    broken_sends: u64,
    never_sent: u64,
    start_lag: Histogram<u64>,
    groups: BTreeMap<String, Histogram<u64>>,
    from_send: Histogram<u64>,
    unanswered: Histogram<u64>,
}

impl Default for Totals {
    fn default() -> Self {
        Self {
            verdicts: Tally::new(),
            final_codes: Tally::new(),
            final_statuses: Tally::new(),
            all_codes: Tally::new(),
            sends: 0,
            tickets: 0,
            broken_sends: 0,
            never_sent: 0,
            start_lag: histogram(),
            groups: BTreeMap::new(),
            from_send: histogram(),
            unanswered: histogram(),
        }
    }
}

impl Totals {
    fn add(&mut self, outcome: &LoadOutcome, record: &CallRecord) {
        let verdict = match record.verdict {
            Verdict::Answered => ANSWERED,
            Verdict::NotRun => "not-run",
            Verdict::Unknown => "unknown",
        };
        count(&mut self.verdicts, verdict.to_owned());
        count(&mut self.final_codes, code_name(record.code));
        let status = record.status.map(|status| status.to_string());
        count(
            &mut self.final_statuses,
            status.unwrap_or_else(|| "none".to_owned()),
        );
        for code in &record.codes {
            let code = (*code != 0).then_some(*code);
            count(&mut self.all_codes, code_name(code));
        }
        self.never_sent += u64::from(record.sends == 0);
        let start_lag_us = record.latency_us.saturating_sub(record.from_send_us);
        self.start_lag.saturating_record(start_lag_us);
        self.sends += u64::from(record.sends);
        self.tickets += u64::from(record.tickets);
        self.broken_sends += u64::from(record.broken_sends);
        if record.verdict != Verdict::Answered {
            self.unanswered.saturating_record(record.latency_us);
            return;
        }
        self.from_send.saturating_record(record.from_send_us);
        let kind = &outcome.plan.kinds[record.kind];
        let mut groups = vec![
            "all".to_owned(),
            format!("class {}", kind.class),
            format!("kind {}", kind.name),
        ];
        if let Some(tenant) = &record.tenant {
            groups.push(format!("tenant {tenant}"));
        }
        for group in groups {
            let histogram = self.groups.entry(group).or_insert_with(histogram);
            histogram.saturating_record(record.latency_us);
        }
    }
}

fn count(tally: &mut Tally, name: String) {
    *tally.entry(name).or_default() += 1;
}

fn code_name(code: Option<u16>) -> String {
    let Some(number) = code else {
        return "none".to_owned();
    };
    match ResultCode::from_number(number) {
        Some(code) => code.to_string(),
        None => format!("{number} ?"),
    }
}

fn histogram() -> Histogram<u64> {
    // Without bounds, the histogram would record only values that fit into its first
    // few buckets.
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    histogram.expect("a range of one microsecond to an hour with three digits is valid")
}

fn summary(histogram: &Histogram<u64>) -> LatencySummary {
    LatencySummary {
        count: histogram.len(),
        mean_us: histogram.mean(),
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
        max_us: histogram.max(),
    }
}
