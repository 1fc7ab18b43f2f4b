//! Reads logs of nodes.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};

use eyre::{Result, WrapErr};
use serde::Deserialize;
use serde_json::Value;

/// One line of a node's log.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LogLine {
    /// The time of the line in milliseconds, by the VM's wall clock.
    pub(crate) time_ms: u64,
    /// The level, such as `info` or `warn`.
    pub(crate) level: String,
    /// The name of the VM.
    pub(crate) vm: String,
    /// The message.
    pub(crate) message: String,
    /// All other fields.
    #[serde(flatten)]
    pub(crate) fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// Returns the value of a field if it is a string.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the value of a field if it is an unsigned integer.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}

/// Reads the lines of all files, or of the standard input if no file is given.
/// Returns the number of lines that are not a node's log lines.
pub(crate) fn read_all(files: &[String], mut handle_line: impl FnMut(LogLine)) -> Result<u64> {
    if files.is_empty() {
        return read(io::stdin().lock(), &mut handle_line);
    }
    let mut unparsed = 0;
    for name in files {
        let file = File::open(name).wrap_err_with(|| format!("{name} cannot be read"))?;
        unparsed += read(BufReader::new(file), &mut handle_line)?;
    }
    Ok(unparsed)
}

/// Reads lines. Skips any text before a line's JSON, because some log collectors
/// add a prefix.
fn read(lines: impl BufRead, handle_line: &mut impl FnMut(LogLine)) -> Result<u64> {
    let mut unparsed = 0;
    for line in lines.split(b'\n') {
        let line = line?;
        let line = String::from_utf8_lossy(&line);
        if line.trim().is_empty() {
            continue;
        }
        let json = line.find('{').map(|start| &line[start..]);
        match json.map(serde_json::from_str::<LogLine>) {
            Some(Ok(line)) => handle_line(line),
            _ => unparsed += 1,
        }
    }
    Ok(unparsed)
}
