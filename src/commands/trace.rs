//! `hornbeamhitch trace`: shows what happened to one request, from the logs of
//! nodes.

use std::collections::BTreeMap;
use std::io::Write;

use eyre::Result;
use gumdrop::Options;
use serde::Serialize;
use serde_json::Value;

use crate::exit::Exit;
use crate::logs::{self, LogLine};
use crate::source::write_json;

/// Log fields that are not listed with the other fields of a step.
const OWN_FIELDS: [&str; 6] = ["time_ms", "level", "target", "vm", "message", "request"];

/// Shows what happened to one request.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help
    help: bool,
    /// write JSON
    #[options(no_short)]
    json: bool,
    /// the request's id, then log files; without files the standard input is read
    #[options(free, required)]
    request: String,
    /// log files
    #[options(free)]
    files: Vec<String>,
}

/// One log line of the request.
#[derive(Debug, Serialize)]
struct Step {
    time_ms: u64,
    vm: String,
    level: String,
    message: String,
    fields: BTreeMap<String, Value>,
}

/// The log lines of one request, and the reasons why further lines are missing.
#[derive(Debug, Default, Serialize)]
struct RequestTrace {
    request: String,
    steps: Vec<Step>,
    missing: Vec<String>,
    /// Number of lines that are not a node's log lines.
    unread_lines: u64,
}

pub(crate) fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<Exit> {
    let mut trace = RequestTrace {
        request: arguments.request.clone(),
        ..RequestTrace::default()
    };
    trace.unread_lines = logs::read_all(&arguments.files, |line| {
        if line.text("request") == Some(&arguments.request) {
            trace.steps.push(Step::of(line));
        }
    })?;
    trace.steps.sort_by_key(|step| step.time_ms);
    trace.report_missing();
    if arguments.json {
        write_json(out, &trace)?;
    } else {
        trace.write(out)?;
    }
    Ok(match trace.steps.is_empty() {
        true => Exit::Found,
        false => Exit::Ok,
    })
}

impl RequestTrace {
    fn report_missing(&mut self) {
        if self.steps.is_empty() {
            let reason = "no line names the request: its entry's log is not among the files, or \
                          lines were left out (see hitch_log_lines_suppressed_total)";
            self.missing.push(reason.to_owned());
            return;
        }
        let is_entry = |step: &&Step| {
            step.fields.contains_key("code") || step.message.starts_with("its caller left")
        };
        let Some(entry) = self.steps.iter().find(is_entry) else {
            let reason = "no line of the entry: its log is not among the files, it ended before \
                          the request did, or the line was left out";
            self.missing.push(reason.to_owned());
            return;
        };
        let tried = entry.fields.get("tried").and_then(Value::as_str);
        let mut missing = Vec::new();
        for step in tried.unwrap_or_default().split(' ') {
            let Some((target, end)) = step.split_once('=') else {
                continue;
            };
            let was_reached = end.parse::<u16>().is_ok() || matches!(end, "broken" | "timed-out");
            let has_line = self
                .steps
                .iter()
                .any(|step| step.fields.get("target_id").and_then(Value::as_str) == Some(target));
            if was_reached && !has_line {
                missing.push(format!(
                    "no line of the gate of {target}, which ended it as {end}: its log is not \
                     among the files, or the line was left out"
                ));
            }
        }
        self.missing.append(&mut missing);
    }

    fn write(&self, out: &mut dyn Write) -> Result<()> {
        writeln!(out, "request {}", self.request)?;
        let first_ms = self.steps.first().map_or(0, |step| step.time_ms);
        for step in &self.steps {
            let after_ms = step.time_ms - first_ms;
            writeln!(
                out,
                "  +{after_ms} ms  {}  {}: {}",
                step.vm, step.level, step.message
            )?;
            for (name, value) in &step.fields {
                let text = value
                    .as_str()
                    .map_or_else(|| value.to_string(), str::to_owned);
                writeln!(out, "           {name} = {text}")?;
            }
        }
        for reason in &self.missing {
            writeln!(out, "  missing: {reason}")?;
        }
        if self.unread_lines > 0 {
            writeln!(out, "  {} lines were no log of a node", self.unread_lines)?;
        }
        Ok(())
    }
}

impl Step {
    fn of(line: LogLine) -> Self {
        let mut fields = line.fields;
        fields.retain(|name, _| !OWN_FIELDS.contains(&name.as_str()));
        Self {
            time_ms: line.time_ms,
            vm: line.vm,
            level: line.level,
            message: line.message,
            fields,
        }
    }
}
