//! The log: JSON lines on standard error or standard output.
//!
//! `fern` decides by level and target, then each line passes two safeguards
//! for the traffic threads. A place in the code that writes too often is
//! silenced for a while (`repeats`), and lines travel over a bounded queue
//! to a thread of their own (`queue`), so that nobody else ever waits for
//! standard error.

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

/// The log could not be started.
#[derive(Debug, thiserror::Error)]
pub enum LogsError {
    /// The thread that writes could not be started.
    #[error("the log's thread cannot be started: {0}")]
    Thread(#[from] io::Error),
    /// The process has a logger already.
    #[error("another logger is in place: {0}")]
    AlreadySet(#[from] log::SetLoggerError),
}

/// The running log; see [`LogHandle::flush`].
#[derive(Clone, Debug)]
pub struct LogHandle {
    queue: Queue,
}

impl LogHandle {
    /// Waits until the lines so far are written, or for `timeout_ms`. Returns
    /// whether they are; `false` at once when the queue is full, because then
    /// nobody reads standard error.
    #[must_use]
    pub fn flush(&self, timeout_ms: Millis) -> bool {
        self.queue.flush(timeout_ms.to_duration())
    }
}

/// Lines lost in this process because standard error was full or closed.
#[must_use]
pub fn lines_dropped() -> u64 {
    LINES_DROPPED.load(Ordering::Relaxed)
}

/// Lines left out in this process because one place wrote too many.
#[must_use]
pub fn lines_suppressed() -> u64 {
    LINES_SUPPRESSED.load(Ordering::Relaxed)
}

/// Starts the log of the process on standard error and sends panics to it.
///
/// # Errors
///
/// When a logger is in place already or no thread can be had.
pub fn start(settings: &LogSettings, vm: &VmId) -> Result<LogHandle, LogsError> {
    install(settings, vm, Box::new(io::stderr()))
}

/// The same on standard output, where some platforms collect logs.
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

/// The same without touching the process, for any sink.
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

/// Turns records into lines and hands them to the queue.
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
