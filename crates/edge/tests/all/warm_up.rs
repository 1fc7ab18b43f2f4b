//! Cold targets, which crash if they receive many requests in a second.

use hornbeamhitch_dispatch::gate::warm_up::WarmUp;
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::{CallId, ToEntry, ToGate};

use crate::links::with_fake_gate;
use crate::support::caller::Caller;
use crate::support::entry_end::FakeEntry;
use crate::support::gate_end::{FakeGate, answer};
use crate::support::{Fleet, fleet, set_warm_up};

/// Requests that are sent at once, far more than a cold target tolerates.
const BURST: usize = 40;
/// Admission rate of cold targets in these tests.
const WARM_UP: WarmUp = WarmUp {
    duration_ms: Millis(60_000),
    requests_per_1000_s: 6_000,
};
/// Requests that a cold target tolerates in a second.
const TOLERATED: usize = 6;

/// Sends a burst of lookups, and returns how many the target ran.
async fn run_burst(fleet: &Fleet) -> usize {
    let mut entry = FakeEntry::connect(fleet).await;
    for _ in 0..BURST {
        let id = entry.send_lookup().await;
        let end = entry.end_of(id).await;
        assert!(
            matches!(end, None | Some(CallEnd::WarmingUp { .. })),
            "{end:?}"
        );
    }
    fleet.vms[0].target.ran().len()
}

/// Guards against a target that crashes again each time it comes back, because its gate
/// passes on whatever entries send.
#[tokio::test]
async fn a_gate_limits_the_requests_to_a_cold_target() {
    let fleet = fleet(&["s"]).await;
    set_warm_up(&fleet.directory, "s", WARM_UP);
    // The target became cold after the gate had started.
    fleet.vms[0].target.set_warm_up_left_ms(Some(60_000));
    tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    let ran = run_burst(&fleet).await;
    assert!((1..=TOLERATED).contains(&ran), "{ran} requests ran");
}

#[tokio::test]
async fn a_gate_does_not_limit_the_requests_to_a_warm_target() {
    let fleet = fleet(&["s"]).await;
    set_warm_up(&fleet.directory, "s", WARM_UP);
    assert_eq!(run_burst(&fleet).await, BURST);
}

/// Returns the id and the queueing time of the next call that the entry sends.
async fn next_call(gate: &mut FakeGate) -> (CallId, Millis) {
    match gate.next().await {
        ToGate::Call { id, terms, .. } | ToGate::Offer { id, terms, .. } => {
            (id, terms.max_queue_ms)
        }
        other => panic!("a call was expected: {other:?}"),
    }
}

/// Guards against calls that ask the gates of cold targets again and again: a gate that
/// is free soon gets the call once more, and queues it until then.
#[tokio::test]
async fn a_call_is_queued_at_a_gate_that_is_free_soon() {
    let (fleet, listener) = with_fake_gate().await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    caller.send("GET", "/read/x", "id-1", "").await;
    let mut gate = FakeGate::accept(&listener, 1).await;
    let (id, _) = next_call(&mut gate).await;
    let free_in_ms = Millis(100);
    let end = CallEnd::WarmingUp { free_in_ms };
    gate.send(&ToEntry::Ended { id, end }).await;
    let (id, max_queue_ms) = next_call(&mut gate).await;
    assert!(max_queue_ms > Millis(60), "queued for {max_queue_ms}");
    gate.send(&answer(id, "id-1")).await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 200);
}

/// Guards against callers that are held until their deadline where it is known that no
/// target can run the call in time, and against a `Retry-After` that is too early.
#[tokio::test]
async fn a_call_is_refused_at_once_if_every_gate_is_free_too_late() {
    let (fleet, listener) = with_fake_gate().await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    caller.send("POST", "/pay/x", "id-1", "").await;
    let mut gate = FakeGate::accept(&listener, 1).await;
    let (id, _) = next_call(&mut gate).await;
    let free_in_ms = Millis(1_500);
    let end = CallEnd::WarmingUp { free_in_ms };
    gate.send(&ToEntry::Ended { id, end }).await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status(), 503);
    let retry_after: f64 = answer
        .field("retry-after")
        .expect("a time")
        .parse()
        .expect("seconds");
    // A third of the two seconds that the route allows.
    assert!(retry_after > 0.5, "{retry_after} s");
}
