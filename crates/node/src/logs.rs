//! The log: JSON lines on standard error or standard output.
//!
//! `fern` filters by level and target. Two safeguards then protect the traffic
//! threads: call sites that log too often are suppressed for a while
//! (`repeats`), and lines are written by a separate thread behind a bounded
//! queue (`queue`), so that no other thread ever waits for standard error.

mod line;
mod queue;
mod repeats;

#[cfg(test)]
mod tests;

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fern::Dispatch;
use hornbeamhitch_types::prelude::*;
use log::{LevelFilter, Log, Metadata, Record};

use self::line::Line;
use self::queue::Queue;
use self::repeats::{Permit, Repeats};
use crate::settings::LogSettings;

static LINES_DROPPED: AtomicU64 = AtomicU64::new(0);
static LINES_SUPPRESSED: AtomicU64 = AtomicU64::new(0);

/// Why the log could not be started.
#[derive(Debug, thiserror::Error)]
pub enum LogsError {
    /// The writer thread could not be started.
    #[error("the log's thread cannot be started: {0}")]
    Thread(#[from] io::Error),
    /// The process already has a logger.
    #[error("the process already has a logger: {0}")]
    AlreadySet(#[from] log::SetLoggerError),
}

/// Handle to the running log; see [`LogHandle::flush`].
#[derive(Clone, Debug)]
pub struct LogHandle {
    queue: Queue,
}

impl LogHandle {
    /// Waits until the lines so far are written, for at most `timeout_ms`.
    /// Returns whether they are. Returns `false` at once if the queue is full,
    /// because standard error is then not being read.
    #[must_use]
    pub fn flush(&self, timeout_ms: Millis) -> bool {
        self.queue.flush(timeout_ms.to_duration())
    }
}

/// Returns the number of lines that this process lost because standard error
/// was full or closed.
#[must_use]
pub fn lines_dropped() -> u64 {
    LINES_DROPPED.load(Ordering::Relaxed)
}

/// Returns the number of lines that this process suppressed because one call
/// site logged too often.
#[must_use]
pub fn lines_suppressed() -> u64 {
    LINES_SUPPRESSED.load(Ordering::Relaxed)
}

/// Starts the log of the process on standard error and redirects panics to it.
///
/// # Errors
///
/// Fails if a logger is already set or the writer thread cannot be started.
pub fn start(settings: &LogSettings, vm: &VmId) -> Result<LogHandle, LogsError> {
    install(settings, vm, Box::new(io::stderr()))
}

/// Starts the log on standard output, from which some platforms collect logs.
///
/// # Errors
///
/// As [`start`].
pub fn start_on_stdout(settings: &LogSettings, vm: &VmId) -> Result<LogHandle, LogsError> {
    install(settings, vm, Box::new(io::stdout()))
}

fn install(
    settings: &LogSettings,
    vm: &VmId,
    sink: Box<dyn Write + Send>,
) -> Result<LogHandle, LogsError> {
    let (level, logger, handle) = build(settings, vm, sink)?;
    log::set_boxed_logger(logger)?;
    log::set_max_level(level);
    std::panic::set_hook(Box::new(|panic| log::error!(target: "panic", "{panic}")));
    Ok(handle)
}

/// Builds the logger for any sink without installing it in the process.
fn build(
    settings: &LogSettings,
    vm: &VmId,
    sink: Box<dyn Write + Send>,
) -> Result<(LevelFilter, Box<dyn Log>, LogHandle), LogsError> {
    let queue = Queue::start(sink)?;
    let lines: Box<dyn Log> = Box::new(JsonLines {
        vm: vm.clone(),
        queue: queue.clone(),
        repeats: Repeats::new(settings.repeats_per_10_s),
        started: Instant::now(),
    });
    let mut dispatch = Dispatch::new().level(settings.level);
    for (target, level) in &settings.targets {
        dispatch = dispatch.level_for(target.clone(), *level);
    }
    let (level, logger) = dispatch.chain(lines).into_log();
    Ok((level, logger, LogHandle { queue }))
}

/// Converts records to lines and puts them into the queue.
struct JsonLines {
    vm: VmId,
    queue: Queue,
    repeats: Repeats,
    started: Instant,
}

impl Log for JsonLines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let now_ms = Millis::from_duration(self.started.elapsed());
        let suppressed = match self.repeats.check(record, now_ms) {
            Permit::Write { suppressed } => suppressed,
            Permit::Suppress => {
                LINES_SUPPRESSED.fetch_add(1, Ordering::Relaxed);
                return;
            }
        };
        let line = Line {
            wall_clock_ms: wall_clock_ms(),
            vm: self.vm.as_str(),
            suppressed,
            record,
        };
        self.queue.push(line.to_bytes());
    }

    fn flush(&self) {}
}

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    Millis::from_duration(since_epoch).0
}

fn count_dropped(lines: u64) {
    LINES_DROPPED.fetch_add(lines, Ordering::Relaxed);
}
