//! JSON lines on standard error, for the programs of this crate.

use std::io;

use log::{LevelFilter, Record};

use crate::prelude::*;

#[derive(Serialize)]
struct Line<'a> {
    time_ms: Millis,
    level: &'a str,
    target: &'a str,
    message: String,
}

/// Logs everything from a level on.
///
/// # Errors
///
/// Fails when something else logs already.
pub fn start(level: LevelFilter) -> Result<()> {
    fern::Dispatch::new()
        .level(level)
        .format(|out, message, record| out.finish(format_args!("{}", line(message, record))))
        .chain(io::stderr())
        .apply()
        .wrap_err("a logger is set already")?;
    Ok(())
}

fn line(message: &std::fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let line = Line {
        time_ms: wall_clock(),
        level: record.level().as_str(),
        target: record.target(),
        message: message.to_string(),
    };
    serde_json::to_string(&line).expect("a log line is plain data")
}
