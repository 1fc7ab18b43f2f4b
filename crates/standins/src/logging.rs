//! Logging of this crate's programs, as JSON lines on standard error.

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

/// Starts logging records of this level and above.
///
/// # Errors
///
/// Fails when a logger is already installed.
pub fn start(level: LevelFilter) -> Result<()> {
    fern::Dispatch::new()
        .level(level)
        .format(|out, message, record| out.finish(format_args!("{}", line(message, record))))
        .chain(io::stderr())
        .apply()
        .wrap_err("a logger is already installed")?;
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
