//! Deadlines, refusals and callers that leave.

use std::time::{Duration, Instant};

use crate::support::caller::{Caller, ask, look_up};
use crate::support::fleet;
use crate::support::target::until;

/// The target never answers. The caller has its answer at the route's timeout,
/// although it would wait longer itself, and the target's work is stopped.
#[tokio::test]
async fn a_call_ends_at_the_timeout_of_its_route() {
    let fleet = fleet(&["s"]).await;
    let began = Instant::now();
    let answer = ask(fleet.vms[0].callers, "GET", "/short/hang", "id-1").await;
    assert_eq!(answer.status(), 504);
    // The route's timeout is 300 ms and the caller's own 2 s.
    assert!(began.elapsed() < Duration::from_millis(1_500));
    let target = &fleet.vms[0].target;
    until("the run is cancelled", || target.cancelled() == 1).await;
}

#[tokio::test]
async fn a_caller_that_leaves_stops_the_work_on_its_lookup() {
    let fleet = fleet(&["s", "other"]).await;
    for vm in &fleet.vms {
        let mut caller = Caller::connect(vm.callers).await;
        let before = fleet.vms[0].target.cancelled();
        let ran = fleet.vms[0].target.ran().len();
        caller.send("GET", "/read/hang", "id-1", "").await;
        let target = &fleet.vms[0].target;
        until("the lookup runs", || target.ran().len() > ran).await;
        drop(caller);
        until("the lookup is cancelled", || target.cancelled() > before).await;
    }
}

/// The only target is in a slow spell that does not end. The lookup is refused
/// with when to come back, and has not run.
#[tokio::test]
async fn a_call_that_no_fast_target_takes_is_refused_truthfully() {
    let fleet = fleet(&["s"]).await;
    fleet.vms[0].target.set_slowness(5_000);
    let answer = ask(fleet.vms[0].callers, "POST", "/pay/x", "id-1").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.field("Retry-After").is_some());
    assert!(fleet.vms[0].target.ran().is_empty());
}

/// One of two targets is in a slow spell. The lookup runs in the other.
#[tokio::test]
async fn a_lookup_goes_round_a_slow_target() {
    let fleet = fleet(&["s", "s"]).await;
    fleet.vms[0].target.set_slowness(500);
    look_up(fleet.vms[0].callers, 10).await;
    assert_eq!(fleet.vms[1].target.ran().len(), 10);
}

#[tokio::test]
async fn a_target_that_cannot_be_reached_is_gone_round() {
    let fleet = fleet(&["s", "s"]).await;
    fleet.vms[0].target.set_default_behaviour("hang");
    // The first target holds the lookup; after two and a half usual runs it
    // counts as stuck, and the second one is asked beside it.
    let answer = ask(fleet.vms[0].callers, "GET", "/read/", "id-1").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(fleet.vms[1].target.runs_of("id-1"), 1);
}

/// A target fails its health checks while it starts, tells its load once it is
/// up, and falls into a slow spell later. Payments that meet the spell are
/// refused: a gate that had given up asking would start them all in it.
#[tokio::test]
async fn a_target_that_told_no_load_at_first_is_asked_again() {
    let fleet = fleet(&["s"]).await;
    let target = &fleet.vms[0].target;
    target.set_starting(true);
    let first = ask(fleet.vms[0].callers, "POST", "/pay/x", "id-0").await;
    assert_eq!(first.status(), 200);
    target.set_starting(false);
    target.set_slowness(5_000);
    for number in 1..100 {
        let id = format!("id-{number}");
        let answer = ask(fleet.vms[0].callers, "POST", "/pay/x", &id).await;
        if answer.status() == 503 {
            assert_eq!(target.runs_of(&id), 0);
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the load is not read again");
}
