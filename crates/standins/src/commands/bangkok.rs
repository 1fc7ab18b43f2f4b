//! The subcommand `bangkok`: sends mixed traffic through the print office's
//! deployment.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use gumdrop::Options;

use crate::demo::bangkok::deployment;
use crate::demo::{NodeKind, Programs, RunningDeployment};
use crate::load::{self, Report};
use crate::prelude::*;
use crate::program;

const DEFAULT_TEXT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/bangkok.jsonc");
/// Time limit of the whole demonstration, in addition to the duration of its
/// traffic.
const EXTRA_TIME: Duration = Duration::from_secs(120);

/// Options of `bangkok`.
#[derive(Debug, Options)]
pub(super) struct BangkokOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seconds over which calls start", default = "10", meta = "N")]
    seconds: f64,
    #[options(help = "calls per second", default = "200", meta = "N")]
    rate: f64,
    #[options(help = "seed of the traffic", default = "1", meta = "N")]
    seed: u64,
    #[options(help = "file for the report as JSON", meta = "FILE")]
    json: Option<PathBuf>,
    #[options(
        help = "configuration text to use instead of the example",
        meta = "FILE"
    )]
    text: Option<PathBuf>,
}

/// Runs the demonstration and returns a failure status if a call was lost, run
/// twice or answered wrongly.
pub(super) async fn run(options: &BangkokOptions) -> Result<ExitCode> {
    let bound = EXTRA_TIME + Duration::from_secs_f64(options.seconds.max(0.0));
    let running = run_traffic(options);
    let report = program::run_bounded(running, bound, "the demonstration took too long").await?;
    print!("{}", report.table());
    if let Some(path) = &options.json {
        std::fs::write(path, report.json()?)?;
    }
    println!("\n{} of {} calls answered", report.answered(), report.calls);
    if report.is_clean() {
        println!("nothing lost, nothing run twice, no wrong answer");
        return Ok(ExitCode::SUCCESS);
    }
    println!("FAILED: the callers' records and the targets' journals disagree");
    Ok(ExitCode::FAILURE)
}

async fn run_traffic(options: &BangkokOptions) -> Result<Report> {
    let path = options.text.as_deref();
    let path = path.unwrap_or(Path::new(DEFAULT_TEXT));
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read the text {}", path.display()))?;
    let deployment = deployment();
    println!(
        "starting the platform, {} targets and one node for each",
        deployment.targets().len()
    );
    let programs = Programs::beside_current_exe(NodeKind::Ticketed)?;
    let mut running = RunningDeployment::start(&programs, &deployment, &text).await?;
    println!("all nodes are ready in {} ms", running.ready_in().0);
    let mut plan = deployment.plan(running.entries());
    plan.rate_per_s = options.rate;
    plan.seconds = options.seconds;
    plan.seed = options.seed;
    let outcome = load::run(plan).await?;
    let runs = load::fetch_runs(&running.target_addrs()).await?;
    running.stop().await?;
    println!("all processes have exited with status 0\n");
    Ok(outcome.report(Some(&runs)))
}
