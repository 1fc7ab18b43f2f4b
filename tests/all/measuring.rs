//! The work spent on measuring targets stays within the budget of the text.
//!
//! The budget is a token bucket: over any time no more than its burst and its
//! rate times that time. Whatever a target does, the count is the target's own
//! or that of a socket in its place, never the node's word.

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
use crate::support::probe_counter::{Conduct, ProbeCounter};
use crate::support::traffic::Traffic;
use crate::support::{Deployment, Member, PATIENCE, loopback};

const PROBES_PER_S: f64 = 0.25;
const PROBE_BURST: u64 = 1;
/// Long enough for a node without a budget to spend twice as much.
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

/// What the budget allows within a time.
fn allowed(within: Duration) -> u64 {
    PROBE_BURST + (PROBES_PER_S * within.as_secs_f64()) as u64
}

/// One node in front of one target.
struct LoneNode {
    platform: PlatformStandin,
    fleet: Fleet,
    started_at: Instant,
}

const VM: &str = "cashier-1";

impl LoneNode {
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

    /// Waits for the end of the window that began with the node.
    async fn watch_window(&self) {
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

/// A stand-in in one mood, without calls.
async fn probes_with_behaviour(what: &str, behaviour: Behaviour) -> Result<()> {
    let target = TargetStandin::start(TargetConfig {
        behaviour,
        ..TargetConfig::default()
    })
    .await?;
    let node = LoneNode::start(target.addr(), Vec::new()).await?;
    node.watch_window().await;
    let counts = target.counts();
    node.assert_within(counts.health_probes + counts.load_probes, what);
    Ok(())
}

#[tokio::test]
async fn a_silent_or_draining_or_ill_target_is_asked_no_more_than_the_budget_says() -> Result<()> {
    // No calls come, so that only probes can tell how the target is. It is
    // well, drains, says that it is ill, or fails each request; the node would
    // like to look four times a second and may look once in four.
    let idle = probes_with_behaviour("idle", Behaviour::default());
    let draining = probes_with_behaviour(
        "draining",
        Behaviour {
            draining: true,
            ..Behaviour::default()
        },
    );
    let ill = probes_with_behaviour(
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
    tokio::try_join!(idle, draining, ill, failing).map(drop)
}

/// Counts every connection, which is the least that a probe costs.
async fn probes_by_connection(conduct: Conduct) -> Result<()> {
    let target = ProbeCounter::start(conduct).await?;
    let node = LoneNode::start(target.addr(), Vec::new()).await?;
    node.watch_window().await;
    node.assert_within(target.connections(), &format!("{conduct:?}"));
    Ok(())
}

#[tokio::test]
async fn a_target_that_times_out_or_flaps_is_asked_no_more_than_the_budget_says() -> Result<()> {
    // The target never answers, or hangs up on the question, or closes each
    // connection at once. A probe that failed costs the same token as any
    // other, and none is repeated for it.
    tokio::try_join!(
        probes_by_connection(Conduct::Silent),
        probes_by_connection(Conduct::HangUp),
        probes_by_connection(Conduct::Flap),
    )
    .map(drop)
}

#[tokio::test]
async fn a_target_that_vanishes_and_returns_is_asked_no_more_than_the_budget_says() -> Result<()> {
    // The target's port closes and opens again every few hundred milliseconds,
    // and edits of the text come in between. Neither its return nor a new
    // policy fills the bucket anew.
    let target = TargetStandin::start(TargetConfig::default()).await?;
    let node = LoneNode::start(target.addr(), Vec::new()).await?;
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
async fn runs_that_break_add_no_probes_beyond_the_budget() -> Result<()> {
    // The target cuts the connection of each run, and callers go on calling.
    // It is asked for its health no more often for that, and whether it still
    // listens is asked by connections that the next calls use.
    let target = ProbeCounter::start(Conduct::BreakRuns).await?;
    let node = LoneNode::start(target.addr(), Vec::new()).await?;
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
    // One may be kept for the next call when the window ends.
    let bare = target.connections().saturating_sub(target.calls() + 1);
    println!(
        "{calls} calls, {} broken runs, {bare} connections for neither a call nor the next",
        target.calls()
    );
    assert!(bare <= target.probes(), "{bare} connections without a call");
    Ok(())
}

#[tokio::test]
async fn calls_bring_the_news_so_that_a_busy_target_costs_no_probes() -> Result<()> {
    // Three nodes, callers at all of them. Load and health ride on answers;
    // each target is measured by its own gate alone, however many call it.
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

/// A listed gate of which nothing is ever heard; it counts probes.
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

    /// Probes among what has come, and the other datagrams.
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
async fn gates_that_are_never_heard_are_probed_no_more_than_the_budget_says() -> Result<()> {
    // The list names four gates that are gone without a word. Callers use the
    // service, so the entry would like to know how they are, and asks again
    // and again; all of them together are asked within one budget.
    let target = TargetStandin::start(TargetConfig::default()).await?;
    let mut gates = Vec::new();
    let mut listed = Vec::new();
    for number in 0..4 {
        let gate = SilentGate::bind()?;
        listed.push(gate.listed(number)?);
        gates.push(gate);
    }
    let node = LoneNode::start(target.addr(), listed).await?;
    let caller = Caller::new();
    let (mut number, mut probes, mut others) = (0, 0, 0);
    // The window begins with the first probe. How soon that comes depends on how
    // fast the node starts and its calls are answered.
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
        ensure!(node.started_at.elapsed() < PATIENCE, "no probe came");
    }
    println!("four silent gates: {probes} probes, {others} other datagrams, {number} calls");
    node.assert_within(probes, "silent gates");
    Ok(())
}
