//! A fleet of node processes: started, paused, killed and restarted by id.
//!
//! Every child ends with the fleet, also when a test panics.

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

/// The most processes that one fleet starts.
pub const MAX_PROCESSES: usize = 60;

const READY_POLL: Duration = Duration::from_millis(10);
const COLLISION_RETRIES: u32 = 3;

/// Fleets that this process has made.
static FLEETS: AtomicU64 = AtomicU64::new(0);

/// A deployment's name that no other fleet on this machine has.
///
/// A port that one fleet has given back can be another's a moment later, also in
/// another process. Under a common name the nodes of the one would greet those of
/// the other, whose VMs have the same names: a node hears of a later life of its
/// own VM and takes no more work, or follows readers that are not its own.
fn unique_deployment() -> String {
    let number = FLEETS.fetch_add(1, Ordering::Relaxed);
    format!("fleet-{}-{number}", std::process::id())
}

/// What all nodes of a fleet have in common.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Name of the deployment, by which nodes know each other's messages.
    pub deployment: String,
    /// The program `hornbeamhitch-node`.
    pub node_binary: PathBuf,
    /// Where nodes listen.
    pub addressing: Addressing,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Bound on the time from start to ready.
    pub ready_timeout: Duration,
    /// Bound of a node on its own graceful shutdown.
    pub drain_timeout_ms: u64,
    /// Level of the nodes' logs.
    pub log_level: String,
    /// Settings added to, or put in place of, the fleet's own, by key.
    pub extra_settings: serde_json::Map<String, serde_json::Value>,
}

impl FleetConfig {
    /// The usual bounds, ready within thirty seconds and drained within thirty,
    /// and a deployment of its own.
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
    /// Its ports, through all its lives.
    reserved_ports: Vec<ReservedPortPair>,
    settings_file: PathBuf,
    process: Option<ChildProcess>,
    /// Log lines of earlier lives on the same addresses.
    earlier_logs: Vec<String>,
}

/// Node processes and the files that they were started with.
pub struct Fleet {
    config: FleetConfig,
    nodes: BTreeMap<String, Node>,
    /// After the nodes, so that they end before their files go.
    dir: TempDir,
    client: HttpClient,
}

impl Fleet {
    /// A fleet without nodes.
    ///
    /// # Errors
    ///
    /// Fails when the directory for the settings files cannot be made.
    pub fn new(config: FleetConfig) -> Result<Self> {
        Ok(Self {
            config,
            dir: TempDir::create("hornbeamhitch-fleet")?,
            nodes: BTreeMap::new(),
            client: HttpClient::new(HttpVersion::Http1),
        })
    }

    /// Reserves addresses for a node and writes its settings; starts nothing.
    ///
    /// # Errors
    ///
    /// Fails on a second node of the same name, on the 61st node, and when no
    /// ports or files can be had.
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

    /// What the platform must publish for the nodes added so far, all live.
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

    /// The deployment that the nodes belong to.
    #[must_use]
    pub fn deployment(&self) -> &str {
        &self.config.deployment
    }

    /// Names of all nodes, in order.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Where callers reach each node, by order of the nodes' names.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let mut entries = Vec::new();
        for node in self.nodes.values() {
            entries.push(node.addresses.callers);
        }
        entries
    }

    /// Where a node listens.
    ///
    /// # Errors
    ///
    /// Fails when there is no such node.
    pub fn addresses(&self, vm: &str) -> Result<NodeAddresses> {
        Ok(self.node(vm)?.addresses)
    }

    /// Starts one node, or starts it again on the same addresses.
    ///
    /// # Errors
    ///
    /// Fails when it still runs or its program cannot be started.
    pub fn start(&mut self, vm: &str) -> Result<()> {
        let binary = self.config.node_binary.clone();
        let node = self.node_mut(vm)?;
        if let Some(process) = &mut node.process {
            ensure!(process.has_exited()?.is_some(), "{vm} still runs");
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
    /// Fails when the node exits first or the bound passes; the message has
    /// the end of its log.
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
                bail!("{vm} ended with {status}: {}", process.log_tail());
            }
            if Instant::now() >= deadline {
                bail!("{vm} is not ready in time: {}", process.log_tail());
            }
            sleep(READY_POLL).await;
        }
    }

    /// Whether a node says that a configuration is in force.
    ///
    /// The answer must be the node's own: a stand-in that took its port would
    /// say yes to everything, and the node's end would go unseen.
    ///
    /// # Errors
    ///
    /// Fails when there is no such node.
    pub async fn is_ready(&self, vm: &str) -> Result<bool> {
        let operators = self.node(vm)?.addresses.operators;
        let ready = self.client.get(operators, "/v1/ready").await;
        if !ready.is_ok_and(|answer| answer.status == StatusCode::OK) {
            return Ok(false);
        }
        if matches!(self.config.addressing, Addressing::AddressPerNode(_)) {
            // Nobody else listens at the node's own address.
            return Ok(true);
        }
        let status = self.client.get(operators, STATUS_PATH).await;
        let status = status.and_then(|answer| answer.json::<NodeStatus>());
        Ok(status.is_ok_and(|status| status.vm.as_str() == vm))
    }

    /// Starts all nodes added so far and waits until all are ready.
    ///
    /// `publish` is called with the VM list before the start, and again when a
    /// node lost its port to another process and was given new addresses.
    ///
    /// # Errors
    ///
    /// Fails when `publish` does or a node does not come up.
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

    /// Sends a signal to one node.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn signal(&mut self, vm: &str, signal: Signal) -> Result<()> {
        self.process_mut(vm)?.signal(signal)
    }

    /// Ends one node without notice (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn kill(&mut self, vm: &str) -> Result<()> {
        self.process_mut(vm)?.kill()
    }

    /// Pauses one node (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn pause(&mut self, vm: &str) -> Result<()> {
        self.signal(vm, Signal::STOP)
    }

    /// Wakes one node (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn resume(&mut self, vm: &str) -> Result<()> {
        self.signal(vm, Signal::CONT)
    }

    /// Asks one node to shut down gracefully (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn terminate(&mut self, vm: &str) -> Result<()> {
        self.signal(vm, Signal::TERM)
    }

    /// Waits for the end of one node.
    ///
    /// # Errors
    ///
    /// Fails when the bound passes first.
    pub async fn wait_exit(&mut self, vm: &str, bound: Duration) -> Result<ExitStatus> {
        self.process_mut(vm)?.wait_exit(bound).await
    }

    /// Kills one node and starts it again on the same addresses.
    ///
    /// # Errors
    ///
    /// Fails when its program cannot be started.
    pub fn restart(&mut self, vm: &str) -> Result<()> {
        if self.process_mut(vm)?.has_exited()?.is_none() {
            self.kill(vm)?;
        }
        self.start(vm)
    }

    /// Lines that one node has logged in all its lives, the newest 20,000 of
    /// each.
    ///
    /// # Errors
    ///
    /// Fails when there is no such node.
    pub fn logs(&self, vm: &str) -> Result<Vec<String>> {
        let node = self.node(vm)?;
        let mut lines = node.earlier_logs.clone();
        if let Some(process) = &node.process {
            lines.append(&mut process.logs());
        }
        Ok(lines)
    }

    /// The process id of a node that runs or has run.
    ///
    /// # Errors
    ///
    /// Fails when it was never started.
    pub fn process_id(&mut self, vm: &str) -> Result<u32> {
        Ok(self.process_mut(vm)?.id())
    }

    /// Asks all running nodes to shut down at once and waits for each.
    ///
    /// Returns how each ended, by name; `None` stands for a node that had to
    /// be killed because the bound passed.
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
