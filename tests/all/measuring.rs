//! The number of probes of targets stays within the budget of the text.
//!
//! The budget is a token bucket: in any period it allows at most its burst plus its
//! rate times the length of the period. The tests count probes at the target, or at a
//! socket in its place, and never rely on the node's own counters.

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use hornbeamhitch_node::control_loop::FleetTag;
use hornbeamhitch_standins::fleet::{Fleet, FleetConfig, NodeSpec};
use hornbeamhitch_standins::platform::{PlatformStandin, VmEntry, VmState};
use hornbeamhitch_standins::target::{Behaviour, HealthReport, TargetConfig, TargetStandin};
use hornbeamhitch_wire::control::{Datagram, DatagramBody};

use crate::support::caller::{Call, Caller};
use crate::support::probe_counter::{ConnectionBehaviour, ProbeCounter};
use crate::support::traffic::Traffic;
use crate::support::{Deployment, Member, WAIT_TIMEOUT, loopback};

const PROBES_PER_S: f64 = 0.25;
const PROBE_BURST: u64 = 1;
/// Period in which a node without a budget would send at least twice as many probes.
const WINDOW: Duration = Duration::from_secs(4);

fn text(deadline_ms: u64) -> String {
    format!(
        r#"{{
  "deployment": "test",
  "services": {{
    "cashier": {{
      "deadline_ms": {deadline_ms},
      "budgets": {{ "probes_per_s": {PROBES_PER_S}, "probe_burst": {PROBE_BURST} }},
      "calls": [
        {{ "name": "charge", "match": "POST /charge", "idempotent": false }},
      ],
    }},
  }},
}}"#
    )
}

/// Number of probes that the budget allows within a period.
fn allowed(within: Duration) -> u64 {
    PROBE_BURST + (PROBES_PER_S * within.as_secs_f64()) as u64
}

/// A fleet with one node in front of one target.
struct SingleNode {
    platform: PlatformStandin,
    fleet: Fleet,
    started_at: Instant,
}

const VM: &str = "cashier-1";

impl SingleNode {
    async fn start(target: SocketAddr, others: Vec<VmEntry>) -> Result<Self> {
        let platform = PlatformStandin::start(loopback()).await?;
        platform.set_text(&text(1_000))?;
        let node = Path::new(env!("CARGO_BIN_EXE_hornbeamhitch-node"));
        let mut fleet = Fleet::new(FleetConfig::new(node, platform.addr()))?;
        fleet.add(NodeSpec {
            vm: VM.to_owned(),
            service: "cashier".to_owned(),
            data_centre: "a".to_owned(),
            target,
        })?;
        let started_at = Instant::now();
        let publish = async |own: Vec<VmEntry>| {
            let mut vms = own;
            vms.extend(others.iter().cloned());
            platform.set_vms(vms).map(drop)
        };
        fleet.start_all(publish).await?;
        Ok(Self {
            platform,
            fleet,
            started_at,
        })
    }

    fn entry(&self) -> Result<SocketAddr> {
        Ok(self.fleet.addresses(VM)?.callers)
    }

    /// Waits until the end of the window that began with the start of the node.
    async fn wait_for_window_end(&self) {
        tokio::time::sleep_until((self.started_at + WINDOW).into()).await;
    }

    fn assert_within(&self, probes: u64, what: &str) {
        let within = self.started_at.elapsed();
        let allowed = allowed(within);
        println!("{what}: {probes} probes in {within:?}, {allowed} allowed");
        assert!(
            probes <= allowed,
            "{what}: {probes} probes, {allowed} allowed"
        );
        assert!(probes > 0, "{what}: nothing was measured");
    }
}

/// Counts probes of a stand-in with this behaviour, without calls.
async fn probes_with_behaviour(what: &str, behaviour: Behaviour) -> Result<()> {
    let target = TargetStandin::start(TargetConfig {
        behaviour,
        ..TargetConfig::default()
    })
    .await?;
    let node = SingleNode::start(target.addr(), Vec::new()).await?;
    node.wait_for_window_end().await;
    let counts = target.counts();
    node.assert_within(counts.health_probes + counts.load_probes, what);
    Ok(())
}

#[tokio::test]
async fn probes_of_an_idle_draining_or_unhealthy_target_stay_within_the_budget() -> Result<()> {
    // There are no calls, so only probes can show the target's health. The target is
    // healthy, drains, reports itself unhealthy, or fails each request. Without the
    // budget the node would probe four times a second; the budget allows one probe in
    // four seconds.
    let idle = probes_with_behaviour("idle", Behaviour::default());
    let draining = probes_with_behaviour(
        "draining",
        Behaviour {
            draining: true,
            ..Behaviour::default()
        },
    );
    let unhealthy = probes_with_behaviour(
        "ill",
        Behaviour {
            health: HealthReport::AlwaysIll,
            ..Behaviour::default()
        },
    );
    let failing = probes_with_behaviour(
        "failing fast",
        Behaviour {
            fail_fast: true,
            ..Behaviour::default()
        },
    );
    tokio::try_join!(idle, draining, unhealthy, failing).map(drop)
}

/// Counts every connection, since a probe needs at least one.
async fn probes_by_connection(behaviour: ConnectionBehaviour) -> Result<()> {
    let target = ProbeCounter::start(behaviour).await?;
    let node = SingleNode::start(target.addr(), Vec::new()).await?;
    node.wait_for_window_end().await;
    node.assert_within(target.connections(), &format!("{behaviour:?}"));
    Ok(())
}

#[tokio::test]
async fn probes_of_an_unresponsive_or_flapping_target_stay_within_the_budget() -> Result<()> {
    // The target never answers, closes the connection after the request, or closes
    // each connection immediately. A failed probe costs one token like any other and
    // is not retried.
    tokio::try_join!(
        probes_by_connection(ConnectionBehaviour::Silent),
        probes_by_connection(ConnectionBehaviour::HangUp),
        probes_by_connection(ConnectionBehaviour::Flap),
    )
    .map(drop)
}

#[tokio::test]
async fn probes_of_a_restarting_target_stay_within_the_budget() -> Result<()> {
    // The target's port closes and reopens every few hundred milliseconds, and the
    // text is edited in between. Neither a restart nor a new policy refills the
    // bucket.
    let target = TargetStandin::start(TargetConfig::default()).await?;
    let node = SingleNode::start(target.addr(), Vec::new()).await?;
    let mut edits = 0;
    while node.started_at.elapsed() < WINDOW {
        target.close().await;
        tokio::time::sleep(Duration::from_millis(150)).await;
        target.reopen().await;
        edits += 1;
        node.platform.set_text(&text(1_000 + edits))?;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let counts = target.counts();
    let probes = counts.health_probes + counts.load_probes;
    let allowed = allowed(node.started_at.elapsed());
    println!("vanishing, {edits} times: {probes} probes, {allowed} allowed");
    assert!(probes <= allowed, "{probes} probes, {allowed} allowed");
    Ok(())
}

#[tokio::test]
async fn failed_runs_add_no_probes_beyond_the_budget() -> Result<()> {
    // The target closes the connection of each run, and callers continue to call. The
    // node does not probe its health more often because of that, and it checks whether
    // the target still listens with connections that the next calls use.
    let target = ProbeCounter::start(ConnectionBehaviour::BreakRuns).await?;
    let node = SingleNode::start(target.addr(), Vec::new()).await?;
    let (caller, entry) = (Caller::new(), node.entry()?);
    let mut calls = 0;
    while node.started_at.elapsed() < WINDOW {
        calls += 1;
        let call = Call::price(&format!("broken-{calls}"));
        let answer = caller.send(entry, &call).await?;
        ensure!(!answer.status.is_success(), "a broken run looks whole");
    }
    assert!(target.calls() > 0, "no call reached the target");
    node.assert_within(target.probes(), "broken runs");
    // One connection may be ready for the next call when the window ends.
    let unused = target.connections().saturating_sub(target.calls() + 1);
    println!(
        "{calls} calls, {} broken runs, {unused} connections for neither a call nor the next",
        target.calls()
    );
    assert!(
        unused <= target.probes(),
        "{unused} connections without a call"
    );
    Ok(())
}

#[tokio::test]
async fn a_busy_target_is_measured_by_its_calls_instead_of_probes() -> Result<()> {
    // Three nodes serve callers. Answers report load and health, and only a target's
    // own gate measures it, however many entries call it.
    let started_at = Instant::now();
    let members = (1..=3).map(|number| Member::new(&format!("cashier-{number}"), "cashier"));
    let deployment = Deployment::start(&text(5_000), members.collect()).await?;
    let traffic = Traffic::start(&deployment.fleet.entries(), 6);
    traffic.wait_answered(500).await?;
    let served = traffic.stop().await?;
    assert!(served.failures.is_empty(), "{:#?}", served.failures);
    for (vm, target) in &deployment.targets {
        let counts = target.counts();
        let probes = counts.health_probes + counts.load_probes;
        println!("{vm}: {probes} probes beside {} calls", counts.calls);
        assert!(
            probes <= allowed(started_at.elapsed()),
            "{vm}: {probes} probes"
        );
    }
    Ok(())
}

/// A listed gate that never sends anything. It counts the probes that it gets.
struct SilentGate {
    socket: UdpSocket,
}

impl SilentGate {
    fn bind() -> Result<Self> {
        let socket = UdpSocket::bind(loopback())?;
        socket.set_nonblocking(true)?;
        Ok(Self { socket })
    }

    fn listed(&self, number: usize) -> Result<VmEntry> {
        let addr = self.socket.local_addr()?;
        Ok(VmEntry {
            vm: format!("silent-{number}"),
            data_centre: "a".to_owned(),
            service: "cashier".to_owned(),
            state: VmState::Live,
            peer: addr,
            control: addr,
        })
    }

    /// Counts the received probes and the other datagrams.
    fn count(&self, deployment: &str) -> (u64, u64) {
        let (mut probes, mut others) = (0, 0);
        let mut buffer = [0; 4_096];
        while let Ok(length) = self.socket.recv(&mut buffer) {
            let own = FleetTag::of(deployment).strip(&buffer[..length]);
            let datagram = own.map(Datagram::decode);
            match datagram.map(|datagram| datagram.map(|datagram| datagram.body)) {
                Some(Ok(DatagramBody::Probe { .. })) => probes += 1,
                _ => others += 1,
            }
        }
        (probes, others)
    }
}

#[tokio::test]
async fn probes_of_unresponsive_gates_stay_within_the_budget() -> Result<()> {
    // The list has four gates that are gone without notice. Callers use the service,
    // so the entry probes these gates repeatedly; one budget covers the probes of all
    // of them.
    let target = TargetStandin::start(TargetConfig::default()).await?;
    let mut gates = Vec::new();
    let mut listed = Vec::new();
    for number in 0..4 {
        let gate = SilentGate::bind()?;
        listed.push(gate.listed(number)?);
        gates.push(gate);
    }
    let node = SingleNode::start(target.addr(), listed).await?;
    let caller = Caller::new();
    let (mut number, mut probes, mut others) = (0, 0, 0);
    // The window begins with the first probe, because the time until then depends on
    // how fast the node starts and answers calls.
    let mut window_end = None;
    while window_end.is_none_or(|end| Instant::now() < end) {
        number += 1;
        let call = Call::price(&format!("probe-{number}"));
        let _ = caller.send(node.entry()?, &call).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        for gate in &gates {
            let (gate_probes, gate_others) = gate.count(node.fleet.deployment());
            probes += gate_probes;
            others += gate_others;
        }
        if probes > 0 {
            window_end.get_or_insert_with(|| Instant::now() + WINDOW);
        }
        ensure!(node.started_at.elapsed() < WAIT_TIMEOUT, "no probe came");
    }
    println!("four silent gates: {probes} probes, {others} other datagrams, {number} calls");
    node.assert_within(probes, "silent gates");
    Ok(())
}
