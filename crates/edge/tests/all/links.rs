//! Tests of links between nodes, with the gate's side played by the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hornbeamhitch_dispatch::overload::{OverloadPart, OverloadParts};
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::{BODY_PART_BYTES, CallId, ToEntry, ToGate};
use tokio::net::TcpListener;

use crate::support::caller::{Caller, request};
use crate::support::entry_end::FakeEntry;
use crate::support::gate_end::{FakeGate, answer};
use crate::support::target::{FakeTarget, until};
use crate::support::{fleet, fleet_without, member, set_directory, start_vm};

/// Upper bound on the size of an offer in bytes: a call's key, its fingerprint, the ids
/// of the request and the target, and six durations.
const MAX_OFFER_BYTES: usize = 80;

/// The part that requires gates to confirm attempts in time.
const CONFIRMATION: OverloadParts = OverloadParts::NONE.with(OverloadPart::SilenceBound);

/// Starts a fleet in which the only target of service `s` is behind a gate that the
/// test plays.
pub(crate) async fn with_fake_gate() -> (crate::support::Fleet, TcpListener) {
    with_fake_gate_without(OverloadParts::NONE).await
}

/// Starts such a fleet in which these parts of overload control are switched off.
async fn with_fake_gate_without(
    overload_off: OverloadParts,
) -> (crate::support::Fleet, TcpListener) {
    let fleet = fleet_without(&["other", "none"], overload_off).await;
    let ip = "127.200.0.1";
    let port = fleet.gate_port;
    let listener = TcpListener::bind((ip, port))
        .await
        .expect("the gate's port");
    let target: SocketAddr = format!("{ip}:1").parse().expect("an address");
    set_directory(&fleet.directory, "s", vec![member(9, "s", target)]);
    (fleet, listener)
}

/// Builds the first frame of an answer that is twice as long as one part.
fn first_part(id: CallId, request_id: &str) -> ToEntry {
    let ToEntry::Answered { id, head, .. } = answer(id, request_id) else {
        panic!("an answer was expected");
    };
    ToEntry::Answered {
        id,
        head,
        body_bytes: 2 * BODY_PART_BYTES as u64,
        part: vec![b'a'; BODY_PART_BYTES].into(),
    }
}

/// Guards against an entry that takes a long answer before it has the memory, and against a
/// gate that keeps the rest of an answer whose caller has left for as long as its link lasts.
#[tokio::test]
async fn the_rest_of_an_answer_is_requested_or_cancelled() {
    let (fleet, listener) = with_fake_gate_without(CONFIRMATION).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    caller.send("POST", "/pay/x", "id-1", "").await;
    let mut gate = FakeGate::accept(&listener, 1).await;
    let (id, _) = gate.next_call().await;
    let unknown = CallId(id.0 + 1_000);
    gate.send(&first_part(unknown, "id-0")).await;
    assert_eq!(gate.next().await, ToGate::Cancel { id: unknown });
    gate.send(&first_part(id, "id-1")).await;
    assert_eq!(gate.next().await, ToGate::WantsRest { id });
    let part = vec![b'b'; BODY_PART_BYTES].into();
    gate.send(&ToEntry::Body { id, part }).await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.body.len(), 2 * BODY_PART_BYTES);
}

/// Guards against a gate that holds the memory of a body whose entry never sends it, beyond the
/// deadline of the call.
#[tokio::test]
async fn the_memory_of_a_body_that_never_arrives_is_released() {
    let fleet = fleet(&["s"]).await;
    let mut entry = FakeEntry::connect(&fleet).await;
    let resources = Arc::clone(fleet.vms[0].entry.resources());
    let terms = CallTerms {
        deadline_ms: Millis(300),
        ..entry.lookup_terms()
    };
    let id = CallId(1);
    let body_bytes = 1_000_000;
    entry
        .send(&ToGate::Offer {
            id,
            terms,
            body_bytes,
        })
        .await;
    until("the body is requested", || {
        resources.held_bytes() >= body_bytes
    })
    .await;
    assert_eq!(entry.end_of(id).await, Some(CallEnd::Late));
    until("the memory is released", || resources.held_bytes() == 0).await;
}

/// Most gates that are tried refuse the call. If an upload were sent to each of them, it
/// would waste the bandwidth between data centres. Payments are always offered first while
/// attempts must be confirmed, so this is switched off here.
#[tokio::test]
async fn a_large_body_is_sent_only_when_the_gate_requests_it() {
    let (fleet, listener) = with_fake_gate_without(CONFIRMATION).await;
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
    // The gate has refused a call, so from now on the entry offers only the terms.
    let before = gate.read_bytes;
    for _ in 0..2 {
        let ToGate::Offer { id, .. } = gate.next().await else {
            panic!("an offer was expected");
        };
        gate.send(&ToEntry::Ended { id, end }).await;
    }
    let ToGate::Offer { id, body_bytes, .. } = gate.next().await else {
        panic!("an offer was expected");
    };
    let offer_bytes = gate.read_bytes - before;
    assert!(
        offer_bytes <= 3 * MAX_OFFER_BYTES,
        "{offer_bytes} bytes for three offers"
    );
    gate.send(&ToEntry::WantsContent { id }).await;
    let ToGate::Head { head, .. } = gate.next().await else {
        panic!("the head was expected");
    };
    assert_eq!(
        (head.method.as_str(), head.path.as_str()),
        ("POST", "/pay/x")
    );
    let mut received = 0;
    while received < body_bytes {
        let ToGate::Body { part, .. } = gate.next().await else {
            panic!("a part of the body was expected");
        };
        received += part.len() as u64;
    }
    assert_eq!(received, 60_000);
    gate.send(&answer(id, "id-1")).await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 200);
}

/// The link breaks while a payment is at its gate. The entry requests the outcome over a
/// new link, which fences the payment's key, and acts on the gate's answer.
#[tokio::test]
async fn a_payment_whose_link_broke_is_fenced() {
    for (has_run, status) in [(true, 200), (false, 200)] {
        let (fleet, listener) = with_fake_gate().await;
        let mut caller = Caller::connect(fleet.vms[0].callers).await;
        caller.send("POST", "/pay/x", "id-1", "").await;
        let mut gate = FakeGate::accept(&listener, 1).await;
        let (_, terms) = gate.next_call().await;
        drop(gate);
        let mut gate = FakeGate::accept(&listener, 1).await;
        let ToGate::Fence { id, key } = gate.next().await else {
            panic!("a fence request was expected");
        };
        assert_eq!(key, terms.key);
        if has_run {
            gate.send(&answer(id, "id-1")).await;
        } else {
            // The payment did not run and never will with this key, so it may be sent again.
            let end = CallEnd::Fenced;
            gate.send(&ToEntry::Ended { id, end }).await;
            let (id, terms) = gate.next_call().await;
            assert_ne!(terms.key, key);
            gate.send(&answer(id, "id-1")).await;
        }
        assert_eq!(caller.answer().await.expect("an answer").status(), status);
    }
}

/// The gate's process ends while it has a payment, and a new process replaces it. The new
/// one has no record of the payment, so its answer must not be taken as proof that the
/// payment did not run.
#[tokio::test]
async fn a_fence_answer_of_a_new_incarnation_does_not_prove_that_nothing_ran() {
    let (fleet, listener) = with_fake_gate().await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    caller.send("POST", "/pay/x", "id-1", "").await;
    let mut gate = FakeGate::accept(&listener, 1).await;
    gate.next_call().await;
    drop(gate);
    let mut gate = FakeGate::accept(&listener, 2).await;
    let ToGate::Fence { id, .. } = gate.next().await else {
        panic!("a fence request was expected");
    };
    let end = CallEnd::Fenced;
    gate.send(&ToEntry::Ended { id, end }).await;
    tokio::select! {
        answer = caller.answer() => assert_eq!(answer.expect("an answer").status(), 502),
        frame = gate.next() => panic!("the payment was sent again: {frame:?}"),
    }
}

/// The gate's VM fails during a payment, so that the link stays open but silent. The
/// caller gets the answer "unknown" long before its deadline.
#[tokio::test]
async fn a_silent_gate_is_abandoned_before_the_deadline() {
    let (fleet, listener) = with_fake_gate().await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    caller.send("POST", "/pay/x", "id-1", "").await;
    let mut gate = FakeGate::accept(&listener, 1).await;
    gate.next_call().await;
    drop(listener);
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status(), 502);
}

/// Gates receive a lookup and stay silent, as in a network partition that drops packets
/// in one direction only. Each gate may have run the lookup, so the entry tries no more
/// gates than the route allows attempts. While attempts must be confirmed, the second one is
/// only offered (`silence.rs`), so this is switched off here.
#[tokio::test]
async fn a_send_with_unknown_outcome_counts_as_an_attempt() {
    let fleet = fleet_without(&["other", "none"], CONFIRMATION).await;
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

/// A node restarts while the store is unavailable. Without a configuration it would refuse
/// every call until the store returns, so a node that opens a link to it sends it the
/// configuration in force.
#[tokio::test]
async fn a_node_without_configuration_gets_it_from_a_peer() {
    receive_configuration_from_a_peer(0).await;
}

/// Guards against a node that restarts in a fleet whose state exceeds one frame while the
/// store is unavailable, and receives nothing.
#[tokio::test]
async fn a_node_without_configuration_gets_a_state_of_many_targets() {
    receive_configuration_from_a_peer(4_000).await;
}

/// Starts a node without configuration beside peers that know this many targets of another
/// service.
async fn receive_configuration_from_a_peer(other_targets: usize) {
    let fleet = fleet(&["s", "s"]).await;
    let ip = "127.202.0.1".parse().expect("an address");
    let listener = TcpListener::bind((ip, fleet.gate_port))
        .await
        .expect("the gate's port");
    let target = FakeTarget::start(ip, "life-9").await;
    let empty_directory: SharedDirectory = Arc::default();
    let address = target.address;
    let vm = start_vm(
        "s",
        target,
        listener,
        &empty_directory,
        &fleet.source,
        fleet.gate_port,
    )
    .await;
    assert_eq!(
        request(vm.callers, "GET", "/read/x", "id-1").await.status(),
        503
    );

    // The other nodes get the new node in their directory, so that they send calls to it.
    let mut members = vec![member(9, "s", address)];
    for (number, known) in fleet.vms.iter().enumerate() {
        members.push(member(number, "s", known.target.address));
    }
    for number in 0..other_targets {
        members.push(member(100 + number, "other", ([127, 0, 0, 1], 9).into()));
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
    until("the node has received the configuration", || {
        empty_directory.load().routes.is_some()
    })
    .await;
    assert_eq!(empty_directory.load().members.len(), 3 + other_targets);
    assert_eq!(
        request(vm.callers, "GET", "/read/x", "id-2").await.status(),
        200
    );
}

/// A gate receives a lookup and then stays silent, as in a network partition or on a frozen
/// VM. A payment that arrives before the link is closed is refused as not run. If it were
/// sent to the gate, its outcome would be unknown.
#[tokio::test]
async fn no_call_is_sent_to_an_unresponsive_gate() {
    let (fleet, listener) = with_fake_gate().await;
    let callers = fleet.vms[0].callers;
    let lookup = tokio::spawn(request(callers, "GET", "/read/x", "id-1"));
    let mut gate = FakeGate::accept(&listener, 7).await;
    assert!(matches!(
        gate.next_including_pings().await,
        ToGate::Call { .. }
    ));
    assert!(matches!(gate.next_including_pings().await, ToGate::Ping));
    // Twice the time in which the gate must answer a ping.
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let payment = request(callers, "POST", "/pay/x", "id-2").await;
    assert_eq!(payment.status(), 503);
    assert!(payment.field("Retry-After").is_some());
    lookup.await.expect("an answer");
    let mut calls = 0;
    while let Some(frame) = gate.next_unless_closed().await {
        let is_call = matches!(frame, ToGate::Call { .. } | ToGate::Offer { .. });
        calls += u32::from(is_call);
    }
    assert_eq!(calls, 0, "a call was sent to an unresponsive gate");
}

/// A gate answers a ping late. After that, calls are sent over the same link again.
#[tokio::test]
async fn a_gate_that_responds_again_gets_calls_again() {
    let (fleet, listener) = with_fake_gate().await;
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
    let (id, _) = gate.next_call().await;
    gate.send(&answer(id, "id-2")).await;
    assert_eq!(payment.await.expect("an answer").status(), 200);
}
