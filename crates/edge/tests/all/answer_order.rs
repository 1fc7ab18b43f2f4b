//! Calls that others wait behind on their connection, as their gate sees them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hornbeamhitch_dispatch::overload::{OverloadPart, OverloadParts};
use hornbeamhitch_edge::directory::Directory;
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::{CallId, ToEntry, ToGate};
use tokio::net::TcpListener;

use crate::support::caller::Caller;
use crate::support::gate_end::{FakeGate, answer};
use crate::support::{DEADLINE_MS, Fleet, REQUEST_ID, fleet, member, route, set_directory};

/// Objectives that cannot pass while a test runs, so that pauses of the machine change
/// nothing. An entry that has seen no run expects it to take 0.3 of the objective, so the
/// calm call can still meet the urgent one's.
const CALM_OBJECTIVE_MS: Millis = Millis(200_000);
const URGENT_OBJECTIVE_MS: Millis = Millis(100_000);

/// An entry and the only target of its callers' routes, with a fake gate.
struct Scene {
    fleet: Fleet,
    listener: TcpListener,
}

impl Scene {
    /// Routes `/calm/` with priority 2 and `/urgent/` with the given priority lead to the
    /// target.
    async fn start(number: u8, urgent_priority: u8) -> Self {
        let objectives_ms = [CALM_OBJECTIVE_MS, URGENT_OBJECTIVE_MS];
        Self::with_objectives(number, urgent_priority, objectives_ms).await
    }

    async fn with_objectives(number: u8, urgent_priority: u8, objectives_ms: [Millis; 2]) -> Self {
        let fleet = fleet(&["other"]).await;
        let ip = format!("127.202.0.{number}");
        let listener = TcpListener::bind((ip.as_str(), fleet.gate_port)).await;
        let listener = listener.expect("the gate's port");
        let address: SocketAddr = format!("{ip}:1").parse().expect("an address");
        set_directory(&fleet.directory, "s", vec![member(1, "s", address)]);
        let known = fleet.directory.load_full();
        let mut routes = RouteSet::new(2, CallerLimits::default());
        for (name, priority, objective_ms) in [
            ("calm", 2, objectives_ms[0]),
            ("urgent", urgent_priority, objectives_ms[1]),
        ] {
            let prefix = format!("/{name}/");
            let mut added = route(name, &prefix, CallKind::Idempotent, "s", 600_000);
            added.priority = priority;
            added.objective_ms = objective_ms;
            routes.add("h", added);
        }
        fleet.directory.store(Arc::new(Directory {
            routes: Some(Arc::new(routes)),
            ..Directory::clone(&known)
        }));
        Self { fleet, listener }
    }

    async fn caller(&self) -> Caller {
        Caller::connect(self.fleet.vms[0].callers).await
    }
}

async fn send(caller: &mut Caller, route: &str, id: &str) {
    let text = format!(
        "GET /{route}/x HTTP/1.1\r\nHost: h\r\n{REQUEST_ID}: {id}\r\n{DEADLINE_MS}: 600000\r\n\r\n"
    );
    caller.send_raw(&text).await;
}

/// Returns the next call that the gate receives.
async fn next_call(gate: &mut FakeGate) -> (CallId, CallTerms) {
    loop {
        match gate.next().await {
            ToGate::Call { id, terms, .. } | ToGate::Offer { id, terms, .. } => return (id, terms),
            _ => {}
        }
    }
}

/// Refuses a call, so that the entry sends it again, and returns it as it is sent then.
async fn send_again(gate: &mut FakeGate, id: CallId) -> (CallId, CallTerms) {
    let end = CallEnd::Busy;
    gate.send(&ToEntry::Ended { id, end }).await;
    next_call(gate).await
}

/// Sends a calm request and an urgent one behind it. Returns the ids of both calls.
async fn send_both(caller: &mut Caller, gate: &mut FakeGate) -> [CallId; 2] {
    send(caller, "calm", "calm").await;
    let (calm, terms) = next_call(gate).await;
    assert_eq!((terms.request_id.as_str(), terms.priority), ("calm", 2));
    assert!(terms.objective_ms > URGENT_OBJECTIVE_MS);
    send(caller, "urgent", "urgent").await;
    let (urgent, terms) = next_call(gate).await;
    assert_eq!(terms.request_id, "urgent");
    [calm, urgent]
}

/// Guards against urgent answers that are held behind a call that its gate places last. The
/// call is sent again with the terms of the one that waits for it. Answers keep their order.
#[tokio::test]
async fn a_call_that_a_more_urgent_one_waits_behind_is_sent_with_its_terms() {
    let scene = Scene::start(1, 0).await;
    let mut caller = scene.caller().await;
    let (mut gate, [calm, urgent]) = {
        send(&mut caller, "urgent", "before").await;
        let mut gate = FakeGate::accept(&scene.listener, 1).await;
        let (before, _) = next_call(&mut gate).await;
        gate.send(&answer(before, "before")).await;
        assert_eq!(caller.answer().await.expect("an answer").status(), 200);
        // Nothing waits behind the calm request, and one that was answered before it does
        // not count.
        let both = send_both(&mut caller, &mut gate).await;
        (gate, both)
    };
    let (calm, terms) = send_again(&mut gate, calm).await;
    assert_eq!((terms.request_id.as_str(), terms.priority), ("calm", 0));
    assert!(terms.objective_ms <= URGENT_OBJECTIVE_MS, "{terms:?}");

    gate.send(&answer(urgent, "urgent")).await;
    // The urgent call has ended, and the calm one keeps what it has inherited.
    let (calm, terms) = send_again(&mut gate, calm).await;
    assert_eq!((terms.request_id.as_str(), terms.priority), ("calm", 0));
    gate.send(&answer(calm, "calm")).await;
    for id in ["calm", "urgent"] {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.field("T-Digest"), Some(format!("d-{id}").as_str()));
    }
}

/// Guards against a change where the part is not in force: it is switched off, or the
/// routes of the service have one priority.
#[tokio::test]
async fn a_call_keeps_its_own_terms_while_the_part_is_not_in_force() {
    for (number, urgent_priority, off) in [
        (2, 0, OverloadParts::NONE.with(OverloadPart::AnswerOrder)),
        (3, 2, OverloadParts::NONE),
    ] {
        let scene = Scene::start(number, urgent_priority).await;
        scene.fleet.vms[0].entry.switch_overload_off(off);
        let mut caller = scene.caller().await;
        let accepting = FakeGate::accept(&scene.listener, 1);
        let connecting = send(&mut caller, "calm", "first");
        let (mut gate, ()) = tokio::join!(accepting, connecting);
        let (first, _) = next_call(&mut gate).await;
        gate.send(&answer(first, "first")).await;
        caller.answer().await.expect("an answer");

        let [calm, _] = send_both(&mut caller, &mut gate).await;
        let (_, terms) = send_again(&mut gate, calm).await;
        assert_eq!((terms.request_id.as_str(), terms.priority), ("calm", 2));
        assert!(terms.objective_ms > URGENT_OBJECTIVE_MS, "{terms:?}");
    }
}

/// Guards against harm by callers that leave: both calls are cancelled, and calls of other
/// connections and later ones have their own terms.
#[tokio::test]
async fn a_caller_that_leaves_with_requests_behind_others_changes_no_other_call() {
    let scene = Scene::start(4, 0).await;
    let mut leaving = scene.caller().await;
    let mut staying = scene.caller().await;
    send(&mut staying, "calm", "staying").await;
    let mut gate = FakeGate::accept(&scene.listener, 1).await;
    let (stayed, _) = next_call(&mut gate).await;
    let mut open = send_both(&mut leaving, &mut gate).await.to_vec();
    drop(leaving);
    while !open.is_empty() {
        if let ToGate::Cancel { id } = gate.next().await {
            open.retain(|other| *other != id);
        }
    }
    let (stayed, terms) = send_again(&mut gate, stayed).await;
    assert_eq!((terms.request_id.as_str(), terms.priority), ("staying", 2));
    gate.send(&answer(stayed, "staying")).await;
    assert_eq!(staying.answer().await.expect("an answer").status(), 200);
}

/// Guards against urgent answers that are held behind a run that seems stuck. The entry
/// expects runs of 0.9 s and hedges a call that nothing waits for after 2.25 s. The hedge of
/// this call is sent in time to meet the objective of 2.9 s of the one that waits for it.
#[tokio::test]
async fn a_run_that_an_urgent_call_waits_for_is_hedged_in_time_for_its_objective() {
    let scene = Scene::with_objectives(5, 0, [Millis(3_000), Millis(2_900)]).await;
    let other = TcpListener::bind(("127.202.0.6", scene.fleet.gate_port)).await;
    let other = other.expect("the gate's port");
    let mut caller = scene.caller().await;
    send(&mut caller, "calm", "calm").await;
    let mut gate = FakeGate::accept(&scene.listener, 1).await;
    let (calm, terms) = next_call(&mut gate).await;
    assert_eq!(terms.work_ms, Millis(900));
    let slowness_percent = 100;
    let id = calm;
    gate.send(&ToEntry::Started {
        id,
        slowness_percent,
    })
    .await;
    let started = Instant::now();
    tokio::spawn(answer_pings(gate));
    add_member(&scene.fleet, "127.202.0.6:1");
    send(&mut caller, "urgent", "urgent").await;
    let mut hedge_gate = FakeGate::accept(&other, 2).await;
    let hedge = loop {
        let (_, terms) = next_call(&mut hedge_gate).await;
        if terms.request_id == "calm" {
            break terms;
        }
    };
    let elapsed = started.elapsed();
    assert_eq!(hedge.priority, 0);
    assert!(elapsed >= Duration::from_millis(1_300), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(2_200), "{elapsed:?}");
}

/// Keeps a link alive, so that its entry does not take the gate for unreachable.
async fn answer_pings(mut gate: FakeGate) {
    while let Some(frame) = gate.next_unless_closed().await {
        if matches!(frame, ToGate::Ping) {
            gate.send(&ToEntry::Pong).await;
        }
    }
}

/// Lists a second target of the service.
fn add_member(fleet: &Fleet, address: &str) {
    let known = fleet.directory.load_full();
    let mut tracker = hornbeamhitch_dispatch::knowledge::members::MemberTracker::default();
    for listed in known.members.iter() {
        tracker.upsert(Member::clone(listed));
    }
    let address = address.parse().expect("an address");
    tracker.upsert(member(2, "s", address));
    fleet.directory.store(Arc::new(Directory {
        members: Arc::new(tracker.snapshot()),
        ..Directory::clone(&known)
    }));
}
