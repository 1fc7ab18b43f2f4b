//! A graceful shutdown of a node or a target cuts off no call.
//!
//! The calls in flight at SIGTERM last longer than the node accepts connections:
//! slow lookups, payments under tickets, a large answer that its caller reads
//! slowly, and a run that makes a nested call.

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
    // The node of this service is the entry.
    "desk": { "depends_on": ["cashier"] },
  },
}"#;

const ENTRY: &str = "desk-1";
const GATE: &str = "cashier-1";
/// Run time that is longer than a draining node accepts connections.
const RUN_US: u64 = 2_200_000;
/// Size of an answer that far exceeds the socket buffers and flow-control windows
/// on its way.
const LARGE_BYTES: usize = 48 * 1024 * 1024;
const EXIT_TIMEOUT: Duration = Duration::from_secs(25);

fn member(vm: &str, service: &str) -> Member {
    Member::new(vm, service).with(|target| target.slots = 20)
}

/// Calls in flight.
struct InFlight {
    sends: Vec<(Call, Sending)>,
    large: SlowAnswer,
}

impl InFlight {
    /// Starts three slow lookups, three slow payments and a lookup with a large
    /// answer, and waits until all of them run.
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

    /// Fails unless each call gets its own complete answer and its run ended after
    /// `event_at`.
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
            assert!(outlasted, "{} ended before the event", call.nonce);
        }
        assert!(
            self.large.is_partial(),
            "the large answer is no longer in transit"
        );
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
async fn calls_in_flight_at_a_terminating_entry_are_answered_whole() -> Result<()> {
    // Callers have connections to the entry when it gets SIGTERM. It continues to
    // serve them, closes each connection after its answer, accepts no further
    // connections, and exits with status 0 once it has sent the last byte.
    let members = vec![member(ENTRY, "desk"), member(GATE, "cashier")];
    let mut deployment = Deployment::start(TEXT, members).await?;
    let entry = deployment.entry(ENTRY);
    let in_flight = InFlight::begin(&deployment, entry).await?;
    let event_at = wall_clock();
    deployment.fleet.terminate(ENTRY)?;
    wait_leaving(&deployment, ENTRY).await?;
    let late = Call::price("while-leaving");
    let answer = Caller::new().send(entry, &late).await?;
    assert!(
        late.is_answered_by(&answer),
        "a draining entry still serves"
    );
    in_flight.all_answered(&deployment, event_at).await?;
    let status = deployment.fleet.wait_exit(ENTRY, EXIT_TIMEOUT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn calls_in_flight_at_a_terminating_gate_are_answered_whole() -> Result<()> {
    // The only gate of the service gets SIGTERM. The calls that it has admitted
    // run to their end and are answered completely through the entry; a new call
    // gets the answer that it did not run.
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
    let status = deployment.fleet.wait_exit(GATE, EXIT_TIMEOUT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn a_late_nested_call_is_served_while_its_node_terminates() -> Result<()> {
    // After two seconds of a payment's run, its target makes a nested call through
    // its own node, which has been draining since the run began. The node must still
    // accept that call, or the payment fails although a part of it is done.
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
    let status = deployment.fleet.wait_exit(&gate, EXIT_TIMEOUT).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn a_target_drain_and_restart_under_load_fails_no_call() -> Result<()> {
    // The target announces that it drains, finishes its runs, closes its port and
    // reopens it. Its node keeps running. Every call is answered.
    let members = vec![
        member("cashier-1", "cashier"),
        member("cashier-2", "cashier"),
        member("cashier-3", "cashier"),
    ];
    let deployment = Deployment::start(TEXT, members).await?;
    let entries = deployment.fleet.entries();
    let traffic = Traffic::start(&entries, 6);
    let has_run = |deployment: &Deployment| deployment.target(GATE).all_runs().len() >= 20;
    deployment
        .wait_until("the target runs calls", has_run)
        .await?;
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
        deployment
            .wait_until("the target's runs have ended", is_idle)
            .await
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
        .wait_until("the target runs calls again", is_back)
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
async fn an_endless_call_delays_a_shutdown_no_longer_than_the_drain_timeout() -> Result<()> {
    // The caller of an endless run sees its connection break and gets nothing that
    // looks like an answer. The node exits with status 4, which tells the operator
    // that it cut off work.
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
    let give_up = Instant::now() + EXIT_TIMEOUT;
    while target.all_runs().is_empty() {
        ensure!(Instant::now() < give_up, "the call never ran");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let terminated_at = Instant::now();
    fleet.terminate(GATE)?;
    let status = fleet.wait_exit(GATE, EXIT_TIMEOUT).await?;
    println!(
        "a call without an end: the node ended after {:?}",
        terminated_at.elapsed()
    );
    assert_eq!(status.code(), Some(DRAIN_TIMED_OUT));
    assert!(terminated_at.elapsed() >= Duration::from_millis(DRAIN_TIMEOUT_MS));
    if let Ok(answer) = sending.await? {
        assert!(!answer.status.is_success(), "{answer:?}");
    }
    Ok(())
}

const BANGKOK: &str = include_str!("../../examples/bangkok.jsonc");
const BANGKOK_RATE_PER_S: f64 = 120.0;
/// Length of one run of the load tool. Runs follow one another until the restarts
/// are done.
const SEGMENT_S: f64 = 2.0;

/// Starts the 14 nodes and targets of the Bangkok example.
///
/// Hedged requests are off, because the slower attempt of a hedge is cancelled.
/// Without them, a cancelled run is one that was cut off.
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

/// Sends load to all entries until `stop` is set.
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

/// Restarts the VM with this number in each service, all at the same time, and
/// waits until they are ready.
async fn restart_wave(deployment: &mut Deployment, number: usize) -> Result<usize> {
    let mut wave = deployment.fleet.names();
    wave.retain(|vm| vm.ends_with(&format!("-{number}")));
    for vm in &wave {
        deployment.fleet.terminate(vm)?;
    }
    for vm in &wave {
        let status = deployment.fleet.wait_exit(vm, EXIT_TIMEOUT).await?;
        assert_eq!(status.code(), Some(0), "{vm}");
        deployment.fleet.start(vm)?;
    }
    for vm in &wave {
        deployment.fleet.wait_ready(vm).await?;
    }
    Ok(wave.len())
}

/// Fails if a run was cut off, a call ran twice, or a nested call failed.
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
    // Every node of the Bangkok example is restarted under load, one of each service
    // at a time: SIGTERM, exit, a new incarnation at the same addresses, readiness,
    // then the next. Callers follow the contract: they use another entry when one is
    // down, and retry calls that are answered "not run". No call fails, is lost or
    // runs twice.
    let mut deployment = start_bangkok().await?;
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let loading = keep_loading(deployment.fleet.entries(), stopped);
    let began_at = Instant::now();
    let is_under_load = |deployment: &Deployment| all_runs(deployment).len() >= 100;
    deployment
        .wait_until("the load runs", is_under_load)
        .await?;
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
        // A second run or a replayed answer would show that an answer was lost on
        // its way to the caller.
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
