//! Checks of the configuration versions that are and were in force on nodes.

use std::time::{Duration, Instant};

use eyre::{Result, bail};

use super::{Deployment, WAIT_TIMEOUT};

/// Time between two polls of all nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Deployment {
    /// Waits until a version is in force on all these nodes. Returns the time
    /// since `changed_at`.
    pub async fn wait_in_force(
        &self,
        vms: &[String],
        version: u64,
        changed_at: Instant,
    ) -> Result<Duration> {
        let mut waiting: Vec<&String> = vms.iter().collect();
        while changed_at.elapsed() < WAIT_TIMEOUT {
            let mut behind = Vec::new();
            for vm in waiting {
                if self.in_force(vm).await != Some(version) {
                    behind.push(vm);
                }
            }
            if behind.is_empty() {
                return Ok(changed_at.elapsed());
            }
            waiting = behind;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("version {version} never came into force on {waiting:?}")
    }

    /// The version in force on a node, or `None` if there is none or the node does
    /// not answer.
    pub async fn in_force(&self, vm: &str) -> Option<u64> {
        let status = self.status(vm).await.ok()?;
        Some(status.config.in_force?.0)
    }

    /// All versions that came into force on a node, in order, across all its
    /// incarnations. They are read from its log.
    pub fn versions_in_force(&self, vm: &str) -> Result<Vec<u64>> {
        let mut versions = Vec::new();
        for line in self.fleet.logs(vm)? {
            let Some((head, _)) = line.split_once(" is in force") else {
                continue;
            };
            let Some((_, version)) = head.rsplit_once("configuration v") else {
                continue;
            };
            versions.push(version.parse()?);
        }
        Ok(versions)
    }

    /// Fails if on any node an older version came into force after a newer one.
    pub fn assert_versions_never_decrease(&self) -> Result<()> {
        for vm in self.fleet.names() {
            let versions = self.versions_in_force(&vm)?;
            assert!(!versions.is_empty(), "{vm} has logged no version");
            assert!(versions.is_sorted(), "{vm} went back: {versions:?}");
        }
        Ok(())
    }
}
