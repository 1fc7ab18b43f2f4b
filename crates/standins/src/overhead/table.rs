//! Formats the report as a table for people.

use std::fmt::Write;

use super::doubling::Doubling;
use super::quantiles::Quantiles;
use super::report::Report;

const BYTES_PER_MB: f64 = 1_000_000.0;

pub(super) fn render(report: &Report) -> String {
    let mut text = String::new();
    let plan = &report.plan;
    let _ = writeln!(
        text,
        "{}/s open loop, {} s per series in {} rounds, {} connections; load average {:.1} to {:.1}",
        plan.rate_per_s,
        plan.seconds,
        plan.rounds,
        plan.connections,
        report.load_average_before,
        report.load_average_after,
    );
    latencies(&mut text, report);
    added(&mut text, report);
    doublings(&mut text, report);
    processor_times(&mut text, report);
    idle(&mut text, report);
    text
}

fn heading(text: &mut String, title: &str) {
    let _ = writeln!(
        text,
        "\n{title:<32} {:>9} {:>9} {:>9}",
        "p50", "p99", "p99.9"
    );
}

fn row(text: &mut String, name: &str, row: &Quantiles) {
    let _ = writeln!(
        text,
        "  {name:<30} {:>9.0} {:>9.0} {:>9.0}",
        row.p50_us, row.p99_us, row.p999_us
    );
}

fn latencies(text: &mut String, report: &Report) {
    heading(text, "latency in us, all rounds");
    for one in &report.series {
        row(text, &one.series.to_string(), &one.overall);
    }
    heading(text, "latency in us, median round");
    for one in &report.series {
        row(text, &one.series.to_string(), &one.median());
    }
    heading(text, "lag of the generator in us");
    for one in &report.series {
        row(text, &one.series.to_string(), &one.generator_lag);
    }
    for one in &report.series {
        for (reason, count) in &one.failures {
            let _ = writeln!(
                text,
                "{}: {count} of {} calls FAILED: {reason}",
                one.series, one.calls
            );
        }
    }
}

fn added(text: &mut String, report: &Report) {
    heading(text, "added to the direct call in us");
    for one in &report.series {
        if !one.series.is_through_nodes() {
            continue;
        }
        let Some(added) = report.added(one.series) else {
            continue;
        };
        row(text, &format!("{}, median", one.series), &added.median);
        row(text, &format!("{}, best", one.series), &added.best);
    }
}

fn doublings(text: &mut String, report: &Report) {
    if report.doublings.is_empty() {
        return;
    }
    text.push_str("\np99 doubles at\n");
    for found in &report.doublings {
        let _ = writeln!(
            text,
            "  {:<30} {}, from {:.0} us",
            found.series.to_string(),
            rate_of(found),
            found.base_p99_us
        );
    }
}

fn rate_of(found: &Doubling) -> String {
    let holds = found.holds_at_per_s;
    let Some(doubles) = found.doubles_at_per_s else {
        return format!("above {holds:.0}/s");
    };
    let limit = if found.is_limited_by_generator() {
        ", where the generator itself is late"
    } else {
        ""
    };
    format!("{holds:.0}/s to {doubles:.0}/s{limit}")
}

fn processor_times(text: &mut String, report: &Report) {
    text.push_str("\nprocessor time of nodes in us per call\n");
    for one in &report.series {
        if !one.series.is_through_nodes() {
            continue;
        }
        for (vm, time) in &one.nodes {
            let name = format!("{}, {vm}", one.series);
            let _ = writeln!(text, "  {name:<30} {:>9.0}", time.us_per_call());
        }
    }
}

fn idle(text: &mut String, report: &Report) {
    text.push_str("\nnodes without traffic, share of a core in %\n");
    for node in &report.idle {
        for (thread, share) in &node.core_share_by_thread {
            let name = format!("{}, {thread}", node.vm);
            let _ = writeln!(text, "  {name:<30} {:>9.2}", share * 100.0);
        }
    }
    text.push_str("\nmemory of nodes in MB, without traffic and after all measurements\n");
    for node in &report.idle {
        let after = report.resident_bytes_after.get(&node.vm);
        let _ = writeln!(
            text,
            "  {:<30} {:>9.1} {:>9.1}",
            node.vm,
            node.resident_bytes as f64 / BYTES_PER_MB,
            after.copied().unwrap_or_default() as f64 / BYTES_PER_MB
        );
    }
}
