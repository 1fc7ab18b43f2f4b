//! Reads configuration texts from files and writes their faults.

use std::fs::File;
use std::io::{Read, Write};

use eyre::{Result, WrapErr};
use hornbeamhitch_text::{CheckedText, Fault, Faults, MAX_TEXT_BYTES, Warning, check_bytes};
use serde::Serialize;

/// Reads and checks a file. Reads at most one byte more than the maximum size of a
/// text, which is enough to report that the file is too large.
pub(crate) fn load(path: &str) -> Result<Result<CheckedText, Faults>> {
    let mut bytes = Vec::new();
    let limit = MAX_TEXT_BYTES as u64 + 1;
    let file = File::open(path).wrap_err_with(|| format!("cannot open {path}"))?;
    file.take(limit)
        .read_to_end(&mut bytes)
        .wrap_err_with(|| format!("cannot read {path}"))?;
    Ok(check_bytes(&bytes))
}

/// The JSON output for a file with faults.
#[derive(Serialize)]
pub(crate) struct RefusedFile<'a> {
    accepted: bool,
    file: &'a str,
    #[serde(flatten)]
    faults: &'a Faults,
}

impl<'a> RefusedFile<'a> {
    pub(crate) fn new(file: &'a str, faults: &'a Faults) -> Self {
        Self {
            accepted: false,
            file,
            faults,
        }
    }
}

/// Writes the faults of a file as plain text or as JSON.
pub(crate) fn write_faults(
    out: &mut dyn Write,
    file: &str,
    faults: &Faults,
    json: bool,
) -> Result<()> {
    if json {
        return write_json(out, &RefusedFile::new(file, faults));
    }
    for fault in &faults.faults {
        writeln!(out, "{}", fault_line(file, fault))?;
    }
    let count = faults.faults.len() + faults.omitted;
    if faults.omitted > 0 {
        writeln!(out, "{file}: {} more faults are not listed", faults.omitted)?;
    }
    writeln!(out, "{file}: refused, {}", format_count(count, "fault"))?;
    Ok(())
}

/// Formats a fault as `file:line:column: path: reason; allowed: ...`, so that
/// editors can jump to its position.
fn fault_line(file: &str, fault: &Fault) -> String {
    let (line, column) = (fault.position.line, fault.position.column);
    let allowed = fault.kind.allowed();
    format!(
        "{file}:{line}:{column}: {}{}; allowed: {allowed}",
        fault.path, fault.kind
    )
}

/// Formats a warning as `file:line:column: warning: path: reason`.
pub(crate) fn warning_line(file: &str, warning: &Warning) -> String {
    let (line, column) = (warning.position.line, warning.position.column);
    format!(
        "{file}:{line}:{column}: warning: {}{}",
        warning.path, warning.kind
    )
}

/// Formats a count with its noun, such as `1 fault` or `2 faults`.
pub(crate) fn format_count(count: usize, what: &str) -> String {
    match count {
        1 => format!("1 {what}"),
        _ => format!("{count} {what}s"),
    }
}

/// Writes a value as indented JSON with a trailing newline.
pub(crate) fn write_json(out: &mut dyn Write, value: &impl Serialize) -> Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)
        .map_err(std::io::Error::from)
        .wrap_err("cannot write JSON")?;
    writeln!(out)?;
    Ok(())
}
