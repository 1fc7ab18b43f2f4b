//! Formats the report as a table for people.

use std::fmt::Write;

use super::Tally;
use super::reconcile::Reconciliation;
use super::report::{LatencySummary, Report};

const US_PER_MS: f64 = 1_000.0;

pub(super) fn render(report: &Report) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{} calls in {:.2} s, {:.1}/s planned, {:.1}/s measured",
        report.calls, report.elapsed_s, report.planned_rate_per_s, report.measured_rate_per_s
    );
    let _ = writeln!(
        text,
        "{} requests, {} resends, {} broken, {} tickets, {} calls never sent",
        report.sends, report.resends, report.broken_sends, report.tickets, report.never_sent
    );
    tally(&mut text, "calls by what callers know", &report.verdicts);
    tally(&mut text, "calls by last result code", &report.final_codes);
    tally(
        &mut text,
        "calls by last HTTP status",
        &report.final_statuses,
    );
    tally(&mut text, "all answers by result code", &report.all_codes);
    latencies(&mut text, report);
    match &report.reconciliation {
        Some(totals) => reconciliation(&mut text, totals),
        None => text.push_str("\nno reconciliation, because the targets' journals were not read\n"),
    }
    text
}

fn tally(text: &mut String, title: &str, tally: &Tally) {
    let _ = writeln!(text, "\n{title}");
    for (name, count) in tally {
        let _ = writeln!(text, "  {name:<28} {count:>10}");
    }
}

fn latencies(text: &mut String, report: &Report) {
    let _ = writeln!(
        text,
        "\n{:<30} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "latency in ms", "count", "p50", "p99", "p99.9", "max"
    );
    for (group, summary) in &report.latency {
        latency(text, group, summary);
    }
    latency(text, "from the first send", &report.latency_from_send);
    latency(text, "start lag of the load tool", &report.start_lag);
    latency(text, "not answered", &report.latency_unanswered);
}

fn latency(text: &mut String, name: &str, summary: &LatencySummary) {
    if summary.count == 0 {
        return;
    }
    let ms = |us: u64| us as f64 / US_PER_MS;
    let _ = writeln!(
        text,
        "  {name:<28} {:>9} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
        summary.count,
        ms(summary.p50_us),
        ms(summary.p99_us),
        ms(summary.p999_us),
        ms(summary.max_us)
    );
}

fn reconciliation(text: &mut String, totals: &Reconciliation) {
    let rows = [
        ("lost", totals.lost),
        ("run twice", totals.run_twice),
        ("reported not run, but ran", totals.not_run_but_ran),
        ("wrong answers", totals.wrong_answers),
        ("runs not accounted for", totals.unaccounted_runs),
        ("unknown", totals.unknown),
        ("  of which ran", totals.unknown_ran),
        ("  of which did not run", totals.unknown_not_ran),
        ("idempotent, run repeatedly", totals.idempotent_repeats),
    ];
    let _ = writeln!(text, "\nreconciliation with the targets' journals");
    for (name, count) in rows {
        let _ = writeln!(text, "  {name:<28} {count:>10}");
    }
    for example in &totals.examples {
        let _ = writeln!(text, "  {example}");
    }
}
