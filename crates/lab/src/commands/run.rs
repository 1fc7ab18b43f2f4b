//! The subcommand `hornbeamhitch-lab run`.

use std::fs;

use eyre::WrapErr;
use gumdrop::Options;
use strum::VariantArray;

use crate::case::catalogue;
use crate::plot;
use crate::policy::PolicyKind;
use crate::prelude::*;
use crate::report::{RunSet, summarise, summary_table, table};
use crate::run::{jobs_for, run_all};

const DEFAULT_SEED: u64 = 1;

/// Arguments of `run`.
#[derive(Debug, Options)]
pub struct RunArguments {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Run only cases whose names contain this.
    #[options(help = "only cases whose names contain this", meta = "NAME")]
    pub case: Option<String>,
    /// Run only these policies.
    #[options(help = "only this policy; may be given again", meta = "NAME")]
    pub policy: Vec<PolicyKind>,
    /// Seed of all random numbers.
    #[options(help = "seed of all random numbers (1)", meta = "N")]
    pub seed: Option<u64>,
    /// File to which all results are written.
    #[options(help = "write all figures to this file", meta = "FILE")]
    pub json: Option<String>,
    /// SVG file to which the tail latencies are plotted.
    #[options(help = "plot the tail latencies into this SVG file", meta = "FILE")]
    pub plot: Option<String>,
}

/// Runs the chosen cases and prints their tables.
///
/// # Errors
///
/// Fails if no case has a matching name or a file cannot be written.
pub fn run(arguments: &RunArguments) -> eyre::Result<()> {
    let cases = chosen_cases(arguments.case.as_deref())?;
    let seed = arguments.seed.unwrap_or(DEFAULT_SEED);
    let kinds: &[PolicyKind] = match arguments.policy.as_slice() {
        [] => PolicyKind::VARIANTS,
        chosen => chosen,
    };
    let runs = run_all(&jobs_for(&cases, kinds), seed);
    let summaries = summarise(&cases, &runs);
    println!("{}", table(&runs));
    println!("{}", summary_table(&summaries));
    if let Some(path) = &arguments.plot {
        fs::write(path, plot::svg(&cases, &runs)).wrap_err_with(|| format!("writing {path}"))?;
    }
    if let Some(path) = &arguments.json {
        let set = RunSet {
            seed,
            summaries,
            runs: &runs,
        };
        let text = serde_json::to_string_pretty(&set)?;
        fs::write(path, text).wrap_err_with(|| format!("writing {path}"))?;
    }
    Ok(())
}

fn chosen_cases(wanted: Option<&str>) -> eyre::Result<Vec<Case>> {
    let mut cases = catalogue();
    if let Some(part) = wanted {
        cases.retain(|case| case.name.contains(part));
    }
    eyre::ensure!(!cases.is_empty(), "no case has a matching name; see `list`");
    Ok(cases)
}
