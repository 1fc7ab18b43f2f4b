//! `hornbeamhitch plot`: draws outcomes and latencies over time as SVG.

mod draw;
mod series;

use std::fs;
use std::io::Write;

use eyre::{Result, WrapErr, bail};
use gumdrop::Options;

use crate::exit::Exit;
use crate::logs;
use series::Series;

/// One second is short enough to show a disturbance of a few seconds, and long
/// enough for some hundred calls per point at the rates of a small installation.
const DEFAULT_STEP_MS: u64 = 1_000;
/// Maximum number of points that can be told apart in a plot.
const MAX_STEPS: u64 = 5_000;

/// Draws outcomes and latencies over time.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help
    help: bool,
    /// the output file, in SVG format
    #[options(required, no_short, meta = "FILE")]
    out: String,
    /// only calls of this service
    #[options(no_short, meta = "NAME")]
    service: Option<String>,
    /// interval between points, in milliseconds (1000)
    #[options(no_short, meta = "N")]
    step_ms: Option<u64>,
    /// log files; without files the standard input is read
    #[options(free)]
    files: Vec<String>,
}

pub(crate) fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<Exit> {
    let step_ms = arguments.step_ms.unwrap_or(DEFAULT_STEP_MS);
    if step_ms == 0 {
        bail!("--step-ms must be 1 or more");
    }
    let mut series = Series::new(step_ms, arguments.service.as_deref());
    let unparsed = logs::read_all(&arguments.files, |line| series.take(&line))?;
    if unparsed > 0 {
        writeln!(out, "{unparsed} lines were no log of a node")?;
    }
    let step_count = series.step_count();
    if step_count == 0 {
        writeln!(out, "the logs contain no ended call; nothing is drawn")?;
        return Ok(Exit::Found);
    }
    // This is checked before the steps are created, because a single line with a
    // wrong clock could otherwise create millions of them.
    if step_count > MAX_STEPS {
        bail!(
            "{step_count} points exceed the maximum of {MAX_STEPS} for a plot; give a \
             larger --step-ms, or leave out logs of another time"
        );
    }
    let steps = series.steps();
    let text = draw::svg(&steps, series.suppressed_lines())?;
    fs::write(&arguments.out, text)
        .wrap_err_with(|| format!("{} cannot be written", arguments.out))?;
    writeln!(
        out,
        "{}: {} calls in {} steps of {step_ms} ms",
        arguments.out,
        series.calls(),
        steps.len()
    )?;
    if series.suppressed_lines() > 0 {
        writeln!(
            out,
            "{} further lines were left out by the nodes; their calls are missing in the plot",
            series.suppressed_lines()
        )?;
    }
    Ok(Exit::Ok)
}
