//! The admission level of a service: the reports between entries and gates, and what an entry
//! does with calls in an overload.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hornbeamhitch_edge::directory::Directory;
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::{CallId, ToEntry, ToGate};
use parking_lot::Mutex;
use tokio::net::TcpListener;

use crate::support::caller::{Caller, request};
use crate::support::entry_end::FakeEntry;
use crate::support::gate_end::{FakeGate, answer};
use crate::support::{Fleet, fleet, member, route, set_directory};

/// Shortest interval between two reports of load on one link.
const LOAD_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest interval between two reports of demand for one service.
const DEMAND_INTERVAL: Duration = Duration::from_millis(50);
/// Time after its start at which a gate reports its load.
const FIRST_LOAD_AFTER: Duration = Duration::from_millis(300);
/// Number of gates that a call tries at most in an overload.
const MAX_GATES: usize = 3;

/// What the fake gates of a service have received.
#[derive(Debug, Default)]
struct Received {
    demand: Vec<(Instant, DemandReport)>,
    calls: Vec<CallTerms>,
}

type SharedReceived = Arc<Mutex<Received>>;

/// Adds a route of the highest priority, so that the routes of the service compete.
fn add_urgent_route(fleet: &Fleet) {
    let known = fleet.directory.load_full();
    let mut routes = known.routes.as_deref().expect("routes").clone();
    let urgent = Route {
        priority: 0,
        ..route("urgent", "/urgent/", CallKind::Idempotent, "s", 2_000)
    };
    routes.add("h", urgent);
    fleet.directory.store(Arc::new(Directory {
        routes: Some(Arc::new(routes)),
        ..Directory::clone(&known)
    }));
}

/// Starts fake gates for all targets of the service `s`. They report this load, answer urgent
/// calls, and all others too unless the load exceeds the room.
async fn fake_gates(fleet: &Fleet, net: u8, count: u8, load: GateLoad) -> SharedReceived {
    let received = SharedReceived::default();
    let mut members = Vec::new();
    for number in 0..count {
        let ip = format!("127.{net}.0.{}", number + 1);
        let listener = TcpListener::bind((ip.as_str(), fleet.gate_port)).await;
        let listener = listener.expect("the gate's port");
        let received = Arc::clone(&received);
        tokio::spawn(async move { serve(&listener, number, load, &received).await });
        let address: SocketAddr = format!("{ip}:1").parse().expect("an address");
        members.push(member(usize::from(number), "s", address));
    }
    set_directory(&fleet.directory, "s", members);
    received
}

async fn serve(listener: &TcpListener, number: u8, load: GateLoad, received: &Mutex<Received>) {
    let demand: u32 = load.demand_centislots.iter().sum();
    let is_full = demand > load.room_centislots;
    let mut gate = FakeGate::accept(listener, u64::from(number)).await;
    while let Some(frame) = gate.next_unless_closed().await {
        let (id, terms) = match frame {
            ToGate::Call { id, terms, .. } | ToGate::Offer { id, terms, .. } => (id, terms),
            ToGate::Demand(report) => {
                received.lock().demand.push((Instant::now(), report));
                continue;
            }
            ToGate::Ping => {
                gate.send(&ToEntry::Pong).await;
                continue;
            }
            _ => continue,
        };
        received.lock().calls.push(terms.clone());
        gate.send(&ToEntry::Load { id, load }).await;
        match is_full && terms.priority > 0 {
            true => {
                let end = CallEnd::Busy;
                gate.send(&ToEntry::Ended { id, end }).await;
            }
            false => gate.send(&answer(id, &terms.request_id)).await,
        }
    }
}

/// A load of which urgent calls are a quarter of the room.
const OVERLOAD: GateLoad = GateLoad {
    room_centislots: 800,
    demand_centislots: [0, 200, 3_000, 0],
};

/// Guards against reports to entries of an earlier version, and against a flood of reports.
#[tokio::test]
async fn a_gate_reports_its_load_to_entries_that_report_demand() {
    let fleet = fleet(&["s"]).await;
    let mut entry = FakeEntry::connect(&fleet).await;
    let id = entry.send_lookup().await;
    assert_eq!(loads_before_end(&mut entry, id).await, 0);
    tokio::time::sleep(FIRST_LOAD_AFTER).await;
    let id = entry.send_lookup().await;
    assert_eq!(loads_before_end(&mut entry, id).await, 0);
    let started = Instant::now();
    let report = DemandReport {
        work_ms: [0, 0, 1, 0],
    };
    entry.send(&ToGate::Demand(report)).await;
    let mut loads = 0;
    for _ in 0..40 {
        let id = entry.send_lookup().await;
        loads += loads_before_end(&mut entry, id).await;
    }
    let max = 1 + started.elapsed().as_millis() / LOAD_INTERVAL.as_millis();
    assert!((1..=max).contains(&loads), "{loads} of at most {max}");
}

/// Returns the number of reports of load before the end of a call. Each must precede its
/// start or its end.
async fn loads_before_end(entry: &mut FakeEntry, expected: CallId) -> u128 {
    let mut loads = 0;
    loop {
        match entry.next().await {
            ToEntry::Load { id, .. } => {
                assert_eq!(id, expected);
                loads += 1;
                let next = entry.next().await;
                let is_event = matches!(next, ToEntry::Started { .. } | ToEntry::Ended { .. });
                assert!(is_event, "{next:?}");
                if matches!(next, ToEntry::Ended { .. }) {
                    return loads;
                }
            }
            ToEntry::Answered { .. } | ToEntry::Ended { .. } => return loads,
            _ => {}
        }
    }
}

/// Guards against frames that gates of an earlier version do not know, before a
/// configuration calls for the part.
#[tokio::test]
async fn no_demand_is_reported_while_the_part_is_not_called_for() {
    let fleet = fleet(&["other"]).await;
    let received = fake_gates(&fleet, 202, 3, GateLoad::default()).await;
    for number in 0..10 {
        let id = format!("id-{number}");
        let answer = request(fleet.vms[0].callers, "GET", "/read/x", &id).await;
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(received.lock().calls.len(), 10);
    assert!(received.lock().demand.is_empty());
}

/// Guards against demand that is reported to several gates, or to none.
#[tokio::test]
async fn each_call_is_reported_once_as_demand() {
    let fleet = fleet(&["other"]).await;
    let load = GateLoad {
        room_centislots: 800,
        demand_centislots: [0; LOAD_CLASSES],
    };
    let received = fake_gates(&fleet, 203, 3, load).await;
    add_urgent_route(&fleet);
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < Duration::from_millis(400) {
        count += 1;
        let answer = caller
            .request("GET", "/read/x", &format!("id-{count}"))
            .await;
        assert_eq!(answer.status(), 200);
    }
    tokio::time::sleep(DEMAND_INTERVAL).await;
    let answer = caller.request("GET", "/read/x", "last").await;
    assert_eq!(answer.status(), 200);
    let received = received.lock();
    let reports = received
        .demand
        .iter()
        .filter(|(_, report)| report.work_ms[2] > 0);
    let reports = reports.count() as u128;
    let max = 2 + started.elapsed().as_millis() / DEMAND_INTERVAL.as_millis();
    assert!((2..=max).contains(&reports), "{reports} of at most {max}");
    let mut reported_ms = 0;
    for (_, report) in &received.demand {
        assert_eq!(
            [report.work_ms[0], report.work_ms[1], report.work_ms[3]],
            [0; 3]
        );
        reported_ms += u64::from(report.work_ms[2]);
    }
    // The expected run time changes while it is learnt.
    let mut work_ms: u64 = received.calls.iter().map(|terms| terms.work_ms.0).sum();
    work_ms += count;
    assert!(reported_ms <= work_ms, "{reported_ms} of {work_ms} ms");
    assert!(
        reported_ms * 10 >= work_ms * 8,
        "{reported_ms} of {work_ms} ms"
    );
}

/// Guards against calls that try gate after gate of a service that is full, and against
/// urgent calls that are refused with the others.
#[tokio::test]
async fn an_overloaded_service_gets_few_attempts_and_serves_urgent_calls() {
    let fleet = fleet(&["other"]).await;
    let received = fake_gates(&fleet, 204, 6, OVERLOAD).await;
    add_urgent_route(&fleet);
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let started = Instant::now();
    let mut number = 0;
    // The level begins once the reports have shown an overload for a while.
    while started.elapsed() < Duration::from_millis(1_500) {
        number += 1;
        let id = format!("early-{number}");
        assert_eq!(caller.request("GET", "/read/x", &id).await.status(), 503);
    }
    received.lock().calls.clear();
    for number in 0..30 {
        let refused = caller
            .request("GET", "/read/x", &format!("late-{number}"))
            .await;
        assert_eq!(refused.status(), 503);
        assert!(refused.field("retry-after").is_some());
        let served = caller
            .request("GET", "/urgent/x", &format!("urgent-{number}"))
            .await;
        assert_eq!(served.status(), 200);
    }
    let received = received.lock();
    let mut untried = 0;
    for number in 0..30 {
        let id = format!("late-{number}");
        let attempts = received.calls.iter().filter(|terms| terms.request_id == id);
        let attempts = attempts.count();
        assert!(attempts <= MAX_GATES, "{attempts} attempts");
        untried += usize::from(attempts == 0);
    }
    // About a fifth of the calls is admitted.
    assert!((15..30).contains(&untried), "{untried} calls tried no gate");
}
