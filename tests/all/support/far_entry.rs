//! An entry that reaches gates over a faulty network.
//!
//! It reads its own platform, whose VM list has the addresses of relays instead
//! of those of the gates, and a control address at which no process listens. It
//! therefore learns about gates only from their answers, and all traffic to them
//! passes through a relay.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::Instant;

use eyre::{Result, bail};
use hornbeamhitch_standins::fleet::{Fleet, FleetConfig, NodeSpec};
use hornbeamhitch_standins::http_client::{HttpClient, HttpVersion};
use hornbeamhitch_standins::platform::{PlatformStandin, VmEntry};
use hornbeamhitch_standins::target::{TargetConfig, TargetStandin};
use hornbeamhitch_types::status::{NodeStatus, STATUS_PATH};

use super::caller::{Call, Caller};
use super::relay::Relay;
use super::{Deployment, NODE, POLL, WAIT_TIMEOUT, loopback};

const VM: &str = "far-desk";
/// A service without calls, so that the entry's node serves no call as a gate.
const SERVICE: &str = "desk";

/// A running far entry. Dropping it stops its node.
pub struct FarEntry {
    /// Fleet whose only process is the entry's node.
    pub fleet: Fleet,
    _platform: PlatformStandin,
    relays: BTreeMap<String, Relay>,
    _target: TargetStandin,
    /// Reserves the unanswered control address, so that no other process gets it.
    _silent: UdpSocket,
}

impl FarEntry {
    /// Starts an entry that reaches the named gates through relays and knows no
    /// other gates. In the text, the service `desk` must depend on their service.
    pub async fn start(text: &str, deployment: &Deployment, gates: &[&str]) -> Result<Self> {
        let mut relays = BTreeMap::new();
        let mut listed = Vec::new();
        for entry in deployment.fleet.vm_entries() {
            if !gates.contains(&entry.vm.as_str()) {
                continue;
            }
            let relay = Relay::start(entry.peer).await?;
            let peer = relay.addr();
            relays.insert(entry.vm.clone(), relay);
            listed.push(VmEntry { peer, ..entry });
        }
        let mut far = Self::with_list(text, listed).await?;
        far.relays = relays;
        Ok(far)
    }

    /// Starts an entry that knows exactly the listed VMs and itself.
    pub async fn with_list(text: &str, listed: Vec<VmEntry>) -> Result<Self> {
        let platform = PlatformStandin::start(loopback()).await?;
        platform.set_text(text)?;
        let mut fleet = Fleet::new(FleetConfig::new(Path::new(NODE), platform.addr()))?;
        let target = TargetStandin::start(TargetConfig::default()).await?;
        fleet.add(NodeSpec {
            vm: VM.to_owned(),
            service: SERVICE.to_owned(),
            data_centre: "far".to_owned(),
            target: target.addr(),
        })?;
        let silent = UdpSocket::bind(loopback())?;
        let control = silent.local_addr()?;
        let publish = async |own: Vec<VmEntry>| {
            let mut vms = own;
            for entry in listed.clone() {
                vms.push(VmEntry { control, ..entry });
            }
            platform.set_vms(vms).map(drop)
        };
        fleet.start_all(publish).await?;
        Ok(Self {
            fleet,
            _platform: platform,
            relays: BTreeMap::new(),
            _target: target,
            _silent: silent,
        })
    }

    /// Address at which it accepts callers.
    pub fn addr(&self) -> SocketAddr {
        let addresses = self.fleet.addresses(VM);
        addresses.expect("the entry was added at the start").callers
    }

    /// Sends lookups, whose answers carry load reports, until the entry has a load
    /// report of each of its gates.
    pub async fn wait_for_gate_reports(&self) -> Result<()> {
        let operators = self.fleet.addresses(VM)?.operators;
        let client = HttpClient::new(HttpVersion::Http1);
        let give_up = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < give_up {
            let _ = Caller::new().send(self.addr(), &Call::price("hear")).await;
            let status: NodeStatus = client.get(operators, STATUS_PATH).await?.json()?;
            let targets = status.services.iter().flat_map(|known| &known.targets);
            let with_report: Vec<_> = targets.filter(|target| target.load.is_some()).collect();
            let has_report =
                |gate: &String| with_report.iter().any(|target| target.vm.as_str() == gate);
            if self.relays.keys().all(has_report) {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
        bail!("the far entry got no load reports of its gates")
    }

    /// Relay in front of a gate.
    pub fn relay(&self, gate: &str) -> &Relay {
        let relay = self.relays.get(gate);
        relay.expect("the test names its own gates")
    }
}
