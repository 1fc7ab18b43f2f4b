//! A target that is leaving gets no new work after a few seconds.
//!
//! Three words can say that it leaves: its own (a header, or its health), the
//! platform's VM list, and its node's end. Each is brought about under load;
//! the time to the start of the last run at the target is taken from the
//! target's journal.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use eyre::{Result, eyre};
use hornbeamhitch_standins::clock::wall_clock;
use hornbeamhitch_standins::fleet::Fleet;
use hornbeamhitch_standins::http_client::WholeAnswer;
use hornbeamhitch_standins::platform::VmState;
use hornbeamhitch_standins::target::{TargetStandin, headers};
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_wire::header;

use crate::support::caller::{Call, Caller, code_of};
use crate::support::far_entry::FarEntry;
use crate::support::pause::pause_in;
use crate::support::payment::{Payment, Sending};
use crate::support::traffic::Traffic;
use crate::support::{Deployment, Member, PATIENCE};

const TEXT: &str = r#"{
  "deployment": "test",
  "services": {
    "cashier": {
      "slots": 12,
      "deadline_ms": 5000,
      // A drain's end is seen soon; the budget itself is proved elsewhere.
      "budgets": { "probes_per_s": 20, "probe_burst": 5, "hedge_share": 0 },
      "calls": [
        { "name": "charge", "match": "POST /charge", "idempotent": false, "class": "payment" },
        { "name": "price", "match": "GET /price", "idempotent": true },
      ],
    },
    // The service of entries that are nobody's gate.
    "desk": { "depends_on": ["cashier"] },
  },
}"#;

const LEAVER: &str = "cashier-3";
const DESK: &str = "desk-1";
const CALLERS: usize = 6;
/// "After a few seconds", generously.
const FEW_SECONDS: Millis = Millis::from_secs(5);
/// A target without a new run for this long, while others run, gets none.
const QUIET: Millis = Millis(1_500);
/// Runs at the other targets in that time.
const RUNS_ELSEWHERE: usize = 100;
const EXIT: Duration = Duration::from_secs(20);
/// How often the gate announces that it leaves.
const ANNOUNCEMENTS: u64 = 3;
/// More bytes than the kernel keeps for a socket whose reader is asleep.
const FLOOD_DATAGRAMS: usize = 1_000;
const FLOOD_BYTES: usize = 1_000;

fn cashiers() -> Vec<Member> {
    let mut members = Vec::new();
    for (number, data_centre) in [(1, "a"), (2, "b"), (3, "c")] {
        let member = Member::new(&format!("cashier-{number}"), "cashier");
        members.push(member.in_data_centre(data_centre));
    }
    members
}

async fn start() -> Result<Deployment> {
    Deployment::start(TEXT, cashiers()).await
}

/// With an entry that is as far from each cashier.
async fn start_with_desk() -> Result<Deployment> {
    let mut members = cashiers();
    members.push(Member::new(DESK, "desk").in_data_centre("d"));
    Deployment::start(TEXT, members).await
}

/// Traffic through the nodes that stay.
async fn start_traffic(deployment: &Deployment) -> Result<Traffic> {
    let entries = [deployment.entry("cashier-1"), deployment.entry("cashier-2")];
    let began_at = wall_clock();
    let traffic = Traffic::start(&entries, CALLERS);
    let all_run = |deployment: &Deployment| {
        let mut targets = deployment.targets.values();
        targets.all(|target| starts_since(target, began_at) >= 20)
    };
    deployment
        .wait_until("every target runs calls", all_run)
        .await?;
    Ok(traffic)
}

fn last_start(deployment: &Deployment, vm: &str) -> Millis {
    let runs = deployment.target(vm).all_runs();
    let last = runs.iter().map(|run| run.started_at_ms).max();
    last.unwrap_or_default()
}

fn starts_elsewhere(deployment: &Deployment, since: Millis) -> usize {
    let mut count = 0;
    for (vm, target) in &deployment.targets {
        if vm == LEAVER {
            continue;
        }
        count += starts_since(target, since);
    }
    count
}

fn starts_since(target: &TargetStandin, since: Millis) -> usize {
    let runs = target.all_runs();
    runs.iter().filter(|run| run.started_at_ms > since).count()
}

/// Waits until the leaver gets nothing while others do, ends the traffic and
/// gives the time from the event to the last start of a run.
async fn time_to_last_start(
    deployment: &Deployment,
    traffic: Traffic,
    event_at: Millis,
    how: &str,
) -> Result<Millis> {
    let is_quiet = |deployment: &Deployment| {
        let last = last_start(deployment, LEAVER).max(event_at);
        let is_long = wall_clock().since(last) >= QUIET;
        is_long && starts_elsewhere(deployment, last) >= RUNS_ELSEWHERE
    };
    deployment
        .wait_until("the leaver gets no more", is_quiet)
        .await?;
    let served = traffic.stop().await?;
    assert!(served.failures.is_empty(), "{how}: {:#?}", served.failures);
    let took = last_start(deployment, LEAVER).since(event_at);
    println!(
        "leaving by {how}: last new run {took} after the event; {} calls answered, {} refusals on the way",
        served.answered, served.refusals
    );
    assert!(
        took <= FEW_SECONDS,
        "{how}: a run began {took} after the event"
    );
    Ok(took)
}

async fn wait_leaving(deployment: &Deployment, leaving: bool) -> Result<()> {
    let turned = deployment.wait_status(LEAVER, "leaves, or no longer", |status| {
        status.leaving == leaving
    });
    turned.await.map(drop)
}

#[tokio::test]
async fn a_target_that_drains_gets_no_new_work_and_comes_back_after_it() -> Result<()> {
    // Callers see nothing: all their calls are answered by the other targets.
    // The target puts `draining` on an answer; its gate refuses from that
    // moment and tells those that lately sent to it. When the drain ends, the
    // health endpoint says so, and the target gets its share again.
    let deployment = start().await?;
    let traffic = start_traffic(&deployment).await?;
    let event_at = wall_clock();
    deployment
        .target(LEAVER)
        .change_behaviour(|behaviour| behaviour.draining = true);
    time_to_last_start(&deployment, traffic, event_at, "the target's drain").await?;

    deployment
        .target(LEAVER)
        .change_behaviour(|behaviour| behaviour.draining = false);
    let ended_at = wall_clock();
    wait_leaving(&deployment, false).await?;
    println!(
        "a drain's end is seen after {}",
        wall_clock().since(ended_at)
    );
    let before = deployment.target(LEAVER).all_runs().len();
    let traffic = Traffic::start(&[deployment.entry("cashier-1")], CALLERS);
    let is_back =
        |deployment: &Deployment| deployment.target(LEAVER).all_runs().len() >= before + 20;
    deployment.wait_until("it gets work again", is_back).await?;
    let served = traffic.stop().await?;
    assert!(served.failures.is_empty(), "{:#?}", served.failures);
    Ok(())
}

#[tokio::test]
async fn a_target_that_drains_while_idle_is_known_by_its_health_alone() -> Result<()> {
    // No call is under way that could carry the word. The target says `503`
    // and `draining` at its health endpoint, which its gate asks of a silent
    // target; the first calls after that find the gate refusing, and the
    // target runs none of them.
    let deployment = start().await?;
    deployment
        .target(LEAVER)
        .change_behaviour(|behaviour| behaviour.draining = true);
    let event_at = wall_clock();
    wait_leaving(&deployment, true).await?;
    println!(
        "an idle target's drain is seen after {}",
        wall_clock().since(event_at)
    );
    let traffic = Traffic::start(&[deployment.entry("cashier-1")], CALLERS);
    traffic.wait_answered(150).await?;
    let served = traffic.stop().await?;
    assert!(served.failures.is_empty(), "{:#?}", served.failures);
    assert_eq!(deployment.target(LEAVER).all_runs().len(), 0);

    deployment
        .target(LEAVER)
        .change_behaviour(|behaviour| behaviour.draining = false);
    wait_leaving(&deployment, false).await
}

#[tokio::test]
async fn a_vm_that_the_list_calls_leaving_gets_no_new_work() -> Result<()> {
    // Callers see nothing. The platform's list turns the VM to `leaving`; a
    // reader of each data centre sees it and passes it on, node to node. The
    // process itself is not told to end, and goes on with what it has.
    let deployment = start().await?;
    let traffic = start_traffic(&deployment).await?;
    let event_at = wall_clock();
    deployment.platform.set_vm_state(LEAVER, VmState::Leaving)?;
    time_to_last_start(&deployment, traffic, event_at, "the VM list").await?;
    Ok(())
}

#[tokio::test]
async fn a_node_that_is_told_to_end_gets_no_new_work_while_the_list_lags() -> Result<()> {
    // Callers see nothing. The node gets SIGTERM and says so itself; the list,
    // a minute late, calls it live all the while, also when it has long ended.
    let mut deployment = start().await?;
    deployment.platform.lag_vm_list(60_000).await;
    deployment.platform.set_vm_state(LEAVER, VmState::Leaving)?;
    let traffic = start_traffic(&deployment).await?;
    let event_at = wall_clock();
    deployment.fleet.terminate(LEAVER)?;
    time_to_last_start(&deployment, traffic, event_at, "SIGTERM, a lagging list").await?;
    let status = deployment.fleet.wait_exit(LEAVER, EXIT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn leaving_is_known_while_the_platform_is_down_or_stale() -> Result<()> {
    // Callers see nothing. One target drains while the platform serves what
    // it had before; then, with the platform's port closed, the node of
    // another gets SIGTERM. Both words go from node to node.
    let mut deployment = start().await?;
    deployment.platform.stale().await;
    let traffic = start_traffic(&deployment).await?;
    let event_at = wall_clock();
    deployment
        .target(LEAVER)
        .change_behaviour(|behaviour| behaviour.draining = true);
    time_to_last_start(&deployment, traffic, event_at, "drain, platform stale").await?;
    deployment
        .target(LEAVER)
        .change_behaviour(|behaviour| behaviour.draining = false);
    wait_leaving(&deployment, false).await?;

    deployment.platform.down().await;
    let traffic = start_traffic(&deployment).await?;
    let event_at = wall_clock();
    deployment.fleet.terminate(LEAVER)?;
    time_to_last_start(&deployment, traffic, event_at, "SIGTERM, platform down").await?;
    let status = deployment.fleet.wait_exit(LEAVER, EXIT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

/// Sends lookups and payments through an entry, one after the other, and fails
/// when one of them is not answered.
async fn send_some(entry: SocketAddr, name: &str) -> Result<()> {
    for number in 0..30 {
        let call = Call::price(&format!("{name}-{number}"));
        let answer = Caller::new().send(entry, &call).await?;
        assert_eq!(code_of(&answer), Some(ResultCode::Answered), "{name}");
        assert!(call.is_answered_by(&answer), "{name}");
    }
    for number in 0..10 {
        let call = Call::charge(&format!("{name}-pay-{number}"));
        let answer = pay(entry, call).await?;
        assert_eq!(code_of(&answer), Some(ResultCode::Answered), "{name}");
    }
    Ok(())
}

/// Pays with a new ticket after each certain "not run".
async fn pay(entry: SocketAddr, call: Call) -> Result<WholeAnswer> {
    let mut last = None;
    for _ in 0..5 {
        let payment = Payment::ticketed(entry, call.clone()).await?;
        let answer = payment.settle(entry).await?;
        let code = code_of(&answer);
        last = Some(answer);
        if code.map(ResultCode::certainty) != Some(Certainty::NotRun) {
            break;
        }
    }
    last.ok_or_else(|| eyre!("nothing was sent"))
}

/// The target that an entry sends most to.
fn favourite(deployment: &Deployment) -> String {
    let mut cashiers = deployment.targets.iter();
    let first = cashiers.next().expect("there are targets");
    let mut best = (first.1.all_runs().len(), first.0);
    for (vm, target) in cashiers {
        best = best.max((target.all_runs().len(), vm));
    }
    best.1.clone()
}

/// A way of leaving.
#[derive(Clone, Copy, Debug)]
enum Way {
    Drain,
    List,
    Terminate,
}

impl Way {
    async fn begin(self, deployment: &mut Deployment, vm: &str) -> Result<()> {
        match self {
            Self::Drain => deployment
                .target(vm)
                .change_behaviour(|behaviour| behaviour.draining = true),
            Self::List => drop(deployment.platform.set_vm_state(vm, VmState::Leaving)?),
            Self::Terminate => deployment.fleet.terminate(vm)?,
        }
        let leaves = deployment.wait_status(vm, "leaves", |status| status.leaving);
        leaves.await.map(drop)
    }
}

/// Brings about a leaving of which an entry hears nothing.
///
/// The entry reads a platform of its own, which calls everyone live, and other
/// nodes do not know it; only those to which it sends work announce to it that
/// they leave. It is paused, and its socket full, while they do.
async fn refused_by_the_gate(way: Way) -> Result<()> {
    let mut deployment = start().await?;
    let mut far = FarEntry::with_list(TEXT, deployment.fleet.vm_entries()).await?;
    send_some(far.addr(), "before").await?;
    let leaver = favourite(&deployment);
    let held = hold_open(&deployment, &leaver).await?;

    let far_vm = far.fleet.names().remove(0);
    let control = far.fleet.addresses(&far_vm)?.control;
    let lost_before = deafen(&mut far.fleet, &far_vm).await?;
    way.begin(&mut deployment, &leaver).await?;
    wait_lost(control, lost_before + ANNOUNCEMENTS).await?;
    far.fleet.resume(&far_vm)?;

    let runs = deployment.target(&leaver).all_runs().len();
    let refused = deployment.status(&leaver).await?.gate.refused;
    send_some(far.addr(), "after").await?;
    let after = deployment.target(&leaver).all_runs().len();
    assert_eq!(after, runs, "{way:?}: new runs although the VM leaves");
    let refusals = deployment.status(&leaver).await?.gate.refused - refused;
    println!("{way:?}, announcements lost: {refusals} refusals by the gate");
    assert!(refusals > 0, "{way:?}: the entry sent nothing there");
    held.abort();
    Ok(())
}

/// A call that keeps the leaver's node from ending before the test has.
async fn hold_open(deployment: &Deployment, vm: &str) -> Result<Sending> {
    let entry = deployment.entry(vm);
    let call = Call::price("held")
        .with(headers::SERVICE_US, 60_000_000)
        .with(header::DEADLINE_MS, 60_000);
    let runs = deployment.target(vm).all_runs().len();
    let sending = tokio::spawn(async move { Caller::new().send(entry, &call).await });
    let is_held = |deployment: &Deployment| deployment.target(vm).all_runs().len() > runs;
    deployment.wait_until("the call runs", is_held).await?;
    Ok(sending)
}

#[tokio::test]
async fn the_gate_of_a_draining_target_refuses_who_missed_every_announcement() -> Result<()> {
    // The entry has heard nothing and sends to the leaving gate as before. The
    // gate has the last word: it refuses, "not run", and the entry goes to
    // another one. Callers see only answers, the target no run.
    refused_by_the_gate(Way::Drain).await
}

#[tokio::test]
async fn the_gate_of_a_listed_leaver_refuses_who_missed_every_announcement() -> Result<()> {
    // As above, but only the platform's list says that the VM is leaving, and
    // not the list that the entry reads.
    refused_by_the_gate(Way::List).await
}

#[tokio::test]
async fn the_gate_of_an_ending_node_refuses_who_missed_every_announcement() -> Result<()> {
    // As above, but the node was told to end and has not yet ended.
    refused_by_the_gate(Way::Terminate).await
}

#[tokio::test]
async fn an_entry_that_slept_through_the_announcements_sends_no_run_there() -> Result<()> {
    // The entry is paused, and its socket full, while the target that it
    // prefers begins to drain: every announcement to it is lost. It wakes,
    // still believes the target live, and sends; the gate refuses, the target
    // runs nothing, and callers get their answers from others.
    let mut deployment = start_with_desk().await?;
    let entry = deployment.entry(DESK);
    send_some(entry, "before").await?;
    let leaver = favourite(&deployment);
    let control = deployment.fleet.addresses(DESK)?.control;
    let lost_before = deafen(&mut deployment.fleet, DESK).await?;
    Way::Drain.begin(&mut deployment, &leaver).await?;
    let runs = deployment.target(&leaver).all_runs().len();
    wait_lost(control, lost_before + ANNOUNCEMENTS).await?;
    let refused = deployment.status(&leaver).await?.gate.refused;
    deployment.fleet.resume(DESK)?;
    send_some(entry, "after").await?;
    assert_eq!(deployment.target(&leaver).all_runs().len(), runs);
    let refusals = deployment.status(&leaver).await?.gate.refused - refused;
    println!("an entry that slept: {refusals} refusals by the gate");
    Ok(())
}

/// Pauses a node and sees to it that it hears nothing: every thread has stopped,
/// and its socket is so full that it drops what comes. Returns how many datagrams
/// were dropped by then.
async fn deafen(fleet: &mut Fleet, vm: &str) -> Result<u64> {
    pause_in(fleet, vm).await?;
    let control = fleet.addresses(vm)?.control;
    let lost_while_awake = lost_datagrams(control)?;
    flood(control)?;
    wait_lost(control, lost_while_awake + 1).await?;
    lost_datagrams(control)
}

/// Fills the socket of a paused process, the last gaps with small datagrams.
fn flood(control: SocketAddr) -> Result<()> {
    let socket = UdpSocket::bind(crate::support::loopback())?;
    for size_bytes in [FLOOD_BYTES, 1] {
        for _ in 0..FLOOD_DATAGRAMS {
            socket.send_to(&vec![0; size_bytes], control)?;
        }
    }
    Ok(())
}

/// Datagrams that the kernel dropped because a socket was full.
fn lost_datagrams(control: SocketAddr) -> Result<u64> {
    let table = std::fs::read_to_string("/proc/net/udp")?;
    let port = format!(":{:04X}", control.port());
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        if !fields.get(1).is_some_and(|local| local.ends_with(&port)) {
            continue;
        }
        let lost = fields.last().ok_or_else(|| eyre!("no count of drops"))?;
        return Ok(lost.parse()?);
    }
    Err(eyre!("{control} is no socket of this machine"))
}

async fn wait_lost(control: SocketAddr, lost: u64) -> Result<()> {
    let give_up = std::time::Instant::now() + PATIENCE;
    while lost_datagrams(control)? < lost {
        eyre::ensure!(std::time::Instant::now() < give_up, "nothing was lost");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}
