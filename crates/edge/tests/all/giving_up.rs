//! Deadlines, refusals and callers that disconnect.

use std::time::{Duration, Instant};

use crate::support::caller::{Caller, request, send_lookups};
use crate::support::fleet;
use crate::support::target::until;

/// Guards against waiting beyond the route's timeout. The target never answers, and
/// the caller itself would wait longer. It is answered at the timeout, and the run in
/// the target is cancelled.
#[tokio::test]
async fn a_call_ends_at_the_timeout_of_its_route() {
    let fleet = fleet(&["s"]).await;
    let started = Instant::now();
    let answer = request(fleet.vms[0].callers, "GET", "/short/hang", "id-1").await;
    assert_eq!(answer.status(), 504);
    // The route's timeout is 300 ms and the caller's own 2 s.
    assert!(started.elapsed() < Duration::from_millis(1_500));
    let target = &fleet.vms[0].target;
    until("the run is cancelled", || target.cancelled() == 1).await;
}

#[tokio::test]
async fn a_callers_disconnect_cancels_its_lookup() {
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

/// The only target stays slow for the whole call. The payment is refused with
/// `Retry-After` and does not run.
#[tokio::test]
async fn a_call_that_finds_only_a_slow_target_is_refused_and_not_run() {
    let fleet = fleet(&["s"]).await;
    fleet.vms[0].target.set_slowness(5_000);
    let answer = request(fleet.vms[0].callers, "POST", "/pay/x", "id-1").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.field("Retry-After").is_some());
    assert!(fleet.vms[0].target.ran().is_empty());
}

/// One of two targets is slow, so all lookups run in the other.
#[tokio::test]
async fn a_lookup_avoids_a_slow_target() {
    let fleet = fleet(&["s", "s"]).await;
    fleet.vms[0].target.set_slowness(500);
    send_lookups(fleet.vms[0].callers, 10).await;
    assert_eq!(fleet.vms[1].target.ran().len(), 10);
}

#[tokio::test]
async fn a_lookup_stuck_in_one_target_is_hedged_to_another() {
    let fleet = fleet(&["s", "s"]).await;
    fleet.vms[0].target.set_default_behaviour("hang");
    // The lookup hangs in the first target. After 2.5 times the expected run time it
    // counts as stuck, and a hedge is sent to the second target.
    let answer = request(fleet.vms[0].callers, "GET", "/read/", "id-1").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(fleet.vms[1].target.run_count("id-1"), 1);
}

/// Guards against a gate that stops probing a target for good. The target fails its
/// health checks while it starts, reports its load once it is up, and becomes slow
/// later. The gate must notice and refuse payments instead of starting them all.
#[tokio::test]
async fn a_target_that_reported_no_load_at_first_is_probed_again() {
    let fleet = fleet(&["s"]).await;
    let target = &fleet.vms[0].target;
    target.set_starting(true);
    let first = request(fleet.vms[0].callers, "POST", "/pay/x", "id-0").await;
    assert_eq!(first.status(), 200);
    target.set_starting(false);
    target.set_slowness(5_000);
    for number in 1..100 {
        let id = format!("id-{number}");
        let answer = request(fleet.vms[0].callers, "POST", "/pay/x", &id).await;
        if answer.status() == 503 {
            assert_eq!(target.run_count(&id), 0);
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the gate did not probe the load again");
}
