//! A fleet of node processes that can be started, paused, killed and restarted by
//! VM name.
//!
//! Dropping the fleet kills all its processes, also when a test panics.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus};
use std::sync::atomic::{AtomicU64, Ordering};

use hornbeamhitch_types::status::{NodeStatus, STATUS_PATH};
use tokio::time::{Instant, sleep};

use crate::http_client::{HttpClient, HttpVersion};
use crate::platform::{VmEntry, VmState};
use crate::prelude::*;

pub mod node;
pub mod ports;
pub mod process;
pub mod settings;
pub mod temp_dir;

pub use node::{Addressing, NodeAddresses, NodeSpec, ReservedAddresses};
pub use process::{ChildProcess, Signal};
pub use settings::NodeSettings;

use ports::ReservedPortPair;
use settings::LogSettings;
use temp_dir::TempDir;

/// Maximum number of node processes of a fleet.
pub const MAX_PROCESSES: usize = 60;

const READY_POLL: Duration = Duration::from_millis(10);
const COLLISION_RETRIES: u32 = 3;

/// Number of fleets that this process has created.
static FLEETS: AtomicU64 = AtomicU64::new(0);

/// Returns a deployment name that no other fleet on this machine has.
///
/// A port that one fleet has released can be assigned to another fleet right
/// afterwards, also in another process. If both had the same deployment name, and
/// VMs with the same names, their nodes would accept each other's messages: a node
/// would learn of a later incarnation of its own VM and accept no more work, or
/// subscribe to readers of the other fleet.
fn unique_deployment() -> String {
    let number = FLEETS.fetch_add(1, Ordering::Relaxed);
    format!("fleet-{}-{number}", std::process::id())
}

/// Configuration that all nodes of a fleet share.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Name of the deployment; nodes ignore messages of other deployments.
    pub deployment: String,
    /// Path of the program that the nodes run, such as `hornbeamhitch-node`.
    pub node_binary: PathBuf,
    /// How listening addresses are assigned to nodes.
    pub addressing: Addressing,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Maximum time from the start of a node until it is ready.
    pub ready_timeout: Duration,
    /// Time limit that a node sets for its own graceful shutdown, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Log level of the nodes.
    pub log_level: String,
    /// Settings by key that are added to those of the fleet, or override them.
    pub extra_settings: serde_json::Map<String, serde_json::Value>,
}

impl FleetConfig {
    /// Creates a configuration with a unique deployment name and the default time
    /// limits: thirty seconds to become ready and thirty seconds to drain.
    #[must_use]
    pub fn new(node_binary: &Path, platform: SocketAddr) -> Self {
        Self {
            deployment: unique_deployment(),
            node_binary: node_binary.to_owned(),
            addressing: Addressing::default(),
            platform,
            ready_timeout: Duration::from_secs(30),
            drain_timeout_ms: 30_000,
            log_level: "info".to_owned(),
            extra_settings: serde_json::Map::new(),
        }
    }
}

struct Node {
    spec: NodeSpec,
    addresses: NodeAddresses,
    /// The ports of the node, reserved across restarts.
    reserved_ports: Vec<ReservedPortPair>,
    settings_file: PathBuf,
    process: Option<ChildProcess>,
    /// Log lines of earlier processes of this node.
    earlier_logs: Vec<String>,
}

/// Node processes and their settings files.
pub struct Fleet {
    config: FleetConfig,
    nodes: BTreeMap<String, Node>,
    /// Declared after the nodes, so that they end before their files are removed.
    dir: TempDir,
    client: HttpClient,
}

impl Fleet {
    /// Creates a fleet without nodes.
    ///
    /// # Errors
    ///
    /// Fails when the directory for the settings files cannot be created.
    pub fn new(config: FleetConfig) -> Result<Self> {
        Ok(Self {
            config,
            dir: TempDir::create("hornbeamhitch-fleet")?,
            nodes: BTreeMap::new(),
            client: HttpClient::new(HttpVersion::Http1),
        })
    }

    /// Reserves addresses for a node and writes its settings, but does not start it.
    ///
    /// # Errors
    ///
    /// Fails when the fleet already has a node of this name or
    /// [`MAX_PROCESSES`] nodes, when no ports are free, and when the settings
    /// cannot be written.
    pub fn add(&mut self, spec: NodeSpec) -> Result<NodeAddresses> {
        ensure!(!self.nodes.contains_key(&spec.vm), "{} exists", spec.vm);
        ensure!(
            self.nodes.len() < MAX_PROCESSES,
            "a fleet has at most {MAX_PROCESSES} nodes"
        );
        let reserved = self.config.addressing.take()?;
        let addresses = reserved.addresses;
        let settings_file = self.dir.path().join(format!("{}.json", spec.vm));
        let node = Node {
            spec,
            addresses,
            reserved_ports: reserved.ports,
            settings_file,
            process: None,
            earlier_logs: Vec::new(),
        };
        self.write_settings(&node)?;
        self.nodes.insert(node.spec.vm.clone(), node);
        Ok(addresses)
    }

    fn write_settings(&self, node: &Node) -> Result<()> {
        let settings = NodeSettings {
            deployment: self.config.deployment.clone(),
            vm: node.spec.vm.clone(),
            service: node.spec.service.clone(),
            data_centre: node.spec.data_centre.clone(),
            callers_address: node.addresses.callers,
            peer_address: node.addresses.peer,
            control_address: node.addresses.control,
            operators_address: node.addresses.operators,
            target_address: node.spec.target,
            platform_address: self.config.platform,
            drain_timeout_ms: self.config.drain_timeout_ms,
            log: LogSettings {
                level: self.config.log_level.clone(),
            },
        };
        let mut value = serde_json::to_value(&settings)?;
        let object = value.as_object_mut();
        let object = object.expect("settings are written as an object");
        for (key, more) in &self.config.extra_settings {
            object.insert(key.clone(), more.clone());
        }
        let text = serde_json::to_string_pretty(&value)?;
        std::fs::write(&node.settings_file, text)
            .wrap_err_with(|| format!("cannot write {}", node.settings_file.display()))
    }

    /// Returns the VM list for the nodes added so far, with all VMs live.
    #[must_use]
    pub fn vm_entries(&self) -> Vec<VmEntry> {
        let mut entries = Vec::new();
        for node in self.nodes.values() {
            entries.push(VmEntry {
                vm: node.spec.vm.clone(),
                data_centre: node.spec.data_centre.clone(),
                service: node.spec.service.clone(),
                state: VmState::Live,
                peer: node.addresses.peer,
                control: node.addresses.control,
            });
        }
        entries
    }

    /// Returns the name of the deployment.
    #[must_use]
    pub fn deployment(&self) -> &str {
        &self.config.deployment
    }

    /// Returns the VM names of all nodes, in order.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns the callers' address of each node, in the order of the VM names.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let mut entries = Vec::new();
        for node in self.nodes.values() {
            entries.push(node.addresses.callers);
        }
        entries
    }

    /// Returns the listening addresses of a node.
    ///
    /// # Errors
    ///
    /// Fails when the fleet has no such node.
    pub fn addresses(&self, vm: &str) -> Result<NodeAddresses> {
        Ok(self.node(vm)?.addresses)
    }

    /// Starts a node, or starts it again on the same addresses.
    ///
    /// # Errors
    ///
    /// Fails when the node is still running or its program cannot be started.
    pub fn start(&mut self, vm: &str) -> Result<()> {
        let binary = self.config.node_binary.clone();
        let node = self.node_mut(vm)?;
        if let Some(process) = &mut node.process {
            ensure!(process.has_exited()?.is_some(), "{vm} is still running");
            node.earlier_logs.append(&mut process.logs());
        }
        let mut command = Command::new(&binary);
        command.arg("--settings").arg(&node.settings_file);
        for port in &mut node.reserved_ports {
            port.release_udp();
        }
        node.process = Some(ChildProcess::spawn(vm, &mut command)?);
        Ok(())
    }

    /// Waits until a node has a configuration in force.
    ///
    /// # Errors
    ///
    /// Fails when the node exits first or is not ready within `ready_timeout`; the
    /// message contains the end of its log.
    pub async fn wait_ready(&mut self, vm: &str) -> Result<()> {
        let deadline = Instant::now() + self.config.ready_timeout;
        loop {
            if self.is_ready(vm).await? {
                return Ok(());
            }
            let node = self.node_mut(vm)?;
            let Some(process) = &mut node.process else {
                bail!("{vm} was never started");
            };
            if let Some(status) = process.has_exited()? {
                bail!("{vm} exited with {status}: {}", process.log_tail());
            }
            if Instant::now() >= deadline {
                bail!("{vm} is not ready in time: {}", process.log_tail());
            }
            sleep(READY_POLL).await;
        }
    }

    /// Returns whether a node reports that a configuration is in force.
    ///
    /// With shared addresses this also checks that the node itself answers. A
    /// stand-in that took its port would answer every request with success, and the
    /// exit of the node would go unnoticed.
    ///
    /// # Errors
    ///
    /// Fails when the fleet has no such node.
    pub async fn is_ready(&self, vm: &str) -> Result<bool> {
        let operators = self.node(vm)?.addresses.operators;
        let ready = self.client.get(operators, "/v1/ready").await;
        if !ready.is_ok_and(|answer| answer.status == StatusCode::OK) {
            return Ok(false);
        }
        if matches!(self.config.addressing, Addressing::AddressPerNode(_)) {
            // Nobody else listens on the node's own address.
            return Ok(true);
        }
        let status = self.client.get(operators, STATUS_PATH).await;
        let status = status.and_then(|answer| answer.json::<NodeStatus>());
        Ok(status.is_ok_and(|status| status.vm.as_str() == vm))
    }

    /// Starts all nodes added so far and waits until all are ready.
    ///
    /// Calls `publish` with the VM list before the start, and again each time a node
    /// lost its port to another process and was assigned new addresses.
    ///
    /// # Errors
    ///
    /// Fails when `publish` fails or a node does not become ready.
    pub async fn start_all<P>(&mut self, publish: P) -> Result<()>
    where
        P: AsyncFn(Vec<VmEntry>) -> Result<()>,
    {
        publish(self.vm_entries()).await?;
        for vm in self.names() {
            self.start(&vm)?;
        }
        for vm in self.names() {
            let mut retries = 0;
            while let Err(error) = self.wait_ready(&vm).await {
                retries += 1;
                if retries > COLLISION_RETRIES || !self.lost_port(&vm)? {
                    return Err(error);
                }
                self.reassign_addresses(&vm)?;
                publish(self.vm_entries()).await?;
                self.start(&vm)?;
            }
        }
        Ok(())
    }

    fn lost_port(&mut self, vm: &str) -> Result<bool> {
        let node = self.node_mut(vm)?;
        let Some(process) = &mut node.process else {
            return Ok(false);
        };
        if process.has_exited()?.is_none() {
            return Ok(false);
        }
        Ok(process.log_tail().to_lowercase().contains("in use"))
    }

    fn reassign_addresses(&mut self, vm: &str) -> Result<()> {
        let reserved = self.config.addressing.take()?;
        let node = self.node_mut(vm)?;
        node.addresses = reserved.addresses;
        node.reserved_ports = reserved.ports;
        self.write_settings(self.node(vm)?)
    }

    /// Sends a signal to a node.
    ///
    /// # Errors
    ///
    /// Fails when the node is not running.
    pub fn signal(&mut self, vm: &str, signal: Signal) -> Result<()> {
        self.process_mut(vm)?.signal(signal)
    }

    /// Kills a node (SIGKILL) and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails when the node is not running.
    pub fn kill(&mut self, vm: &str) -> Result<()> {
        self.process_mut(vm)?.kill()
    }

    /// Pauses a node (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Fails when the node is not running.
    pub fn pause(&mut self, vm: &str) -> Result<()> {
        self.signal(vm, Signal::STOP)
    }

    /// Resumes a node (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails when the node is not running.
    pub fn resume(&mut self, vm: &str) -> Result<()> {
        self.signal(vm, Signal::CONT)
    }

    /// Requests the graceful shutdown of a node (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails when the node is not running.
    pub fn terminate(&mut self, vm: &str) -> Result<()> {
        self.signal(vm, Signal::TERM)
    }

    /// Waits for the exit of a node.
    ///
    /// # Errors
    ///
    /// Fails when the node was never started or does not exit within `bound`.
    pub async fn wait_exit(&mut self, vm: &str, bound: Duration) -> Result<ExitStatus> {
        self.process_mut(vm)?.wait_exit(bound).await
    }

    /// Kills a node if it is running, and starts it again on the same addresses.
    ///
    /// # Errors
    ///
    /// Fails when the node was never started or its program cannot be started.
    pub fn restart(&mut self, vm: &str) -> Result<()> {
        if self.process_mut(vm)?.has_exited()?.is_none() {
            self.kill(vm)?;
        }
        self.start(vm)
    }

    /// Returns the lines that a node has logged, across restarts; for each process
    /// at most its newest 20,000 lines.
    ///
    /// # Errors
    ///
    /// Fails when the fleet has no such node.
    pub fn logs(&self, vm: &str) -> Result<Vec<String>> {
        let node = self.node(vm)?;
        let mut lines = node.earlier_logs.clone();
        if let Some(process) = &node.process {
            lines.append(&mut process.logs());
        }
        Ok(lines)
    }

    /// Returns the id of the current or last process of a node.
    ///
    /// # Errors
    ///
    /// Fails when the node was never started.
    pub fn process_id(&mut self, vm: &str) -> Result<u32> {
        Ok(self.process_mut(vm)?.id())
    }

    /// Requests the graceful shutdown of all running nodes at the same time and waits
    /// for all of them.
    ///
    /// Returns the exit status by VM name. It is `None` for a node that was killed
    /// because it did not exit within `bound`, or that a signal had ended before.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be waited for.
    pub async fn stop_all(&mut self, bound: Duration) -> Result<BTreeMap<String, Option<i32>>> {
        let mut ends = BTreeMap::new();
        let deadline = Instant::now() + bound;
        for node in self.nodes.values_mut() {
            let Some(process) = &mut node.process else {
                continue;
            };
            if process.has_exited()?.is_none() {
                process.signal(Signal::TERM)?;
            }
        }
        for (vm, node) in &mut self.nodes {
            let Some(process) = &mut node.process else {
                continue;
            };
            let left = deadline.saturating_duration_since(Instant::now());
            let end = match process.wait_exit(left).await {
                Ok(status) => status.code(),
                Err(_) => {
                    process.kill()?;
                    None
                }
            };
            ends.insert(vm.clone(), end);
        }
        Ok(ends)
    }

    fn node(&self, vm: &str) -> Result<&Node> {
        self.nodes.get(vm).ok_or_else(|| eyre!("no node {vm}"))
    }

    fn node_mut(&mut self, vm: &str) -> Result<&mut Node> {
        self.nodes.get_mut(vm).ok_or_else(|| eyre!("no node {vm}"))
    }

    fn process_mut(&mut self, vm: &str) -> Result<&mut ChildProcess> {
        let process = &mut self.node_mut(vm)?.process;
        process
            .as_mut()
            .ok_or_else(|| eyre!("{vm} was never started"))
    }
}
