//! Helpers that the programs of this crate share: announcing the listening
//! address, shutdown signals, time limits and JSON files.

use std::path::Path;

use tokio::signal::unix::{SignalKind, signal};

use crate::prelude::*;

const LISTENING: &str = "listening on ";

/// Logs the listening address in the form that [`listening_addr`] parses.
pub fn log_listening_addr(addr: SocketAddr) {
    log::info!("{LISTENING}{addr}");
}

/// Finds the listening address in the log lines of a stand-in.
#[must_use]
pub fn listening_addr(lines: &[String]) -> Option<SocketAddr> {
    for line in lines {
        let Some((_, rest)) = line.split_once(LISTENING) else {
            continue;
        };
        let addr = rest.split('"').next().unwrap_or_default();
        if let Ok(addr) = addr.parse() {
            return Some(addr);
        }
    }
    None
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signal handlers cannot be installed.
pub async fn wait_for_shutdown_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Runs `work` to completion, unless it takes longer than `bound` or the
/// program receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the errors of `work`, an error with the message `too_long` after
/// `bound`, and an error after a signal.
pub async fn run_bounded<T>(
    work: impl Future<Output = Result<T>>,
    bound: Duration,
    too_long: &'static str,
) -> Result<T> {
    tokio::select! {
        done = tokio::time::timeout(bound, work) => done.wrap_err(too_long)?,
        end = wait_for_shutdown_signal() => {
            end?;
            bail!("ended by a signal");
        }
    }
}

/// Reads a JSON file.
///
/// # Errors
///
/// Names the file if it cannot be read or does not have the expected
/// structure.
pub fn read_json_file<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{}", path.display()))
}
