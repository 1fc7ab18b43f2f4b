//! A target that is leaving gets no new work after a few seconds.
//!
//! There are three causes of leaving: the target reports that it drains (by a
//! header or its health), the platform's VM list says so, or its node terminates.
//! Each test triggers one under load and reads the time until the start of the last
//! run at the target from the target's journal.

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
use crate::support::{Deployment, Member, WAIT_TIMEOUT};

const TEXT: &str = r#"{
  "deployment": "test",
  "services": {
    "cashier": {
      "slots": 12,
      "deadline_ms": 5000,
      // A high probe rate, to detect the end of a drain soon. Other tests check
      // the budget itself.
      "budgets": { "probes_per_s": 20, "probe_burst": 5, "hedge_share": 0 },
      "calls": [
        { "name": "charge", "match": "POST /charge", "idempotent": false, "class": "payment" },
        { "name": "price", "match": "GET /price", "idempotent": true },
      ],
    },
    // Nodes of this service are entries that serve no call as gates.
    "desk": { "depends_on": ["cashier"] },
  },
}"#;

const LEAVING_VM: &str = "cashier-3";
const DESK: &str = "desk-1";
const CALLERS: usize = 6;
/// Longest allowed time until the last new run. It leaves room for a busy machine.
const MAX_DELAY: Millis = Millis::from_secs(5);
/// A target that starts no run for this long, while others do, gets no more work.
const QUIET_PERIOD: Millis = Millis(1_500);
/// Least number of runs at the other targets in that time.
const RUNS_ELSEWHERE: usize = 100;
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of times that a gate announces to an entry that it is leaving.
const ANNOUNCEMENTS: u64 = 3;
/// Number of datagrams that exceeds the receive buffer of a paused process.
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

/// Starts the deployment with an entry at the same distance from each cashier.
async fn start_with_desk() -> Result<Deployment> {
    let mut members = cashiers();
    members.push(Member::new(DESK, "desk").in_data_centre("d"));
    Deployment::start(TEXT, members).await
}

/// Starts traffic through the nodes that keep running, and waits until every target
/// runs calls.
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
        if vm == LEAVING_VM {
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

/// Waits until the leaving target gets no more work while others do, and stops the
/// traffic. Returns the time from the event to the last start of a run.
async fn time_to_last_start(
    deployment: &Deployment,
    traffic: Traffic,
    event_at: Millis,
    how: &str,
) -> Result<Millis> {
    let is_quiet = |deployment: &Deployment| {
        let last = last_start(deployment, LEAVING_VM).max(event_at);
        let is_long = wall_clock().since(last) >= QUIET_PERIOD;
        is_long && starts_elsewhere(deployment, last) >= RUNS_ELSEWHERE
    };
    deployment
        .wait_until("the leaving target gets no more work", is_quiet)
        .await?;
    let served = traffic.stop().await?;
    assert!(served.failures.is_empty(), "{how}: {:#?}", served.failures);
    let took = last_start(deployment, LEAVING_VM).since(event_at);
    println!(
        "leaving by {how}: last new run {took} after the event; {} calls answered, {} refusals on the way",
        served.answered, served.refusals
    );
    assert!(
        took <= MAX_DELAY,
        "{how}: a run began {took} after the event"
    );
    Ok(took)
}

async fn wait_leaving(deployment: &Deployment, leaving: bool) -> Result<()> {
    let reached =
        deployment.wait_status(LEAVING_VM, "reports the expected leaving state", |status| {
            status.leaving == leaving
        });
    reached.await.map(drop)
}

#[tokio::test]
async fn a_draining_target_gets_no_new_work_until_the_drain_ends() -> Result<()> {
    // Callers notice nothing: the other targets answer all their calls. The target
    // sets `draining` on an answer; from then on its gate rejects calls and notifies
    // the entries that recently sent to it. The health endpoint reports the end of
    // the drain, and the target gets its share of the calls again.
    let deployment = start().await?;
    let traffic = start_traffic(&deployment).await?;
    let event_at = wall_clock();
    deployment
        .target(LEAVING_VM)
        .change_behaviour(|behaviour| behaviour.draining = true);
    time_to_last_start(&deployment, traffic, event_at, "the target's drain").await?;

    deployment
        .target(LEAVING_VM)
        .change_behaviour(|behaviour| behaviour.draining = false);
    let ended_at = wall_clock();
    wait_leaving(&deployment, false).await?;
    println!(
        "a drain's end is seen after {}",
        wall_clock().since(ended_at)
    );
    let before = deployment.target(LEAVING_VM).all_runs().len();
    let traffic = Traffic::start(&[deployment.entry("cashier-1")], CALLERS);
    let is_back =
        |deployment: &Deployment| deployment.target(LEAVING_VM).all_runs().len() >= before + 20;
    deployment
        .wait_until("the target gets work again", is_back)
        .await?;
    let served = traffic.stop().await?;
    assert!(served.failures.is_empty(), "{:#?}", served.failures);
    Ok(())
}

#[tokio::test]
async fn an_idle_draining_target_is_detected_by_its_health() -> Result<()> {
    // No call is in flight whose answer could report the drain. The target answers
    // `503` and `draining` at its health endpoint, which its gate polls while the
    // target is idle. The gate rejects the first calls after that, and the target
    // runs none of them.
    let deployment = start().await?;
    deployment
        .target(LEAVING_VM)
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
    assert_eq!(deployment.target(LEAVING_VM).all_runs().len(), 0);

    deployment
        .target(LEAVING_VM)
        .change_behaviour(|behaviour| behaviour.draining = false);
    wait_leaving(&deployment, false).await
}

#[tokio::test]
async fn a_vm_listed_as_leaving_gets_no_new_work() -> Result<()> {
    // Callers notice nothing. The platform's list changes the VM to `leaving`. A
    // reader in each data centre reads it and passes it on to the other nodes. The
    // node's process gets no signal and finishes its work.
    let deployment = start().await?;
    let traffic = start_traffic(&deployment).await?;
    let event_at = wall_clock();
    deployment
        .platform
        .set_vm_state(LEAVING_VM, VmState::Leaving)?;
    time_to_last_start(&deployment, traffic, event_at, "the VM list").await?;
    Ok(())
}

#[tokio::test]
async fn a_terminated_node_gets_no_new_work_while_the_list_lags() -> Result<()> {
    // Callers notice nothing. The node gets SIGTERM and announces that it is leaving.
    // The list lags by a minute and has the VM as live, even after the node exited.
    let mut deployment = start().await?;
    deployment.platform.lag_vm_list(60_000).await;
    deployment
        .platform
        .set_vm_state(LEAVING_VM, VmState::Leaving)?;
    let traffic = start_traffic(&deployment).await?;
    let event_at = wall_clock();
    deployment.fleet.terminate(LEAVING_VM)?;
    time_to_last_start(&deployment, traffic, event_at, "SIGTERM, a lagging list").await?;
    let status = deployment.fleet.wait_exit(LEAVING_VM, EXIT_TIMEOUT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn leaving_is_announced_while_the_platform_is_down_or_stale() -> Result<()> {
    // Callers notice nothing. First a target drains while the platform serves stale
    // values; then, while the platform's port is closed, its node gets SIGTERM. Both
    // times the nodes inform one another.
    let mut deployment = start().await?;
    deployment.platform.stale().await;
    let traffic = start_traffic(&deployment).await?;
    let event_at = wall_clock();
    deployment
        .target(LEAVING_VM)
        .change_behaviour(|behaviour| behaviour.draining = true);
    time_to_last_start(&deployment, traffic, event_at, "drain, platform stale").await?;
    deployment
        .target(LEAVING_VM)
        .change_behaviour(|behaviour| behaviour.draining = false);
    wait_leaving(&deployment, false).await?;

    deployment.platform.down().await;
    let traffic = start_traffic(&deployment).await?;
    let event_at = wall_clock();
    deployment.fleet.terminate(LEAVING_VM)?;
    time_to_last_start(&deployment, traffic, event_at, "SIGTERM, platform down").await?;
    let status = deployment.fleet.wait_exit(LEAVING_VM, EXIT_TIMEOUT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

/// Sends lookups and payments through an entry, one at a time, and fails if one of
/// them is not answered.
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

/// Sends a payment, and again with a new ticket after each answer "not run".
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

/// VM of the target with the most runs.
fn most_used_target(deployment: &Deployment) -> String {
    let mut cashiers = deployment.targets.iter();
    let first = cashiers.next().expect("there are targets");
    let mut best = (first.1.all_runs().len(), first.0);
    for (vm, target) in cashiers {
        best = best.max((target.all_runs().len(), vm));
    }
    best.1.clone()
}

/// Cause by which a VM leaves.
#[derive(Clone, Copy, Debug)]
enum LeavingCause {
    Drain,
    List,
    Terminate,
}

impl LeavingCause {
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

/// Makes a VM leave without the knowledge of an entry, and checks that the gate
/// rejects the entry's calls.
///
/// The entry reads its own platform, which lists every VM as live, and other nodes do
/// not know it. Only gates to which it sends work announce to it that they are
/// leaving, and it is paused with a full socket while they do.
async fn check_refusal_by_the_gate(cause: LeavingCause) -> Result<()> {
    let mut deployment = start().await?;
    let mut far = FarEntry::with_list(TEXT, deployment.fleet.vm_entries()).await?;
    send_some(far.addr(), "before").await?;
    let leaving_vm = most_used_target(&deployment);
    let long_call = begin_long_call(&deployment, &leaving_vm).await?;

    let far_vm = far.fleet.names().remove(0);
    let control = far.fleet.addresses(&far_vm)?.control;
    let dropped_before = pause_with_full_socket(&mut far.fleet, &far_vm).await?;
    cause.begin(&mut deployment, &leaving_vm).await?;
    wait_dropped(control, dropped_before + ANNOUNCEMENTS).await?;
    far.fleet.resume(&far_vm)?;

    let runs = deployment.target(&leaving_vm).all_runs().len();
    let refused = deployment.status(&leaving_vm).await?.gate.refused;
    send_some(far.addr(), "after").await?;
    let after = deployment.target(&leaving_vm).all_runs().len();
    assert_eq!(after, runs, "{cause:?}: new runs although the VM leaves");
    let refusals = deployment.status(&leaving_vm).await?.gate.refused - refused;
    println!("{cause:?}, announcements lost: {refusals} refusals by the gate");
    assert!(refusals > 0, "{cause:?}: the entry sent nothing there");
    long_call.abort();
    Ok(())
}

/// Starts a call that keeps the leaving node running until the test ends.
async fn begin_long_call(deployment: &Deployment, vm: &str) -> Result<Sending> {
    let entry = deployment.entry(vm);
    let call = Call::price("held")
        .with(headers::SERVICE_US, 60_000_000)
        .with(header::DEADLINE_MS, 60_000);
    let runs = deployment.target(vm).all_runs().len();
    let sending = tokio::spawn(async move { Caller::new().send(entry, &call).await });
    let has_started = |deployment: &Deployment| deployment.target(vm).all_runs().len() > runs;
    deployment.wait_until("the call runs", has_started).await?;
    Ok(sending)
}

#[tokio::test]
async fn a_draining_gate_rejects_entries_that_missed_every_announcement() -> Result<()> {
    // The entry got no announcement and sends to the leaving gate as before. The gate
    // rejects the call as "not run", and the entry retries at another gate. Every call
    // is answered, and the leaving target runs none.
    check_refusal_by_the_gate(LeavingCause::Drain).await
}

#[tokio::test]
async fn a_gate_listed_as_leaving_rejects_entries_that_missed_every_announcement() -> Result<()> {
    // As above, but only the platform's list has the VM as leaving, and the entry
    // reads another list.
    check_refusal_by_the_gate(LeavingCause::List).await
}

#[tokio::test]
async fn a_terminating_gate_rejects_entries_that_missed_every_announcement() -> Result<()> {
    // As above, but the node got SIGTERM and has not exited yet.
    check_refusal_by_the_gate(LeavingCause::Terminate).await
}

#[tokio::test]
async fn an_entry_paused_during_the_announcements_causes_no_run_there() -> Result<()> {
    // The entry is paused with a full socket while the target that it uses most
    // begins to drain, so every announcement to it is lost. It resumes, still takes
    // the target for live and sends calls; the gate rejects them, the target runs
    // nothing, and other targets answer the callers.
    let mut deployment = start_with_desk().await?;
    let entry = deployment.entry(DESK);
    send_some(entry, "before").await?;
    let leaving_vm = most_used_target(&deployment);
    let control = deployment.fleet.addresses(DESK)?.control;
    let dropped_before = pause_with_full_socket(&mut deployment.fleet, DESK).await?;
    LeavingCause::Drain
        .begin(&mut deployment, &leaving_vm)
        .await?;
    let runs = deployment.target(&leaving_vm).all_runs().len();
    wait_dropped(control, dropped_before + ANNOUNCEMENTS).await?;
    let refused = deployment.status(&leaving_vm).await?.gate.refused;
    deployment.fleet.resume(DESK)?;
    send_some(entry, "after").await?;
    assert_eq!(deployment.target(&leaving_vm).all_runs().len(), runs);
    let refusals = deployment.status(&leaving_vm).await?.gate.refused - refused;
    println!("paused entry: {refusals} refusals by the gate");
    Ok(())
}

/// Pauses a node and fills its control socket. When this returns, every thread has
/// stopped, and the kernel drops further datagrams. Returns the number of datagrams
/// dropped so far.
async fn pause_with_full_socket(fleet: &mut Fleet, vm: &str) -> Result<u64> {
    pause_in(fleet, vm).await?;
    let control = fleet.addresses(vm)?.control;
    let dropped_while_running = dropped_datagrams(control)?;
    fill_socket(control)?;
    wait_dropped(control, dropped_while_running + 1).await?;
    dropped_datagrams(control)
}

/// Fills the socket of a paused process: first with large datagrams, then the rest
/// of the buffer with small ones.
fn fill_socket(control: SocketAddr) -> Result<()> {
    let socket = UdpSocket::bind(crate::support::loopback())?;
    for size_bytes in [FLOOD_BYTES, 1] {
        for _ in 0..FLOOD_DATAGRAMS {
            socket.send_to(&vec![0; size_bytes], control)?;
        }
    }
    Ok(())
}

/// Number of datagrams that the kernel dropped because a socket was full.
fn dropped_datagrams(control: SocketAddr) -> Result<u64> {
    let table = std::fs::read_to_string("/proc/net/udp")?;
    let port = format!(":{:04X}", control.port());
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        if !fields.get(1).is_some_and(|local| local.ends_with(&port)) {
            continue;
        }
        let dropped = fields.last().ok_or_else(|| eyre!("no count of drops"))?;
        return Ok(dropped.parse()?);
    }
    Err(eyre!("{control} is not a socket of this machine"))
}

async fn wait_dropped(control: SocketAddr, dropped: u64) -> Result<()> {
    let give_up = std::time::Instant::now() + WAIT_TIMEOUT;
    while dropped_datagrams(control)? < dropped {
        eyre::ensure!(
            std::time::Instant::now() < give_up,
            "too few datagrams were dropped"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}
