//! Non-idempotent calls run at most once.

use std::time::Duration;

use crate::support::caller::request;
use crate::support::fleet;
use crate::support::target::runs;

/// Guards against running a payment twice. The target runs it and answers 500, as it
/// does when one of its own calls fails; a retry on a second target would charge twice.
#[tokio::test]
async fn a_payment_that_failed_in_its_target_is_not_retried() {
    let fleet = fleet(&["s", "s"]).await;
    for number in 0..8 {
        let id = format!("id-{number}");
        let answer = request(fleet.vms[0].callers, "POST", "/pay/fail", &id).await;
        assert_eq!((answer.status(), answer.body.as_str()), (500, "fail"));
    }
    let runs = runs(&[&fleet.vms[0].target, &fleet.vms[1].target]);
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
}

/// Guards against reporting a payment as not run when its outcome is unknown, because
/// the target's answer broke during the run.
#[tokio::test]
async fn a_payment_whose_connection_broke_has_an_unknown_outcome() {
    for behaviour in ["break", "cut", "garbage", "unsigned"] {
        let fleet = fleet(&["s", "s"]).await;
        let path = format!("/pay/{behaviour}");
        let answer = request(fleet.vms[0].callers, "POST", &path, "id-1").await;
        assert_eq!(answer.status(), 502, "{behaviour}");
        let runs = runs(&[&fleet.vms[0].target, &fleet.vms[1].target]);
        assert_eq!(runs.values().sum::<usize>(), 1, "{behaviour}");
    }
}

/// A target sheds payments and states that they did not run, so they are retried on
/// the other target.
#[tokio::test]
async fn a_shed_payment_runs_once_on_another_target() {
    let fleet = fleet(&["s", "s"]).await;
    fleet.vms[0].target.set_default_behaviour("shed");
    for number in 0..4 {
        let answer = request(
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

/// Guards against a false promise that a payment has not run. The target answers 503
/// without stating that it did not run the request; the caller of a payment would take
/// a relayed 503 as permission to retry.
#[tokio::test]
async fn a_503_without_a_not_run_statement_is_not_relayed_for_a_payment() {
    let fleet = fleet(&["s"]).await;
    let answer = request(fleet.vms[0].callers, "POST", "/pay/full", "id-1").await;
    assert_eq!(answer.status(), 502);
}

/// Guards against an unknown outcome caused by an idle connection. A target drops
/// connections that were idle for a while and resets the next request on them, which
/// leaves it open whether a payment ran. So payments use no connection that was idle
/// for long.
#[tokio::test]
async fn a_payment_is_not_sent_on_an_idle_connection() {
    let fleet = fleet(&["s"]).await;
    let target = &fleet.vms[0].target;
    // Longer than the gate reuses an idle connection for a payment.
    target.reset_idle_after(Duration::from_millis(260));
    // Leaves three idle connections; the gate's speed probe uses one of them.
    let callers = fleet.vms[0].callers;
    let (one, two, three) = tokio::join!(
        request(callers, "GET", "/read/slow", "id-1"),
        request(callers, "GET", "/read/slow", "id-2"),
        request(callers, "GET", "/read/slow", "id-3"),
    );
    assert!(
        [one, two, three]
            .iter()
            .all(|answer| answer.status() == 200)
    );
    tokio::time::sleep(Duration::from_millis(400)).await;
    let answer = request(callers, "POST", "/pay/ok", "id-4").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(target.run_count("id-4"), 1);
}
