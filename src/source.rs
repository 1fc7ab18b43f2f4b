//! Texts from files.

use std::fs::File;
use std::io::{Read, Write};

use eyre::{Result, WrapErr};
use hornbeamhitch_text::{CheckedText, Fault, Faults, MAX_TEXT_BYTES, Warning, check_bytes};
use serde::Serialize;

/// Reads and checks a file. One that is too large is read only as far as
/// needed to say so.
pub(crate) fn load(path: &str) -> Result<Result<CheckedText, Faults>> {
    let mut bytes = Vec::new();
    let limit = MAX_TEXT_BYTES as u64 + 1;
    let file = File::open(path).wrap_err_with(|| format!("cannot open {path}"))?;
    file.take(limit)
        .read_to_end(&mut bytes)
        .wrap_err_with(|| format!("cannot read {path}"))?;
    Ok(check_bytes(&bytes))
}

/// The faults of a file as JSON.
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

/// Writes the faults of a file, for people or as JSON.
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
    writeln!(out, "{file}: refused, {}", counted(count, "fault"))?;
    Ok(())
}

/// `file:line:column: place: reason; allowed: ...`, which editors can follow.
fn fault_line(file: &str, fault: &Fault) -> String {
    let (line, column) = (fault.position.line, fault.position.column);
    let allowed = fault.kind.allowed();
    format!(
        "{file}:{line}:{column}: {}{}; allowed: {allowed}",
        fault.path, fault.kind
    )
}

/// `file:line:column: warning: place: reason`.
pub(crate) fn warning_line(file: &str, warning: &Warning) -> String {
    let (line, column) = (warning.position.line, warning.position.column);
    format!(
        "{file}:{line}:{column}: warning: {}{}",
        warning.path, warning.kind
    )
}

/// `1 fault`, `2 faults`.
pub(crate) fn counted(count: usize, what: &str) -> String {
    match count {
        1 => format!("1 {what}"),
        _ => format!("{count} {what}s"),
    }
}

/// Writes a value as indented JSON with a line end.
pub(crate) fn write_json(out: &mut dyn Write, value: &impl Serialize) -> Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)
        .map_err(std::io::Error::from)
        .wrap_err("cannot write JSON")?;
    writeln!(out)?;
    Ok(())
}
