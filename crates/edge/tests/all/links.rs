//! Links between nodes, with the gate's end played by the tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::{ToEntry, ToGate};
use tokio::net::TcpListener;

use crate::support::caller::{Caller, request};
use crate::support::gate_end::{FakeGate, answer};
use crate::support::target::{FakeTarget, until};
use crate::support::{fleet, member, set_directory, start_vm};

/// A question is this long at most: a call's key, its fingerprint, the ids of the
/// request and the target, and six spans, in bytes.
const MOST_ASK_BYTES: usize = 80;

/// A fleet whose only target of the service stands behind a gate of the test.
async fn with_own_gate() -> (crate::support::Fleet, TcpListener) {
    let fleet = fleet(&["other", "none"]).await;
    let ip = "127.200.0.1";
    let port = fleet.gate_port;
    let listener = TcpListener::bind((ip, port))
        .await
        .expect("the gate's port");
    let target: SocketAddr = format!("{ip}:1").parse().expect("an address");
    set_directory(&fleet.directory, "s", vec![member(9, "s", target)]);
    (fleet, listener)
}

/// Most gates that are asked refuse. An upload that travelled to each of them
/// would fill the lines between data centres for nothing.
#[tokio::test]
async fn a_large_body_travels_only_when_the_gate_wants_it() {
    let (fleet, listener) = with_own_gate().await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let body = "b".repeat(60_000);
    caller.send("POST", "/pay/x", "id-1", &body).await;
    let mut gate = FakeGate::accept(&listener, 1).await;
    let ToGate::Call { id, body, .. } = gate.next().await else {
        panic!("a call was expected");
    };
    assert!(body.is_empty());
    let end = CallEnd::Slow;
    gate.send(&ToEntry::Ended { id, end }).await;
    assert!(gate.read_bytes < 1_000, "{} bytes", gate.read_bytes);
    // It has refused, so it is asked with the terms alone from now on.
    let before = gate.read_bytes;
    for _ in 0..2 {
        let ToGate::Ask { id, .. } = gate.next().await else {
            panic!("a question was expected");
        };
        gate.send(&ToEntry::Ended { id, end }).await;
    }
    let ToGate::Ask { id, body_bytes, .. } = gate.next().await else {
        panic!("a question was expected");
    };
    let asked = gate.read_bytes - before;
    assert!(
        asked <= 3 * MOST_ASK_BYTES,
        "{asked} bytes for three questions"
    );
    gate.send(&ToEntry::WantsBody { id }).await;
    let ToGate::Head { head, .. } = gate.next().await else {
        panic!("the head was expected");
    };
    assert_eq!(
        (head.method.as_str(), head.path.as_str()),
        ("POST", "/pay/x")
    );
    let mut got = 0;
    while got < body_bytes {
        let ToGate::Body { part, .. } = gate.next().await else {
            panic!("a part of the body was expected");
        };
        got += part.len() as u64;
    }
    assert_eq!(got, 60_000);
    gate.send(&answer(id, "id-1")).await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 200);
}

/// The link breaks while a payment is at its gate, which says nothing more of
/// it. The entry asks the gate over a new link and passes on what it learns.
#[tokio::test]
async fn a_payment_whose_link_broke_is_asked_about() {
    for (has_run, status) in [(true, 200), (false, 200)] {
        let (fleet, listener) = with_own_gate().await;
        let mut caller = Caller::connect(fleet.vms[0].callers).await;
        caller.send("POST", "/pay/x", "id-1", "").await;
        let mut gate = FakeGate::accept(&listener, 1).await;
        let ToGate::Call { terms, .. } = gate.next().await else {
            panic!("a call was expected");
        };
        drop(gate);
        let mut gate = FakeGate::accept(&listener, 1).await;
        let ToGate::Fence { id, key } = gate.next().await else {
            panic!("a question about the key was expected");
        };
        assert_eq!(key, terms.key);
        if has_run {
            gate.send(&answer(id, "id-1")).await;
        } else {
            // Fenced: it did not run and never will, so it may go on.
            let end = CallEnd::Fenced;
            gate.send(&ToEntry::Ended { id, end }).await;
            let ToGate::Call { id, terms, .. } = gate.next().await else {
                panic!("the payment was to be sent again");
            };
            assert_ne!(terms.key, key);
            gate.send(&answer(id, "id-1")).await;
        }
        assert_eq!(caller.answer().await.expect("an answer").status(), status);
    }
}

/// The gate's process ends while a payment is there, and a new one takes its
/// place. The new one knows nothing of the payment, so it must not be believed
/// that nothing ran.
#[tokio::test]
async fn a_new_life_of_a_gate_cannot_say_that_nothing_ran() {
    let (fleet, listener) = with_own_gate().await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    caller.send("POST", "/pay/x", "id-1", "").await;
    let mut gate = FakeGate::accept(&listener, 1).await;
    assert!(matches!(gate.next().await, ToGate::Call { .. }));
    drop(gate);
    let mut gate = FakeGate::accept(&listener, 2).await;
    let ToGate::Fence { id, .. } = gate.next().await else {
        panic!("a question about the key was expected");
    };
    let end = CallEnd::Fenced;
    gate.send(&ToEntry::Ended { id, end }).await;
    tokio::select! {
        answer = caller.answer() => assert_eq!(answer.expect("an answer").status(), 502),
        frame = gate.next() => panic!("the payment was sent again: {frame:?}"),
    }
}

/// The gate's VM goes dark in the middle of a payment: the link stays open and
/// silent. The caller learns long before its deadline that nobody can tell.
#[tokio::test]
async fn a_silent_gate_is_given_up_before_the_deadline() {
    let (fleet, listener) = with_own_gate().await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    caller.send("POST", "/pay/x", "id-1", "").await;
    let mut gate = FakeGate::accept(&listener, 1).await;
    assert!(matches!(gate.next().await, ToGate::Call { .. }));
    drop(listener);
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status(), 502);
}

/// Gates take a lookup and nothing more is heard of them, as behind a cut that
/// lets packets through one way only. Each may have run it, so no more of them
/// are asked than the route allows targets.
#[tokio::test]
async fn a_send_of_unknown_outcome_counts_as_one_of_the_routes_attempts() {
    let fleet = fleet(&["other", "none"]).await;
    let port = fleet.gate_port;
    let calls = Arc::new(AtomicU32::new(0));
    let mut members = Vec::new();
    for number in 1..=4 {
        let ip = format!("127.201.0.{number}");
        let listener = TcpListener::bind((ip.as_str(), port))
            .await
            .expect("the gate's port");
        let calls = Arc::clone(&calls);
        tokio::spawn(async move {
            let mut gate = FakeGate::accept(&listener, 1).await;
            assert!(matches!(gate.next().await, ToGate::Call { .. }));
            calls.fetch_add(1, Ordering::Relaxed);
        });
        let target: SocketAddr = format!("{ip}:1").parse().expect("an address");
        members.push(member(number, "s", target));
    }
    set_directory(&fleet.directory, "s", members);
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let answer = caller.request("GET", "/read/x", "id-1").await;
    assert_eq!(answer.status(), 502);
    assert_eq!(calls.load(Ordering::Relaxed), 2);
}

/// A node was restarted while the store is away. It knows nothing and would
/// refuse everything until the store returns; a node that opens a link to it
/// tells what is in force.
#[tokio::test]
async fn a_node_that_knows_nothing_hears_it_from_another() {
    let fleet = fleet(&["s", "s"]).await;
    let ip = "127.202.0.1".parse().expect("an address");
    let links = TcpListener::bind((ip, fleet.gate_port))
        .await
        .expect("the gate's port");
    let target = FakeTarget::start(ip, "life-9").await;
    let unknowing: SharedDirectory = Arc::default();
    let address = target.address;
    let vm = start_vm(
        "s",
        target,
        links,
        &unknowing,
        &fleet.source,
        fleet.gate_port,
    )
    .await;
    assert_eq!(
        request(vm.callers, "GET", "/read/x", "id-1").await.status(),
        503
    );

    // It is listed, so that others send to it.
    let mut members = vec![member(9, "s", address)];
    for (number, known) in fleet.vms.iter().enumerate() {
        members.push(member(number, "s", known.target.address));
    }
    set_directory(&fleet.directory, "s", members);
    for number in 0..40 {
        request(
            fleet.vms[0].callers,
            "GET",
            "/read/x",
            &format!("id-{number}"),
        )
        .await;
    }
    until("the node has heard the configuration", || {
        unknowing.load().routes.is_some()
    })
    .await;
    assert_eq!(unknowing.load().members.len(), 3);
    assert_eq!(
        request(vm.callers, "GET", "/read/x", "id-2").await.status(),
        200
    );
}

/// A gate takes a lookup and falls silent, as behind a cut or in a frozen VM. A
/// payment that comes before the link is given up is refused as not run: sent
/// into the silence it would end as "nobody can tell".
#[tokio::test]
async fn no_call_is_sent_to_a_gate_that_does_not_answer() {
    let (fleet, listener) = with_own_gate().await;
    let callers = fleet.vms[0].callers;
    let lookup = tokio::spawn(request(callers, "GET", "/read/x", "id-1"));
    let mut gate = FakeGate::accept(&listener, 7).await;
    assert!(matches!(
        gate.next_including_pings().await,
        ToGate::Call { .. }
    ));
    assert!(matches!(gate.next_including_pings().await, ToGate::Ping));
    // Twice the time in which it should have answered.
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let payment = request(callers, "POST", "/pay/x", "id-2").await;
    assert_eq!(payment.status(), 503);
    assert!(payment.field("Retry-After").is_some());
    lookup.await.expect("an answer");
    let mut calls = 0;
    while let Some(frame) = gate.next_unless_closed().await {
        calls += u32::from(matches!(frame, ToGate::Call { .. }));
    }
    assert_eq!(calls, 0, "sent into the silence");
}

/// The gate was only late. Once it is heard again, calls are sent over the same
/// link as before.
#[tokio::test]
async fn a_gate_that_is_heard_again_gets_calls_again() {
    let (fleet, listener) = with_own_gate().await;
    let callers = fleet.vms[0].callers;
    let lookup = tokio::spawn(request(callers, "GET", "/read/x", "id-1"));
    let mut gate = FakeGate::accept(&listener, 7).await;
    let ToGate::Call { id, .. } = gate.next_including_pings().await else {
        panic!("the lookup's frame");
    };
    assert!(matches!(gate.next_including_pings().await, ToGate::Ping));
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    gate.send(&ToEntry::Pong).await;
    gate.send(&answer(id, "id-1")).await;
    assert_eq!(lookup.await.expect("an answer").status(), 200);
    let payment = tokio::spawn(request(callers, "POST", "/pay/x", "id-2"));
    let ToGate::Call { id, .. } = gate.next().await else {
        panic!("the payment's frame");
    };
    gate.send(&answer(id, "id-2")).await;
    assert_eq!(payment.await.expect("an answer").status(), 200);
}
