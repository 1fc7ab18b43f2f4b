//! Statements of targets about themselves: limits on requests, and leaving.

use std::time::Duration;

use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::{ToEntry, ToGate};

use crate::links::with_fake_gate;
use crate::support::caller::{Caller, request};
use crate::support::entry_end::FakeEntry;
use crate::support::gate_end::{FakeGate, answer};
use crate::support::{Fleet, fleet};

/// Limit that the target states, in requests per second.
const LIMIT_PER_S: usize = 6;
/// Window in which requests are counted against the limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that a target with this limit tolerates within [`WINDOW`]: one and a half times
/// what the limit allows, and 5 more.
const TOLERATED: usize = 6 * LIMIT_PER_S + 5;
/// Requests that are sent in each burst, within one window.
const BURST: usize = 120;

/// Sends a burst of lookups and returns how they ended; `None` stands for an answer.
async fn ends_of_burst(fleet: &Fleet, entry: &mut FakeEntry) -> Vec<Option<CallEnd>> {
    let started = tokio::time::Instant::now();
    let mut ends = Vec::new();
    for _ in 0..BURST {
        let id = entry.send_lookup().await;
        ends.push(entry.end_of(id).await);
    }
    assert!(started.elapsed() < WINDOW, "the machine is too slow");
    assert!(!fleet.vms[0].target.ran().is_empty());
    ends
}

/// Guards against a target that is pressed far beyond the limit that it states in its
/// answers.
#[tokio::test]
async fn a_gate_keeps_to_the_limit_that_its_target_states() {
    let fleet = fleet(&["s"]).await;
    let limit = LIMIT_PER_S.to_string();
    fleet.vms[0].target.set_max_requests_per_s(Some(&limit));
    let mut entry = FakeEntry::connect(&fleet).await;
    ends_of_burst(&fleet, &mut entry).await;
    let ran = fleet.vms[0].target.ran().len();
    assert!(ran <= TOLERATED, "{ran} requests ran");
}

/// Guards against new work for a target that has stated in an answer that it is leaving,
/// although the list does not show it yet and its health check passes.
#[tokio::test]
async fn a_gate_refuses_calls_after_its_target_has_stated_that_it_leaves() {
    let fleet = fleet(&["s"]).await;
    fleet.vms[0].target.state_leaving(true);
    let mut entry = FakeEntry::connect(&fleet).await;
    let first = entry.send_lookup().await;
    entry.end_of(first).await;
    let ran_before = fleet.vms[0].target.ran().len();
    let second = entry.send_lookup().await;
    assert_eq!(entry.end_of(second).await, Some(CallEnd::Leaving));
    assert_eq!(fleet.vms[0].target.ran().len(), ran_before);
}

/// Guards against a restarted gate that presses a target beyond its limit, although the
/// entries that send the calls have been told, and against a word of entries that counts
/// for more than the target's own.
#[tokio::test]
async fn a_restarted_gate_learns_the_limit_from_entries_until_its_target_answers() {
    let fleet = fleet(&["s"]).await;
    fleet.vms[0].target.set_default_behaviour("slow");
    let mut entry = FakeEntry::connect(&fleet).await;
    entry.notice.max_requests_per_1000_s = Some(1);
    let first = entry.send_lookup().await;
    let second = entry.send_lookup().await;
    let end = entry.end_of(second).await;
    assert!(matches!(end, Some(CallEnd::RateLimited { .. })), "{end:?}");
    assert_eq!(entry.end_of(first).await, None);
    // The answer has stated no limit.
    for _ in 0..2 {
        let id = entry.send_lookup().await;
        assert_eq!(entry.end_of(id).await, None);
    }
}

/// Guards against callers that are held at a target whose limit is used up: they are
/// refused at once, with the time when there is room.
#[tokio::test]
async fn a_caller_is_refused_at_once_with_the_time_when_the_limit_has_room() {
    let fleet = fleet(&["s"]).await;
    fleet.vms[0].target.set_max_requests_per_s(Some("0.1"));
    let callers = fleet.vms[0].callers;
    assert_eq!(
        request(callers, "POST", "/pay/", "id-1").await.status(),
        200
    );
    let started = tokio::time::Instant::now();
    let refused = request(callers, "POST", "/pay/", "id-2").await;
    assert_eq!(refused.status(), 503);
    assert!(started.elapsed() < Duration::from_secs(1));
    let retry_after = refused.field("retry-after").expect("a time");
    let retry_after_s: f64 = retry_after.parse().expect("seconds");
    assert!(retry_after_s > 0.5, "{retry_after_s}");
    assert_eq!(fleet.vms[0].target.run_count("id-2"), 0);
}

/// Guards against requests to a leaving target from an entry that has passed on its
/// statement, whatever the target's gate knows.
#[tokio::test]
async fn an_entry_sends_nothing_to_a_target_that_stated_that_it_leaves() {
    let (fleet, listener) = with_fake_gate().await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    caller.send("GET", "/read/x", "id-1", "").await;
    let mut gate = FakeGate::accept(&listener, 1).await;
    let id = match gate.next().await {
        ToGate::Call { id, .. } | ToGate::Offer { id, .. } => id,
        other => panic!("a call was expected: {other:?}"),
    };
    let mut leaving = answer(id, "id-1");
    if let ToEntry::Answered { head, .. } = &mut leaving {
        head.notice.is_leaving = true;
    }
    gate.send(&leaving).await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 200);
    // The gate is asked for nothing: the caller is refused without it.
    caller.send("GET", "/read/x", "id-2", "").await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 503);
}

/// Guards against a target that stays out of use although it no longer states that it
/// leaves.
#[tokio::test]
async fn a_target_that_withdraws_its_departure_gets_work_again() {
    let fleet = fleet(&["s"]).await;
    fleet.vms[0].target.state_leaving(true);
    let mut entry = FakeEntry::connect(&fleet).await;
    let first = entry.send_lookup().await;
    entry.end_of(first).await;
    fleet.vms[0].target.state_leaving(false);
    let mut end = Some(CallEnd::Leaving);
    let waiting = async {
        while end.is_some() {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let id = entry.send_lookup().await;
            end = entry.end_of(id).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(30), waiting).await;
    assert!(waited.is_ok(), "the target gets no work");
}
