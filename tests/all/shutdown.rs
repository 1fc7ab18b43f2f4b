//! A graceful shutdown of any part cuts off nothing.
//!
//! Calls are in flight when SIGTERM comes, and outlast the time for which the
//! node still listens: slow lookups, payments under tickets, a large answer
//! that its caller reads slowly, and a run that calls on.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use eyre::{Result, ensure, eyre};
use hornbeamhitch_standins::clock::wall_clock;
use hornbeamhitch_standins::demo::bangkok;
use hornbeamhitch_standins::fleet::{Fleet, FleetConfig, NodeSpec};
use hornbeamhitch_standins::load::{self, LoadOutcome, LoadPlan};
use hornbeamhitch_standins::platform::PlatformStandin;
use hornbeamhitch_standins::target::{RunEnd, RunRecord, TargetConfig, TargetStandin, headers};
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_wire::header;
use tokio::task::JoinHandle;

use crate::support::caller::{Call, Caller, certainty_of, code_of};
use crate::support::payment::{Payment, Sending};
use crate::support::slow_answer::SlowAnswer;
use crate::support::traffic::Traffic;
use crate::support::{Deployment, Member, loopback};

const TEXT: &str = r#"{
  "deployment": "test",
  "services": {
    "cashier": {
      "slots": 20,
      "deadline_ms": 20000,
      "budgets": { "probes_per_s": 20, "probe_burst": 5, "hedge_share": 0 },
      "calls": [
        { "name": "charge", "match": "POST /charge", "idempotent": false, "class": "payment" },
        { "name": "price", "match": "GET /price", "idempotent": true },
      ],
    },
    // Its node is the entry.
    "desk": { "depends_on": ["cashier"] },
  },
}"#;

const ENTRY: &str = "desk-1";
const GATE: &str = "cashier-1";
/// Longer than a leaving node listens.
const RUN_US: u64 = 2_200_000;
/// Far more than sockets and windows hold on the way.
const LARGE_BYTES: usize = 48 * 1024 * 1024;
const EXIT: Duration = Duration::from_secs(25);

fn member(vm: &str, service: &str) -> Member {
    Member::new(vm, service).with(|target| target.slots = 20)
}

/// Calls under way.
struct InFlight {
    sends: Vec<(Call, Sending)>,
    large: SlowAnswer,
}

impl InFlight {
    /// Begins three slow lookups, three slow payments and a large answer, and
    /// waits until all of them run.
    async fn begin(deployment: &Deployment, entry: SocketAddr) -> Result<Self> {
        let large = Call::price("large").with(headers::ANSWER_BYTES, LARGE_BYTES);
        let large = SlowAnswer::begin(entry, &large).await?;
        let mut sends = Vec::new();
        for number in 0..3 {
            let call = Call::price(&format!("slow-{number}"));
            let call = call.with(headers::SERVICE_US, RUN_US);
            sends.push((call.clone(), begin(entry, call)));
        }
        for number in 0..3 {
            let call = Call::charge(&format!("pay-{number}"));
            let call = call.with(headers::SERVICE_US, RUN_US);
            let payment = Payment::ticketed(entry, call.clone()).await?;
            sends.push((call, payment.begin(entry)));
        }
        let in_flight = Self { sends, large };
        in_flight.wait_started(deployment).await?;
        Ok(in_flight)
    }

    async fn wait_started(&self, deployment: &Deployment) -> Result<()> {
        let all_run = |deployment: &Deployment| {
            let mut calls = self.sends.iter();
            calls.all(|(call, _)| !deployment.runs_of(&call.nonce).is_empty())
        };
        deployment.wait_until("all calls run", all_run).await
    }

    /// Fails unless each call gets its own whole answer.
    async fn all_answered(self, deployment: &Deployment, event_at: Millis) -> Result<()> {
        for (call, sending) in self.sends {
            let answer = sending.await?;
            let answer = answer.map_err(|fault| eyre!("{}: {fault}", call.nonce))?;
            assert_eq!(
                code_of(&answer),
                Some(ResultCode::Answered),
                "{}",
                call.nonce
            );
            assert!(call.is_answered_by(&answer), "{}", call.nonce);
            let runs = deployment.runs_of(&call.nonce);
            let [run] = &runs[..] else {
                panic!("{} ran {} times", call.nonce, runs.len());
            };
            let outlasted = run.ended_at_ms.is_some_and(|at| at > event_at);
            assert!(outlasted, "{} was in flight at the event", call.nonce);
        }
        assert!(self.large.is_partial(), "the large answer was under way");
        self.large.finish().await
    }
}

fn begin(entry: SocketAddr, call: Call) -> Sending {
    tokio::spawn(async move { Caller::new().send(entry, &call).await })
}

async fn wait_leaving(deployment: &Deployment, vm: &str) -> Result<()> {
    let leaves = deployment.wait_status(vm, "leaves", |status| status.leaving);
    leaves.await.map(drop)
}

#[tokio::test]
async fn calls_in_flight_at_an_entry_that_ends_are_answered_whole() -> Result<()> {
    // Callers hold connections to the entry when it gets SIGTERM. It goes on
    // to serve them, ends each connection after its answer, takes no more
    // connections, and ends with status 0 once the last byte is out.
    let members = vec![member(ENTRY, "desk"), member(GATE, "cashier")];
    let mut deployment = Deployment::start(TEXT, members).await?;
    let entry = deployment.entry(ENTRY);
    let in_flight = InFlight::begin(&deployment, entry).await?;
    let event_at = wall_clock();
    deployment.fleet.terminate(ENTRY)?;
    wait_leaving(&deployment, ENTRY).await?;
    let late = Call::price("while-leaving");
    let answer = Caller::new().send(entry, &late).await?;
    assert!(late.is_answered_by(&answer), "a leaving entry still serves");
    in_flight.all_answered(&deployment, event_at).await?;
    let status = deployment.fleet.wait_exit(ENTRY, EXIT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn calls_in_flight_at_a_gate_that_ends_are_answered_whole() -> Result<()> {
    // The only gate of the service gets SIGTERM. What it has let in runs to
    // its end and is answered whole through the entry; a new call is told
    // that it did not run.
    let members = vec![member(ENTRY, "desk"), member(GATE, "cashier")];
    let mut deployment = Deployment::start(TEXT, members).await?;
    let entry = deployment.entry(ENTRY);
    let in_flight = InFlight::begin(&deployment, entry).await?;
    let event_at = wall_clock();
    deployment.fleet.terminate(GATE)?;
    wait_leaving(&deployment, GATE).await?;
    let late = Call::price("while-leaving").with(header::DEADLINE_MS, 500);
    let answer = Caller::new().send(entry, &late).await?;
    assert_eq!(certainty_of(&answer), Certainty::NotRun);
    assert!(deployment.runs_of(&late.nonce).is_empty());
    in_flight.all_answered(&deployment, event_at).await?;
    let status = deployment.fleet.wait_exit(GATE, EXIT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn a_run_that_calls_on_late_is_answered_although_its_node_ends() -> Result<()> {
    // A payment has run for two seconds when its target calls on through its
    // own node, which has been leaving all the while. The node must still
    // take that call in, or the payment, already half done, fails at its end.
    let members = vec![
        member(ENTRY, "desk"),
        member(GATE, "cashier"),
        member("cashier-2", "cashier"),
    ];
    let mut deployment = Deployment::start(TEXT, members).await?;
    let entry = deployment.entry(ENTRY);
    let call = Call::charge("calls-on")
        .with(headers::SERVICE_US, RUN_US)
        .with(headers::CALL, "cashier/price/last");
    let payment = Payment::ticketed(entry, call.clone()).await?;
    let gate = payment.gate().to_owned();
    let sending = payment.begin(entry);
    payment.wait_started(&deployment).await?;
    deployment.fleet.terminate(&gate)?;
    let answer = sending.await?.map_err(|fault| eyre!("{fault}"))?;
    assert_eq!(answer.status.as_u16(), 200, "{:?}", answer.headers);
    assert!(call.is_answered_by(&answer));
    assert_eq!(deployment.runs_of("calls-on+").len(), 1);
    let status = deployment.fleet.wait_exit(&gate, EXIT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn a_target_that_drains_and_restarts_under_load_costs_no_call() -> Result<()> {
    // The target asks for draining, finishes what it has, closes its port and
    // comes back. Its node stays. Callers see only answers.
    let members = vec![
        member("cashier-1", "cashier"),
        member("cashier-2", "cashier"),
        member("cashier-3", "cashier"),
    ];
    let deployment = Deployment::start(TEXT, members).await?;
    let entries = deployment.fleet.entries();
    let traffic = Traffic::start(&entries, 6);
    let has_run = |deployment: &Deployment| deployment.target(GATE).all_runs().len() >= 20;
    deployment.wait_until("it runs calls", has_run).await?;
    deployment
        .target(GATE)
        .change_behaviour(|behaviour| behaviour.draining = true);
    wait_leaving(&deployment, GATE).await?;
    let is_idle = |deployment: &Deployment| {
        let runs = deployment.target(GATE).all_runs();
        runs.iter().all(|run| run.end != RunEnd::Running)
    };
    let idle_answers = async {
        traffic.wait_answered(50).await?;
        deployment.wait_until("its runs have ended", is_idle).await
    };
    idle_answers.await?;
    deployment.target(GATE).close().await;
    traffic.wait_answered(100).await?;
    let before = deployment.target(GATE).all_runs().len();
    deployment
        .target(GATE)
        .change_behaviour(|behaviour| behaviour.draining = false);
    deployment.target(GATE).reopen().await;
    let is_back = |deployment: &Deployment| deployment.target(GATE).all_runs().len() >= before + 10;
    deployment
        .wait_until("it runs calls again", is_back)
        .await?;
    let served = traffic.stop().await?;
    println!(
        "a target's restart: {} calls answered, {} refusals on the way",
        served.answered, served.refusals
    );
    assert!(served.failures.is_empty(), "{:#?}", served.failures);
    Ok(())
}

#[tokio::test]
async fn a_call_that_never_ends_holds_a_node_no_longer_than_its_drain_timeout() -> Result<()> {
    // The caller of a run without an end sees its connection break: nothing
    // that looks like an answer. The node ends with status 4, so that whoever
    // replaces it knows that something was cut off.
    const DRAIN_TIMEOUT_MS: u64 = 2_000;
    const DRAIN_TIMED_OUT: i32 = 4;
    let platform = PlatformStandin::start(loopback()).await?;
    platform.set_text(TEXT)?;
    let target = TargetStandin::start(TargetConfig::default()).await?;
    let node = Path::new(env!("CARGO_BIN_EXE_hornbeamhitch-node"));
    let mut fleet = Fleet::new(FleetConfig {
        drain_timeout_ms: DRAIN_TIMEOUT_MS,
        ..FleetConfig::new(node, platform.addr())
    })?;
    fleet.add(NodeSpec {
        vm: GATE.to_owned(),
        service: "cashier".to_owned(),
        data_centre: "a".to_owned(),
        target: target.addr(),
    })?;
    fleet
        .start_all(async |vms| platform.set_vms(vms).map(drop))
        .await?;
    let entry = fleet.addresses(GATE)?.callers;
    let call = Call::price("endless")
        .with(headers::SERVICE_US, 60_000_000)
        .with(header::DEADLINE_MS, 100_000);
    let sending = begin(entry, call);
    let give_up = Instant::now() + EXIT;
    while target.all_runs().is_empty() {
        ensure!(Instant::now() < give_up, "the call never ran");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let told_at = Instant::now();
    fleet.terminate(GATE)?;
    let status = fleet.wait_exit(GATE, EXIT).await?;
    println!(
        "a call without an end: the node ended after {:?}",
        told_at.elapsed()
    );
    assert_eq!(status.code(), Some(DRAIN_TIMED_OUT));
    assert!(told_at.elapsed() >= Duration::from_millis(DRAIN_TIMEOUT_MS));
    if let Ok(answer) = sending.await? {
        assert!(!answer.status.is_success(), "{answer:?}");
    }
    Ok(())
}

const BANGKOK: &str = include_str!("../../examples/bangkok.jsonc");
const BANGKOK_RATE_PER_S: f64 = 120.0;
/// One run of the load tool after the other, until the restarts are done.
const SEGMENT_S: f64 = 2.0;

/// Starts the 14 nodes and targets of the print office.
///
/// Without hedges, whose losers are cancelled: a run that is cancelled is then
/// one that was cut off.
async fn start_bangkok() -> Result<Deployment> {
    let probes = "\"probes_per_s\": 0.2,";
    let text = BANGKOK.replace(probes, &format!("{probes} \"hedge_share\": 0,"));
    ensure!(text != BANGKOK, "the text has no budgets");
    let mut members = Vec::new();
    for spec in bangkok::deployment().targets() {
        members.push(Member {
            vm: spec.vm.clone(),
            service: spec.service,
            data_centre: spec.data_centre,
            target: TargetConfig {
                name: spec.vm,
                ..spec.config
            },
        });
    }
    Deployment::start(&text, members).await
}

/// Loads all entries until `stop` is set.
fn keep_loading(
    entries: Vec<SocketAddr>,
    stop: tokio::sync::watch::Receiver<bool>,
) -> JoinHandle<Result<Vec<LoadOutcome>>> {
    tokio::spawn(async move {
        let mut outcomes = Vec::new();
        while !*stop.borrow() {
            let seed = u64::try_from(outcomes.len()).unwrap_or(0) + 1;
            outcomes.push(
                load::run(LoadPlan {
                    rate_per_s: BANGKOK_RATE_PER_S,
                    seconds: SEGMENT_S,
                    seed,
                    ..bangkok::deployment().plan(entries.clone())
                })
                .await?,
            );
        }
        Ok(outcomes)
    })
}

fn all_runs(deployment: &Deployment) -> Vec<RunRecord> {
    let mut runs = Vec::new();
    for target in deployment.targets.values() {
        runs.append(&mut target.all_runs());
    }
    runs
}

/// Restarts the VMs with one number of each service, all at once, and waits
/// until they are ready.
async fn restart_wave(deployment: &mut Deployment, number: usize) -> Result<usize> {
    let mut wave = deployment.fleet.names();
    wave.retain(|vm| vm.ends_with(&format!("-{number}")));
    for vm in &wave {
        deployment.fleet.terminate(vm)?;
    }
    for vm in &wave {
        let status = deployment.fleet.wait_exit(vm, EXIT).await?;
        assert_eq!(status.code(), Some(0), "{vm}");
        deployment.fleet.start(vm)?;
    }
    for vm in &wave {
        deployment.fleet.wait_ready(vm).await?;
    }
    Ok(wave.len())
}

/// Fails when a run was cut off, ran again, or missed the call that it made on
/// its part.
fn assert_none_cut_off(runs: &[RunRecord]) {
    let mut seen = BTreeSet::new();
    for run in runs {
        assert_eq!(run.end, RunEnd::Finished, "{run:?}");
        assert!(seen.insert(&run.marks.nonce), "a second run: {run:?}");
        let nonce = run.marks.nonce.clone().unwrap_or_default();
        let called: Vec<&RunRecord> = runs
            .iter()
            .filter(|other| other.marks.nonce == Some(format!("{nonce}+")))
            .collect();
        assert_eq!(run.status, Some(200), "{run:?} called {called:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_rolling_restart_of_bangkok_under_load_fails_no_call() -> Result<()> {
    // Every node of the print office is replaced under load, one of each
    // service at a time: SIGTERM, its end, a new life on the same addresses,
    // ready, the next. Callers keep to their contract: they go to another
    // entry when one is gone, and come back when told that a call has not run.
    // None of their calls fails, is lost or runs twice.
    let mut deployment = start_bangkok().await?;
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let loading = keep_loading(deployment.fleet.entries(), stopped);
    let began_at = Instant::now();
    let under_load = |deployment: &Deployment| all_runs(deployment).len() >= 100;
    deployment.wait_until("load runs", under_load).await?;
    let mut restarted = 0;
    for number in 1..=5 {
        restarted += restart_wave(&mut deployment, number).await?;
    }
    assert_eq!(restarted, 14);
    stop.send(true)?;
    let outcomes = loading.await??;
    let runs = all_runs(&deployment);
    assert_none_cut_off(&runs);
    let (mut calls, mut resends, mut broken) = (0, 0, 0);
    for outcome in &outcomes {
        let report = outcome.report(Some(&runs));
        calls += report.calls;
        resends += report.resends;
        broken += report.broken_sends;
        assert_eq!(report.answered(), report.calls, "{}", report.table());
        let statuses: Vec<&String> = report.final_statuses.keys().collect();
        assert_eq!(statuses, ["200"], "{}", report.table());
        assert!(report.is_clean(), "{:#?}", report.reconciliation);
        // A second run or a stored answer would stand for an answer that was
        // lost on its way to the caller.
        let repeats = report.reconciliation.map(|found| found.idempotent_repeats);
        assert_eq!(repeats, Some(0), "answers were cut off");
        let replayed = report.all_codes.get(&ResultCode::Replayed.to_string());
        assert_eq!(replayed, None, "answers were cut off");
    }
    println!(
        "rolling restart: {restarted} nodes in {:?}, {calls} calls, none failed; {resends} resends, {broken} sends without an answer",
        began_at.elapsed()
    );
    assert!(calls >= 500, "{calls} calls are no load");
    Ok(())
}
