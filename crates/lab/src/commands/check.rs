//! The subcommand `hornbeamhitch-lab check`.

use std::fs;

use eyre::WrapErr;
use gumdrop::Options;

use crate::bounds::{BoundsFile, Verdict, check as check_bounds};
use crate::case::catalogue;

const COMMITTED_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/bounds.json");

/// Arguments of `check`.
#[derive(Debug, Options)]
pub struct CheckArguments {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// File with the bounds.
    #[options(help = "file with the bounds (the committed one)", meta = "FILE")]
    pub bounds: Option<String>,
}

/// Checks runs against the bounds and returns whether all bounds hold.
///
/// # Errors
///
/// Fails if the file cannot be read or names a case that does not exist.
pub fn check(arguments: &CheckArguments) -> eyre::Result<bool> {
    let path = arguments.bounds.as_deref().unwrap_or(COMMITTED_FILE);
    let text = fs::read_to_string(path).wrap_err_with(|| format!("reading {path}"))?;
    let file: BoundsFile =
        serde_json::from_str(&text).wrap_err_with(|| format!("reading {path}"))?;
    let mut all_hold = true;
    for verdict in check_bounds(&file, &catalogue())? {
        all_hold &= verdict.holds;
        print(&verdict);
    }
    Ok(all_hold)
}

fn print(verdict: &Verdict) {
    let bound = &verdict.bound;
    let verdict_text = if verdict.holds { "ok    " } else { "BREACH" };
    print!(
        "{verdict_text} {:28} {:18} {:.4}",
        bound.case, bound.measure, verdict.measured
    );
    if let Some(limit) = bound.at_most {
        print!(" <= {limit}");
    }
    if let Some(limit) = bound.at_least {
        print!(" >= {limit}");
    }
    println!("  ({})", bound.why);
}
