//! When the own target counts as idle, so that a call at its node is a caller's.

use std::time::{Duration, Instant};

use crate::support::caller::{Caller, request};
use crate::support::fleet;
use crate::support::target::until;

/// Guards against taking a nested call for a caller's. A run is in flight until its answer
/// is read. A run whose caller has left goes on in its target, and makes its calls, up to
/// its deadline.
#[tokio::test]
async fn a_target_is_not_idle_while_it_may_work_on_a_run() {
    let fleet = fleet(&["s"]).await;
    let vm = &fleet.vms[0];
    assert!(!vm.gate.is_target_idle(), "runs of an earlier process");
    until("the target is idle", || vm.gate.is_target_idle()).await;
    let answer = request(vm.callers, "GET", "/read/x", "id-0").await;
    assert_eq!(answer.status(), 200);
    until("the answered run has settled", || vm.gate.is_target_idle()).await;

    let mut caller = Caller::connect(vm.callers).await;
    let started = Instant::now();
    caller.send("GET", "/read/hang", "id-1", "").await;
    until("the lookup runs", || vm.target.run_count("id-1") == 1).await;
    assert!(!vm.gate.is_target_idle(), "a run is in flight");
    drop(caller);
    until("the lookup is cancelled", || vm.target.cancelled() == 1).await;
    until("no call is at the gate", || vm.gate.is_idle()).await;
    until("the target is idle", || vm.gate.is_target_idle()).await;
    // The deadline of the lookup, less the time until it reached the gate.
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_millis(1_900), "after {elapsed:?}");

    let answer = request(vm.callers, "GET", "/read/fail", "id-2").await;
    assert_eq!(answer.status(), 500);
    assert!(vm.gate.is_idle());
    assert!(!vm.gate.is_target_idle(), "the run has failed");
}
