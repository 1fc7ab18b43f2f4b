//! A complete deployment, run as processes on one machine.

use std::path::{Path, PathBuf};
use std::process::Command;

use tokio::time::{Instant, sleep};

use crate::fleet::temp_dir::TempDir;
use crate::fleet::{Addressing, ChildProcess, Fleet, FleetConfig, NodeSpec, Signal};
use crate::http_client::{HttpClient, HttpVersion};
use crate::platform::VmEntry;
use crate::prelude::*;
use crate::program::listening_addr;
use crate::target::TargetConfig;
use crate::target::admin::SetNodeRequest;

pub mod bangkok;
pub mod deployment;

pub use deployment::{Deployment, TargetSpec};

const START_TIMEOUT: Duration = Duration::from_secs(10);
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
const POLL: Duration = Duration::from_millis(5);

/// The program that nodes run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeKind {
    /// `hornbeamhitch-node`: callers name services and fetch tickets.
    #[default]
    Ticketed,
    /// `hornbeamhitch-routed`: callers use hosts and paths.
    Routed,
}

impl NodeKind {
    const fn program(self) -> &'static str {
        match self {
            Self::Ticketed => "hornbeamhitch-node",
            Self::Routed => "hornbeamhitch-routed",
        }
    }

    fn addressing(self) -> Addressing {
        match self {
            Self::Ticketed => Addressing::OneAddress,
            Self::Routed => Addressing::address_per_node(),
        }
    }
}

/// Paths of the programs of a deployment.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The kind of program at `node`.
    pub kind: NodeKind,
    /// The program that nodes run.
    pub node: PathBuf,
    /// `hornbeamhitch-platform-standin`.
    pub platform: PathBuf,
    /// `hornbeamhitch-target-standin`.
    pub target: PathBuf,
}

impl Programs {
    /// Finds the programs in the directory of the current executable.
    ///
    /// # Errors
    ///
    /// Names the first program that is missing.
    pub fn beside_current_exe(kind: NodeKind) -> Result<Self> {
        let this = std::env::current_exe()?;
        let dir = this
            .parent()
            .ok_or_else(|| eyre!("the current executable has no parent directory"))?;
        Self::in_dir(dir, kind)
    }

    /// Finds the programs in a directory.
    ///
    /// # Errors
    ///
    /// Names the first program that is missing.
    pub fn in_dir(dir: &Path, kind: NodeKind) -> Result<Self> {
        let find = |name: &str| {
            let path = dir.join(name);
            ensure!(path.is_file(), "{} is missing", path.display());
            Ok(path)
        };
        Ok(Self {
            kind,
            node: find(kind.program())?,
            platform: find("hornbeamhitch-platform-standin")?,
            target: find("hornbeamhitch-target-standin")?,
        })
    }
}

struct TargetProcess {
    spec: TargetSpec,
    addr: SocketAddr,
    process: ChildProcess,
}

/// All processes of a deployment, which are killed when this value is dropped.
pub struct RunningDeployment {
    fleet: Fleet,
    targets: Vec<TargetProcess>,
    platform: ChildProcess,
    platform_addr: SocketAddr,
    client: HttpClient,
    ready_in: Millis,
    _dir: TempDir,
}

impl RunningDeployment {
    /// Starts all processes and waits until the configuration text is in force on
    /// every node.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or does not become ready in time.
    pub async fn start(programs: &Programs, deployment: &Deployment, text: &str) -> Result<Self> {
        let dir = TempDir::create("hornbeamhitch-demo")?;
        let client = HttpClient::new(HttpVersion::Http1);
        let mut platform = ChildProcess::spawn("platform", &mut Command::new(&programs.platform))?;
        let platform_addr = wait_listening(&mut platform).await?;
        let text = Bytes::from(text.to_owned());
        client.post(platform_addr, "/admin/text", text).await?;
        let mut targets = Vec::new();
        for spec in deployment.targets() {
            targets.push(start_target(&programs.target, spec, &dir)?);
        }
        let mut started = Vec::new();
        for (spec, mut process) in targets {
            let addr = wait_listening(&mut process).await?;
            started.push(TargetProcess {
                spec,
                addr,
                process,
            });
        }
        let fleet = Fleet::new(FleetConfig {
            addressing: programs.kind.addressing(),
            ..FleetConfig::new(&programs.node, platform_addr)
        })?;
        let mut running = Self {
            fleet,
            targets: started,
            platform,
            platform_addr,
            client,
            ready_in: Millis::ZERO,
            _dir: dir,
        };
        running.start_nodes().await?;
        Ok(running)
    }

    async fn start_nodes(&mut self) -> Result<()> {
        for target in &self.targets {
            self.fleet.add(NodeSpec {
                vm: target.spec.vm.clone(),
                service: target.spec.service.clone(),
                data_centre: target.spec.data_centre.clone(),
                target: target.addr,
            })?;
        }
        let started_at = Instant::now();
        let (client, platform) = (self.client.clone(), self.platform_addr);
        let publish = async |vms: Vec<VmEntry>| {
            client.post_json(platform, "/admin/vms", &vms).await?;
            Ok(())
        };
        self.fleet.start_all(publish).await?;
        self.ready_in = Millis::from_duration(started_at.elapsed());
        for target in &self.targets {
            let node = self.fleet.addresses(&target.spec.vm)?.callers;
            let command = SetNodeRequest { node };
            self.client
                .post_json(target.addr, "/admin/node", &command)
                .await?;
        }
        Ok(())
    }

    /// Returns the time from the start of the first node until all nodes were ready.
    #[must_use]
    pub fn ready_in(&self) -> Millis {
        self.ready_in
    }

    /// Returns the callers' address of each node.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.fleet.entries()
    }

    /// Returns the addresses of the targets.
    #[must_use]
    pub fn target_addrs(&self) -> Vec<SocketAddr> {
        let mut addrs = Vec::new();
        for target in &self.targets {
            addrs.push(target.addr);
        }
        addrs
    }

    /// Returns the address of the platform.
    #[must_use]
    pub fn platform_addr(&self) -> SocketAddr {
        self.platform_addr
    }

    /// Returns the fleet, for example to kill or pause nodes.
    pub fn fleet(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// Requests the graceful shutdown of all processes, nodes first.
    ///
    /// # Errors
    ///
    /// Fails when a process does not exit in time or not with status 0.
    pub async fn stop(&mut self) -> Result<()> {
        for (vm, end) in self.fleet.stop_all(STOP_TIMEOUT).await? {
            if end == Some(0) {
                continue;
            }
            let logs = self.fleet.logs(&vm)?;
            let tail = logs[logs.len().saturating_sub(20)..].join("\n");
            bail!("node {vm} exited with {end:?}:\n{tail}");
        }
        for target in &mut self.targets {
            end_process(&mut target.process).await?;
        }
        end_process(&mut self.platform).await
    }
}

fn start_target(
    program: &Path,
    spec: TargetSpec,
    dir: &TempDir,
) -> Result<(TargetSpec, ChildProcess)> {
    let config = TargetConfig {
        name: spec.vm.clone(),
        ..spec.config.clone()
    };
    let file = dir.path().join(format!("{}.json", spec.vm));
    std::fs::write(&file, serde_json::to_string_pretty(&config)?)?;
    let mut command = Command::new(program);
    command.arg("--config").arg(&file);
    let process = ChildProcess::spawn(&spec.vm, &mut command)?;
    Ok((spec, process))
}

async fn wait_listening(process: &mut ChildProcess) -> Result<SocketAddr> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        if let Some(addr) = listening_addr(&process.logs()) {
            return Ok(addr);
        }
        let ended = process.has_exited()?.is_some();
        if ended || Instant::now() >= deadline {
            bail!("a stand-in is not listening: {}", process.log_tail());
        }
        sleep(POLL).await;
    }
}

async fn end_process(process: &mut ChildProcess) -> Result<()> {
    process.signal(Signal::TERM)?;
    let status = process.wait_exit(STOP_TIMEOUT).await?;
    ensure!(
        status.success(),
        "exited with {status}: {}",
        process.log_tail()
    );
    Ok(())
}
