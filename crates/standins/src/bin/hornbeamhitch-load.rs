//! The load tool as a program: sends the calls of a plan and prints a report.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::{Result, WrapErr, eyre};
use gumdrop::Options;
use hornbeamhitch_standins::load::{self, LoadPlan};
use hornbeamhitch_standins::{logging, program};
use log::LevelFilter;

#[derive(Debug, Options)]
struct LoadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "JSON file with the plan", meta = "FILE")]
    plan: Option<PathBuf>,
    #[options(
        help = "address of a target whose journal is read at the end; may be repeated",
        meta = "ADDR"
    )]
    journal: Vec<String>,
    #[options(help = "file for the report as JSON", meta = "FILE")]
    json: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let options = LoadOptions::parse_args_default_or_exit();
    logging::start(LevelFilter::Info)?;
    let path = options.plan.ok_or_else(|| eyre!("--plan is required"))?;
    let plan: LoadPlan = program::read_json_file(&path)?;
    let outcome = load::run(plan).await?;
    let mut targets = Vec::new();
    for addr in &options.journal {
        targets.push(addr.parse().wrap_err("--journal")?);
    }
    let runs = match targets.is_empty() {
        true => None,
        false => Some(load::fetch_runs(&targets).await?),
    };
    let report = outcome.report(runs.as_deref());
    print!("{}", report.table());
    if let Some(path) = &options.json {
        std::fs::write(path, report.json()?)?;
    }
    match report.is_clean() || runs.is_none() {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}
