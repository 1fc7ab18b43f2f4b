//! The command line of `hornbeamhitch-overhead`.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use log::LevelFilter;

use crate::demo::{NodeKind, Programs};
use crate::logging;
use crate::overhead::{self, Plan, bounds};
use crate::prelude::*;
use crate::program;

/// Time limit of the whole run.
const MAX_TIME: Duration = Duration::from_secs(900);

#[derive(Debug, Options)]
struct OverheadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "calls per second of each series", default = "1000", meta = "N")]
    rate: f64,
    #[options(help = "seconds measured for each series", default = "10", meta = "N")]
    seconds: f64,
    #[options(
        help = "rounds over which that time is spread",
        default = "5",
        meta = "N"
    )]
    rounds: u32,
    #[options(
        help = "highest rate in the search for the rate at which p99 doubles; 0 skips the search",
        default = "20000",
        meta = "N"
    )]
    max_rate: f64,
    #[options(
        no_short,
        help = "measure the nodes that route by host and path (hornbeamhitch-routed)"
    )]
    routed: bool,
    #[options(help = "directory of the other programs", meta = "DIR")]
    programs: Option<PathBuf>,
    #[options(help = "file for the report as JSON", meta = "FILE")]
    json: Option<PathBuf>,
    #[options(help = "exit with status 1 when a call failed or a ratio exceeds its limit")]
    check: bool,
}

/// Reads the command line and runs the measurement.
///
/// # Errors
///
/// Fails when a process cannot be started, does not become ready or does not
/// exit in time.
pub async fn run() -> Result<ExitCode> {
    let options = OverheadOptions::parse_args_default_or_exit();
    logging::start(LevelFilter::Warn)?;
    let kind = match options.routed {
        true => NodeKind::Routed,
        false => NodeKind::Ticketed,
    };
    let programs = match &options.programs {
        Some(dir) => Programs::in_dir(dir, kind)?,
        None => Programs::beside_current_exe(kind)?,
    };
    let plan = Plan {
        nodes: kind,
        rate_per_s: options.rate,
        seconds: options.seconds,
        rounds: options.rounds,
        max_rate_per_s: options.max_rate,
        ..Plan::default()
    };
    let measuring = overhead::run(plan, &programs);
    let report = program::run_bounded(measuring, MAX_TIME, "the measurement took too long").await?;
    print!("{}", report.table());
    if let Some(path) = &options.json {
        std::fs::write(path, report.json()?)?;
    }
    if !options.check {
        return Ok(ExitCode::SUCCESS);
    }
    let violations = bounds::violations(&report);
    for bound in &violations {
        println!("BROKEN: {bound}");
    }
    match violations.is_empty() {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}
