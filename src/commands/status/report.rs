//! Writes the answers of nodes as tables.

use std::io::Write;

use eyre::Result;
use hornbeamhitch_types::clock::Millis;
use hornbeamhitch_types::id::ConfigVersion;
use hornbeamhitch_types::status::{NodeStatus, TargetState, TargetStatus};

use super::Versions;
use crate::ask::Answer;
use crate::table::{Table, printable_only};

/// Writes all answers, including the errors of nodes without a status.
pub(super) fn write(
    out: &mut dyn Write,
    answers: &[Answer],
    versions: &Versions<'_>,
) -> Result<()> {
    let mut statuses = Vec::new();
    for answer in answers {
        if let Ok(status) = &answer.status {
            statuses.push(status);
        }
    }
    section(out, &nodes(&statuses))?;
    section(out, &targets(&statuses))?;
    section(out, &budgets(&statuses))?;
    section(out, &gates(&statuses))?;
    section(out, &control(&statuses))?;
    section(out, &suspects(&statuses))?;
    write_refusals(out, &statuses)?;
    write_errors(out, answers)?;
    write_versions(out, versions)
}

fn section(out: &mut dyn Write, table: &Table) -> Result<()> {
    if !table.is_empty() {
        writeln!(out, "{table}")?;
    }
    Ok(())
}

fn nodes(statuses: &[&NodeStatus]) -> Table {
    let mut table = Table::new(&[
        "NODE",
        "SERVICE",
        "DATA CENTRE",
        "INCARNATION",
        "UP",
        "LEAVING",
        "IN FORCE",
        "FOR",
        "PLATFORM",
        "LAST READ",
        "READS",
    ]);
    for status in statuses {
        table.row(vec![
            status.vm.to_string(),
            status.service.to_string(),
            status.data_centre.to_string(),
            status.incarnation.to_string(),
            age(Some(status.uptime_ms)),
            yes_or_no(status.leaving),
            version(status.config.in_force),
            age(status.config.in_force_age_ms),
            status.platform.state.to_string(),
            age(status.platform.last_read_age_ms),
            status.platform.reads.to_string(),
        ]);
    }
    table
}

fn targets(statuses: &[&NodeStatus]) -> Table {
    let mut table = Table::new(&[
        "NODE",
        "SERVICE",
        "TARGET",
        "DATA CENTRE",
        "PEER",
        "STATE",
        "FROM HERE",
        "RUNNING",
        "QUEUED",
        "SERVICE TIME",
        "HEARD",
        "ATTEMPTS",
        "FAILURES",
    ]);
    for status in statuses {
        for service in &status.services {
            for target in &service.targets {
                let seen_by = [status.vm.to_string(), service.name.to_string()];
                table.row(target_row(seen_by, target));
            }
        }
    }
    table
}

fn target_row([node, service]: [String; 2], target: &TargetStatus) -> Vec<String> {
    let mut running = "-".to_owned();
    let mut queued = "-".to_owned();
    let mut service_time = "-".to_owned();
    if let Some(load) = &target.load {
        running = format!("{}/{}", load.in_flight, load.limit);
        queued = load.queued.to_string();
        service_time = format!("{} us", load.service_time_us);
    }
    vec![
        node,
        service,
        target.vm.to_string(),
        target.data_centre.to_string(),
        target.peer.to_string(),
        state(target.state),
        target.in_flight.to_string(),
        running,
        queued,
        service_time,
        age(target.load.map(|load| load.load_age_ms)),
        target.attempts.to_string(),
        target.failures.to_string(),
    ]
}

/// Formats a state. All states but `live` are in capitals, so that they stand out
/// in a long table.
pub(crate) fn state(state: TargetState) -> String {
    match state {
        TargetState::Live => state.to_string(),
        _ => state.to_string().to_uppercase(),
    }
}

fn budgets(statuses: &[&NodeStatus]) -> Table {
    let mut table = Table::new(&[
        "NODE",
        "SERVICE",
        "FIRST ATTEMPTS",
        "RETRIES",
        "HEDGES",
        "PROBES",
    ]);
    for status in statuses {
        for service in &status.services {
            let spent = &service.budgets;
            table.row(vec![
                status.vm.to_string(),
                service.name.to_string(),
                spent.first_attempts.to_string(),
                spent.retries_spent.to_string(),
                spent.hedges_spent.to_string(),
                spent.probes_sent.to_string(),
            ]);
        }
    }
    table
}

fn gates(statuses: &[&NodeStatus]) -> Table {
    let mut table = Table::new(&[
        "GATE", "RUNNING", "QUEUED", "RAN", "REFUSED", "RECORDS", "STORED",
    ]);
    for status in statuses {
        let gate = &status.gate;
        table.row(vec![
            status.vm.to_string(),
            format!("{}/{}", gate.in_flight, gate.limit),
            gate.queued.to_string(),
            gate.ran.to_string(),
            gate.refused.to_string(),
            gate.records.to_string(),
            format!("{} bytes", gate.stored_bytes),
        ]);
    }
    table
}

fn control(statuses: &[&NodeStatus]) -> Table {
    let mut table = Table::new(&[
        "CONTROL",
        "DATAGRAMS OUT",
        "BYTES OUT",
        "DATAGRAMS IN",
        "BYTES IN",
        "BULK PULLS",
        "BULK BYTES",
    ]);
    for status in statuses {
        let counters = &status.control;
        table.row(vec![
            status.vm.to_string(),
            counters.datagrams_sent.to_string(),
            counters.sent_bytes.to_string(),
            counters.datagrams_received.to_string(),
            counters.received_bytes.to_string(),
            counters.bulk_pulls.to_string(),
            counters.bulk_bytes.to_string(),
        ]);
    }
    table
}

fn suspects(statuses: &[&NodeStatus]) -> Table {
    let mut table = Table::new(&["NODE", "SUSPECT", "STATE"]);
    for status in statuses {
        for suspect in &status.suspects.list {
            table.row(vec![
                status.vm.to_string(),
                suspect.fingerprint.clone(),
                suspect.state.to_string(),
            ]);
        }
        let listed = status.suspects.list.len() as u64;
        if status.suspects.count > listed {
            let more = status.suspects.count - listed;
            let more = format!("{more} more");
            table.row(vec![status.vm.to_string(), more, "-".to_owned()]);
        }
    }
    table
}

fn write_refusals(out: &mut dyn Write, statuses: &[&NodeStatus]) -> Result<()> {
    for status in statuses {
        let Some(refused) = &status.config.refused else {
            continue;
        };
        let when = age(Some(refused.age_ms));
        writeln!(out, "{} refused {} {when} ago:", status.vm, refused.version)?;
        for line in refused.reason.lines() {
            writeln!(out, "  {}", printable_only(line))?;
        }
    }
    Ok(())
}

/// Writes the nodes without a status and the reasons.
pub(crate) fn write_errors(out: &mut dyn Write, answers: &[Answer]) -> Result<()> {
    for answer in answers {
        let Err(error) = &answer.status else {
            continue;
        };
        let reason = printable_only(&format!("{error:#}"));
        writeln!(out, "{}: no status: {reason}", answer.node)?;
    }
    Ok(())
}

fn write_versions(out: &mut dyn Write, versions: &Versions<'_>) -> Result<()> {
    if versions.len() <= 1 {
        for (in_force, nodes) in versions {
            let all = nodes.len();
            writeln!(
                out,
                "in force at all nodes that answered ({all}): {}",
                version(*in_force)
            )?;
        }
        return Ok(());
    }
    writeln!(out, "nodes disagree on the version in force:")?;
    for (in_force, nodes) in versions {
        writeln!(out, "  {}: {}", version(*in_force), nodes.join(", "))?;
    }
    Ok(())
}

fn version(version: Option<ConfigVersion>) -> String {
    match version {
        Some(version) => version.to_string(),
        None => "none".to_owned(),
    }
}

fn yes_or_no(value: bool) -> String {
    if value { "YES" } else { "no" }.to_owned()
}

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Formats a duration in milliseconds, or in seconds with tenths, or in its two
/// largest units.
pub(crate) fn age(span: Option<Millis>) -> String {
    let Some(Millis(ms)) = span else {
        return "-".to_owned();
    };
    match ms {
        0..SECOND_MS => format!("{ms} ms"),
        SECOND_MS..MINUTE_MS => {
            let tenths = ms % SECOND_MS / (SECOND_MS / 10);
            format!("{}.{tenths} s", ms / SECOND_MS)
        }
        MINUTE_MS..HOUR_MS => format!("{} min {} s", ms / MINUTE_MS, ms % MINUTE_MS / SECOND_MS),
        _ => format!("{} h {} min", ms / HOUR_MS, ms % HOUR_MS / MINUTE_MS),
    }
}
