//! Pauses a node and waits until it has stopped.

use std::path::Path;
use std::time::Instant;

use eyre::{Result, bail};
use hornbeamhitch_standins::fleet::Fleet;

use super::{Deployment, POLL, WAIT_TIMEOUT};

/// Pauses a node and waits until every one of its threads has stopped.
///
/// `kill` returns before the stop signal takes effect, so on a busy machine the
/// process may still answer a few requests.
pub async fn pause(deployment: &mut Deployment, vm: &str) -> Result<()> {
    pause_in(&mut deployment.fleet, vm).await
}

/// Like [`pause`], for a node of any fleet.
pub async fn pause_in(fleet: &mut Fleet, vm: &str) -> Result<()> {
    fleet.pause(vm)?;
    let process = fleet.process_id(vm)?;
    let give_up = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < give_up {
        if has_stopped(process)? {
            return Ok(());
        }
        tokio::time::sleep(POLL).await;
    }
    bail!("{vm} never stopped")
}

fn has_stopped(process: u32) -> Result<bool> {
    for task in Path::new(&format!("/proc/{process}/task")).read_dir()? {
        let stat = std::fs::read_to_string(task?.path().join("stat"))?;
        // The state follows the process name, which is in parentheses.
        let Some((_, rest)) = stat.rsplit_once(") ") else {
            return Ok(false);
        };
        if !rest.starts_with('T') {
            return Ok(false);
        }
    }
    Ok(true)
}
