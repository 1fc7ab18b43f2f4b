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

/// Shows a disturbance of seconds, and has some hundred calls a point at the
/// rates of a small installation.
const DEFAULT_STEP_MS: u64 = 1_000;
/// Points a picture can show apart.
const MAX_STEPS: u64 = 5_000;

/// Draws outcomes and latencies over time.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help
    help: bool,
    /// the picture's file, in SVG
    #[options(required, no_short, meta = "FILE")]
    out: String,
    /// only calls of this service
    #[options(no_short, meta = "NAME")]
    service: Option<String>,
    /// time from one point to the next, in milliseconds (1000)
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
        writeln!(out, "no line of an ended call; nothing is drawn")?;
        return Ok(Exit::Found);
    }
    // Checked before the steps are laid out: one line with a wrong clock would
    // ask for millions.
    if step_count > MAX_STEPS {
        bail!(
            "{step_count} points are more than the {MAX_STEPS} that a picture shows; give a \
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
            "{} further lines were left out by the nodes; their calls are not in the picture",
            series.suppressed_lines()
        )?;
    }
    Ok(Exit::Ok)
}
