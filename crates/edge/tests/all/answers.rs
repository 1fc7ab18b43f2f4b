//! Whole answers of one's own, and nothing else.

use crate::support::caller::{Caller, ask};
use crate::support::{DIGEST, fleet};

/// A target breaks off, answers nonsense or leaves out its digest. A lookup is
/// sent to another target, and its caller gets that one's whole answer.
#[tokio::test]
async fn a_spoilt_answer_of_a_lookup_is_replaced_by_a_whole_one() {
    for behaviour in ["break", "cut", "garbage", "unsigned", "fail"] {
        let fleet = fleet(&["s", "s"]).await;
        fleet.vms[0].target.set_default_behaviour(behaviour);
        for number in 0..4 {
            let answer = ask(
                fleet.vms[0].callers,
                "GET",
                "/read/",
                &format!("id-{number}"),
            )
            .await;
            let got = (answer.status(), answer.body.as_str());
            assert_eq!(got, (200, "served 0"), "{behaviour}");
        }
    }
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_whole() {
    let fleet = fleet(&["s"]).await;
    let answer = ask(fleet.vms[0].callers, "GET", "/read/until-close", "id-1").await;
    assert_eq!((answer.status(), answer.body.as_str()), (200, "open"));
}

/// A target answers a request twice. The second answer lies on the kept
/// connection when the next request is sent there.
#[tokio::test]
async fn a_second_answer_reaches_nobody() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    for number in 0..6 {
        let path = if number % 2 == 0 {
            "/read/twice"
        } else {
            "/read/ok"
        };
        let id = format!("id-{number}");
        let answer = caller.ask("GET", path, &id).await;
        assert_eq!(answer.field(DIGEST), Some(format!("d-{id}").as_str()));
        assert_ne!(answer.body, "second");
    }
}

#[tokio::test]
async fn an_answer_to_another_request_is_skipped() {
    let fleet = fleet(&["s"]).await;
    let answer = ask(fleet.vms[0].callers, "POST", "/pay/foreign", "id-1").await;
    assert_eq!((answer.status(), answer.body.as_str()), (200, "mine"));
    assert_eq!(fleet.vms[0].target.runs_of("id-1"), 1);
}

/// A target answers before it has read a long body and reads on later. The next
/// request on that connection would be taken for the rest of the body.
#[tokio::test]
async fn a_connection_with_an_early_answer_is_not_used_again() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let body = "b".repeat(8 * 1024 * 1024);
    caller.send("POST", "/pay/early", "id-1", &body).await;
    assert_eq!(caller.answer().await.expect("an answer").body, "early");
    let answer = caller.ask("GET", "/read/ok", "id-2").await;
    assert_eq!((answer.status(), answer.body.as_str()), (200, "served 0"));
    assert_eq!(fleet.vms[0].target.runs_of("id-2"), 1);
}

/// A caller sends lookups one behind the other without waiting. All run side by
/// side; the answers come in the order of the requests.
#[tokio::test]
async fn pipelined_lookups_run_side_by_side_and_are_answered_in_order() {
    let fleet = fleet(&["s", "s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let began = std::time::Instant::now();
    for number in 0..4 {
        let path = if number == 0 {
            "/read/slow"
        } else {
            "/read/ok"
        };
        caller.send("GET", path, &format!("id-{number}"), "").await;
    }
    crate::support::target::until("the last lookup runs beside the first", || {
        let vms = &fleet.vms;
        vms.iter().any(|vm| vm.target.runs_of("id-3") == 1)
    })
    .await;
    let before_first = began.elapsed();
    for number in 0..4 {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(
            answer.field(DIGEST),
            Some(format!("d-id-{number}").as_str())
        );
    }
    // The slow one takes 120 ms; had the others waited for it, the last would
    // have started only after that.
    assert!(before_first < began.elapsed());
}

/// Each new connection costs the target about a millisecond of a slot.
#[tokio::test]
async fn requests_one_after_the_other_share_a_connection_to_the_target() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    for number in 0..20 {
        let answer = caller.ask("GET", "/read/ok", &format!("id-{number}")).await;
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(fleet.vms[0].target.connections(), 1);
}
