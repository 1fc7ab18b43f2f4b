//! What may run only once.

use std::time::Duration;

use crate::support::caller::ask;
use crate::support::fleet;
use crate::support::target::runs;

/// The target runs a payment and answers 500, as it does when a call of its own
/// fails. Sent to a second target, the payment would be taken twice.
#[tokio::test]
async fn a_payment_that_failed_in_its_target_is_not_run_again() {
    let fleet = fleet(&["s", "s"]).await;
    for number in 0..8 {
        let id = format!("id-{number}");
        let answer = ask(fleet.vms[0].callers, "POST", "/pay/fail", &id).await;
        assert_eq!((answer.status(), answer.body.as_str()), (500, "fail"));
    }
    let runs = runs(&[&fleet.vms[0].target, &fleet.vms[1].target]);
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
}

/// The target's connection breaks within the run. Nobody can tell whether the
/// payment was taken, and the caller is not told that it was not.
#[tokio::test]
async fn a_payment_that_broke_has_an_unknown_outcome() {
    for behaviour in ["break", "cut", "garbage", "unsigned"] {
        let fleet = fleet(&["s", "s"]).await;
        let path = format!("/pay/{behaviour}");
        let answer = ask(fleet.vms[0].callers, "POST", &path, "id-1").await;
        assert_eq!(answer.status(), 502, "{behaviour}");
        let runs = runs(&[&fleet.vms[0].target, &fleet.vms[1].target]);
        assert_eq!(runs.values().sum::<usize>(), 1, "{behaviour}");
    }
}

/// A target sheds a payment and states that it did not run. It goes to another.
#[tokio::test]
async fn a_payment_that_was_shed_runs_elsewhere_once() {
    let fleet = fleet(&["s", "s"]).await;
    fleet.vms[0].target.set_default_behaviour("shed");
    for number in 0..4 {
        let answer = ask(
            fleet.vms[0].callers,
            "POST",
            "/pay/",
            &format!("id-{number}"),
        )
        .await;
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(fleet.vms[1].target.ran().len(), 4);
}

/// A target answers 503 without stating that it did not run the request. To
/// the caller of a payment, 503 would mean that it may be sent again.
#[tokio::test]
async fn a_status_that_promises_not_run_is_not_taken_over_without_proof() {
    let fleet = fleet(&["s"]).await;
    let answer = ask(fleet.vms[0].callers, "POST", "/pay/full", "id-1").await;
    assert_eq!(answer.status(), 502);
}

/// A target forgets a connection that rested for a while, and resets what comes
/// next on it. The payment did not run, but nobody could tell; so it is sent on
/// a connection of its own.
#[tokio::test]
async fn a_payment_is_not_sent_on_a_connection_that_rested() {
    let fleet = fleet(&["s"]).await;
    let target = &fleet.vms[0].target;
    // Longer than the gate lets a payment's connection rest.
    target.reset_idle_after(Duration::from_millis(260));
    // Three connections rest; the gate's question for the speed takes one.
    let callers = fleet.vms[0].callers;
    let (one, two, three) = tokio::join!(
        ask(callers, "GET", "/read/slow", "id-1"),
        ask(callers, "GET", "/read/slow", "id-2"),
        ask(callers, "GET", "/read/slow", "id-3"),
    );
    assert!(
        [one, two, three]
            .iter()
            .all(|answer| answer.status() == 200)
    );
    tokio::time::sleep(Duration::from_millis(400)).await;
    let answer = ask(callers, "POST", "/pay/ok", "id-4").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(target.runs_of("id-4"), 1);
}
