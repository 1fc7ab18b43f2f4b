//! The subcommand `hornbeamhitch-lab capacity`.

use std::fs;

use eyre::WrapErr;
use gumdrop::Options;
use strum::VariantArray;

use crate::capacity::report::{CapacityReport, Part};

/// Arguments of `capacity`.
#[derive(Debug, Options)]
pub struct CapacityArguments {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Measure only small sizes.
    #[options(help = "small sizes only")]
    pub quick: bool,
    /// Measure only these parts.
    #[options(
        help = "only this part: control, reader, changes, text, entry or gate; may be given again",
        meta = "PART"
    )]
    pub part: Vec<Part>,
    /// Measure only cases whose names contain this.
    #[options(help = "only cases whose names contain this", meta = "NAME")]
    pub case: Option<String>,
    /// File to which all results are written.
    #[options(help = "write all figures to this file", meta = "FILE")]
    pub json: Option<String>,
}

/// Runs the measurement and prints its tables.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn capacity(arguments: &CapacityArguments) -> eyre::Result<()> {
    let parts: &[Part] = match arguments.part.as_slice() {
        [] => Part::VARIANTS,
        chosen => chosen,
    };
    let case = arguments.case.as_deref().unwrap_or_default();
    let mut report = CapacityReport::default();
    for part in parts {
        report.measure(*part, arguments.quick, case);
    }
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(path, text).wrap_err_with(|| format!("writing {path}"))?;
    }
    Ok(())
}
