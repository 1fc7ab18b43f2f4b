//! What the programs of the stand-ins share: their address and their end.

use std::path::Path;

use tokio::signal::unix::{SignalKind, signal};

use crate::prelude::*;

const LISTENING: &str = "listening on ";

/// Logs the address in the form that [`listening_addr`] finds.
pub fn log_listening_addr(addr: SocketAddr) {
    log::info!("{LISTENING}{addr}");
}

/// Finds the address that a stand-in has logged.
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
/// Fails when signals cannot be received.
pub async fn wait_for_shutdown_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Does `work` until it is done, unless it takes longer than `bound` or the
/// program is told to end.
///
/// # Errors
///
/// Those of the work; `too_long` says that it took too long.
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

/// Reads a file of JSON.
///
/// # Errors
///
/// Names the file that cannot be read or is not of the wanted form.
pub fn read_json_file<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{}", path.display()))
}
