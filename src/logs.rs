//! Logs of nodes, as operators collect them.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};

use eyre::{Result, WrapErr};
use serde::Deserialize;
use serde_json::Value;

/// A line of a node's log.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LogLine {
    /// When it was written, in milliseconds by the VM's wall clock.
    pub(crate) time_ms: u64,
    /// `info`, `warn` and so on.
    pub(crate) level: String,
    /// Name of the VM.
    pub(crate) vm: String,
    /// What happened.
    pub(crate) message: String,
    /// What it was decided by.
    #[serde(flatten)]
    pub(crate) fields: BTreeMap<String, Value>,
}

impl LogLine {
    /// A field that is a text.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A field that is a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}

/// Reads the lines of all files, or of the standard input where none is named.
/// Returns how many lines were no log of a node.
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

/// What stands before a line's JSON, as some collectors put it there, is skipped.
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
