//! An entry on the far side of a bad network.
//!
//! It reads a platform of its own, whose VM list names relays in place of
//! gates, and a control address where nobody listens. So it hears of gates only
//! what their answers say, and every byte to them passes a relay.

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
/// A service without calls of its own, so that the entry is nobody's gate.
const SERVICE: &str = "desk";

/// A far entry; dropping it ends its node.
pub struct FarEntry {
    /// Its process, alone in a fleet.
    pub fleet: Fleet,
    _platform: PlatformStandin,
    relays: BTreeMap<String, Relay>,
    _target: TargetStandin,
    /// Keeps the silent control address from being given to another process.
    _silent: UdpSocket,
}

impl FarEntry {
    /// Starts an entry that reaches the named gates through relays and knows
    /// no others. The text must have the service `desk` depend on theirs.
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

    /// Starts an entry that knows the VMs of a list of the test's making.
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

    /// Where callers reach it.
    pub fn addr(&self) -> SocketAddr {
        let addresses = self.fleet.addresses(VM);
        addresses.expect("the entry was added at the start").callers
    }

    /// Makes the entry hear of its gates, by lookups whose answers carry their
    /// reports, until it can reckon with them.
    pub async fn wait_for_gate_reports(&self) -> Result<()> {
        let operators = self.fleet.addresses(VM)?.operators;
        let client = HttpClient::new(HttpVersion::Http1);
        let give_up = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < give_up {
            let _ = Caller::new().send(self.addr(), &Call::price("hear")).await;
            let status: NodeStatus = client.get(operators, STATUS_PATH).await?.json()?;
            let targets = status.services.iter().flat_map(|known| &known.targets);
            let heard: Vec<_> = targets.filter(|target| target.load.is_some()).collect();
            let is_heard = |gate: &String| heard.iter().any(|target| target.vm.as_str() == gate);
            if self.relays.keys().all(is_heard) {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
        bail!("the far entry never heard of its gates")
    }

    /// The relay before a gate.
    pub fn relay(&self, gate: &str) -> &Relay {
        let relay = self.relays.get(gate);
        relay.expect("the test names its own gates")
    }
}
