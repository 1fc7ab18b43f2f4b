//! A deployment of node processes, stand-in targets and a stand-in platform.
//!
//! Nodes run as processes, because the tests check failures of processes. The
//! stand-ins run inside the test process, so that a test can read their counts
//! and journals directly.

pub mod caller;
pub mod far_entry;
pub mod in_force;
pub mod pause;
pub mod payment;
pub mod probe_counter;
pub mod raw_target;
pub mod relay;
pub mod slow_answer;
pub mod traffic;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use eyre::{Result, bail, eyre};
use hornbeamhitch_standins::fleet::{Fleet, FleetConfig, NodeSpec};
use hornbeamhitch_standins::http_client::{HttpClient, HttpVersion};
use hornbeamhitch_standins::platform::PlatformStandin;
use hornbeamhitch_standins::target::{RunRecord, TargetConfig, TargetStandin};
use hornbeamhitch_types::status::NodeStatus;

/// The program under test.
const NODE: &str = env!("CARGO_BIN_EXE_hornbeamhitch-node");
/// Timeout of every wait; it expires only when something is broken.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);

/// The configuration text of most tests: one service with both kinds of calls.
pub const CASHIER_TEXT: &str = r#"{
  // Small limits, so that tests reach them.
  "deployment": "test",
  "services": {
    "cashier": {
      "slots": 4,
      "connections": 50,
      "calls": [
        { "name": "charge", "match": "POST /charge", "idempotent": false, "class": "payment" },
        { "name": "price", "match": "GET /price", "idempotent": true },
      ],
    },
  },
}"#;

/// Description of a target and its node, before they are started.
pub struct Member {
    /// VM on which both run.
    pub vm: String,
    /// Service of the target.
    pub service: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Configuration of the stand-in target.
    pub target: TargetConfig,
}

impl Member {
    /// Creates a member in data centre `a` whose target has the default configuration.
    pub fn new(vm: &str, service: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            service: service.to_owned(),
            data_centre: "a".to_owned(),
            target: TargetConfig {
                name: vm.to_owned(),
                ..TargetConfig::default()
            },
        }
    }

    /// Sets the data centre of the member.
    pub fn in_data_centre(mut self, data_centre: &str) -> Self {
        self.data_centre = data_centre.to_owned();
        self
    }

    /// Changes the configuration of the target.
    pub fn with(mut self, change: impl FnOnce(&mut TargetConfig)) -> Self {
        change(&mut self.target);
        self
    }
}

/// The platform, targets and nodes of one test. Dropping it stops the nodes.
pub struct Deployment {
    /// The stand-in platform.
    pub platform: PlatformStandin,
    /// Stand-in targets by VM.
    pub targets: BTreeMap<String, TargetStandin>,
    /// Node processes.
    pub fleet: Fleet,
    client: HttpClient,
}

impl Deployment {
    /// Starts platform, targets and nodes, and waits until each node has the text
    /// in force and has a load report of every member of its service.
    pub async fn start(text: &str, members: Vec<Member>) -> Result<Self> {
        let mut deployment = Self::prepare(members).await?;
        deployment.platform.set_text(text)?;
        deployment.start_nodes().await?;
        Ok(deployment)
    }

    /// Starts the platform and the targets, and adds the nodes without starting
    /// them.
    pub async fn prepare(members: Vec<Member>) -> Result<Self> {
        Self::prepare_with(members, |_| ()).await
    }

    /// Like [`Self::prepare`], with changed settings for all nodes.
    pub async fn prepare_with(
        members: Vec<Member>,
        change: impl FnOnce(&mut FleetConfig),
    ) -> Result<Self> {
        let platform = PlatformStandin::start(loopback()).await?;
        let mut config = FleetConfig::new(Path::new(NODE), platform.addr());
        change(&mut config);
        let mut fleet = Fleet::new(config)?;
        let mut targets = BTreeMap::new();
        for member in members {
            let target = TargetStandin::start(member.target).await?;
            let addresses = fleet.add(NodeSpec {
                vm: member.vm.clone(),
                service: member.service,
                data_centre: member.data_centre,
                target: target.addr(),
            })?;
            target.set_node(addresses.callers);
            targets.insert(member.vm, target);
        }
        Ok(Self {
            platform,
            targets,
            fleet,
            client: HttpClient::new(HttpVersion::Http1),
        })
    }

    /// Starts all nodes and waits until each has a load report of every member of
    /// its service.
    pub async fn start_nodes(&mut self) -> Result<()> {
        let platform = &self.platform;
        let publish = async |vms| platform.set_vms(vms).map(drop);
        self.fleet.start_all(publish).await?;
        for vm in self.fleet.names() {
            self.wait_for_peers(&vm).await?;
        }
        Ok(())
    }

    /// Waits until a node has a load report of every member of its own service.
    pub async fn wait_for_peers(&self, vm: &str) -> Result<()> {
        let service = self.status(vm).await?.service;
        let expected = self.fleet.vm_entries();
        let expected = expected
            .iter()
            .filter(|entry| entry.service == service.as_str());
        let expected = expected.count();
        self.wait_status(vm, "has load reports of its peers", |status| {
            let Some(own) = status.services.iter().find(|known| known.name == service) else {
                return false;
            };
            let with_report = own.targets.iter().filter(|target| target.load.is_some());
            with_report.count() == expected
        })
        .await
        .map(drop)
    }

    /// Reads a node's status from its operators' address.
    pub async fn status(&self, vm: &str) -> Result<NodeStatus> {
        let operators = self.fleet.addresses(vm)?.operators;
        self.client.get(operators, "/v1/status").await?.json()
    }

    /// Waits until a node's status satisfies a condition.
    ///
    /// # Errors
    ///
    /// Fails after [`WAIT_TIMEOUT`], with `what` and the last status that was read.
    pub async fn wait_status(
        &self,
        vm: &str,
        what: &str,
        condition: impl Fn(&NodeStatus) -> bool,
    ) -> Result<NodeStatus> {
        let give_up = Instant::now() + WAIT_TIMEOUT;
        let mut last = None;
        while Instant::now() < give_up {
            if let Ok(status) = self.status(vm).await {
                if condition(&status) {
                    return Ok(status);
                }
                last = Some(status);
            }
            tokio::time::sleep(POLL).await;
        }
        bail!("{vm} never reached: {what}; last seen {last:#?}")
    }

    /// Address at which a node accepts callers.
    pub fn entry(&self, vm: &str) -> SocketAddr {
        let addresses = self.fleet.addresses(vm);
        addresses.expect("the test names its own nodes").callers
    }

    /// Stand-in target of a VM.
    pub fn target(&self, vm: &str) -> &TargetStandin {
        self.targets
            .get(vm)
            .expect("the test names its own targets")
    }

    /// Runs with this nonce, or under this key, at all targets.
    pub fn runs_of(&self, nonce: &str) -> Vec<RunRecord> {
        let mut runs = Vec::new();
        for target in self.targets.values() {
            runs.extend(target.runs(nonce));
        }
        runs
    }

    /// Waits until a condition on the deployment holds.
    ///
    /// # Errors
    ///
    /// Fails with `what` after [`WAIT_TIMEOUT`].
    pub async fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) -> Result<()> {
        let give_up = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < give_up {
            if condition(self) {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
        Err(eyre!("never came true: {what}"))
    }
}

/// The loopback address with port 0, at which the kernel picks a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
