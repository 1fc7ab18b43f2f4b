//! Each caller receives the complete answer to its own request and nothing else.

use crate::support::caller::{Caller, request};
use crate::support::{DIGEST, fleet};

/// Guards against relaying a broken answer. A target breaks the connection, cuts the
/// answer, sends garbage, omits its digest or fails; the lookup is retried on another
/// target, and the caller receives that target's complete answer.
#[tokio::test]
async fn a_lookup_with_a_broken_answer_is_retried_on_another_target() {
    for behaviour in ["break", "cut", "garbage", "no-status", "unsigned", "fail"] {
        let fleet = fleet(&["s", "s"]).await;
        fleet.vms[0].target.set_default_behaviour(behaviour);
        for number in 0..4 {
            let answer = request(
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
async fn an_answer_delimited_by_connection_close_is_complete() {
    let fleet = fleet(&["s"]).await;
    let answer = request(fleet.vms[0].callers, "GET", "/read/until-close", "id-1").await;
    assert_eq!((answer.status(), answer.body.as_str()), (200, "open"));
}

/// Guards against taking a part of an answer for the whole one. The target answers a long
/// upload at once without a length, and resets the connection while the upload is still being
/// written. The failed write then reports the reset, and the read sees a plain end.
#[tokio::test]
async fn an_answer_without_a_length_that_is_reset_is_not_complete() {
    let fleet = fleet(&["s"]).await;
    let body = "b".repeat(12 * 1024 * 1024);
    for delay_ms in [0, 5, 50, 200] {
        let mut caller = Caller::connect(fleet.vms[0].callers).await;
        let path = format!("/pay/early-reset-{delay_ms}");
        let id = format!("id-{delay_ms}");
        caller.send("POST", &path, &id, &body).await;
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(answer.status(), 502, "{path}: {}", answer.body);
        assert_eq!(fleet.vms[0].target.run_count(&id), 1);
    }
}

/// Guards against taking a duplicate answer for the answer to the next request. A
/// target answers a request twice, and the second answer is still unread on the
/// connection when the next request is sent.
#[tokio::test]
async fn an_unsolicited_second_answer_reaches_no_caller() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    for number in 0..6 {
        let path = if number % 2 == 0 {
            "/read/twice"
        } else {
            "/read/ok"
        };
        let id = format!("id-{number}");
        let answer = caller.request("GET", path, &id).await;
        assert_eq!(answer.field(DIGEST), Some(format!("d-{id}").as_str()));
        assert_ne!(answer.body, "second");
    }
}

#[tokio::test]
async fn an_answer_to_another_request_is_skipped() {
    let fleet = fleet(&["s"]).await;
    let answer = request(fleet.vms[0].callers, "POST", "/pay/foreign", "id-1").await;
    assert_eq!((answer.status(), answer.body.as_str()), (200, "mine"));
    assert_eq!(fleet.vms[0].target.run_count("id-1"), 1);
}

/// Guards against reusing a connection with an unfinished body. A target answers
/// before it has read a long body and would take the next request on the connection
/// for the rest of that body.
#[tokio::test]
async fn a_connection_with_an_early_answer_is_not_reused() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let body = "b".repeat(8 * 1024 * 1024);
    caller.send("POST", "/pay/early", "id-1", &body).await;
    assert_eq!(caller.answer().await.expect("an answer").body, "early");
    let answer = caller.request("GET", "/read/ok", "id-2").await;
    assert_eq!((answer.status(), answer.body.as_str()), (200, "served 0"));
    assert_eq!(fleet.vms[0].target.run_count("id-2"), 1);
}

/// A caller sends several lookups without waiting for answers. All run concurrently,
/// and the answers come in the order of the requests.
#[tokio::test]
async fn pipelined_lookups_run_concurrently_and_are_answered_in_order() {
    let fleet = fleet(&["s", "s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let started = std::time::Instant::now();
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
        vms.iter().any(|vm| vm.target.run_count("id-3") == 1)
    })
    .await;
    let before_first = started.elapsed();
    for number in 0..4 {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!(
            answer.field(DIGEST),
            Some(format!("d-id-{number}").as_str())
        );
    }
    // The slow lookup takes 120 ms. If the others had waited for it, the last one
    // would have started only after that.
    assert!(before_first < started.elapsed());
}

/// Guards against a new connection per request, each of which occupies a slot of the
/// target for about a millisecond.
#[tokio::test]
async fn sequential_requests_share_a_connection_to_the_target() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    for number in 0..20 {
        let answer = caller
            .request("GET", "/read/ok", &format!("id-{number}"))
            .await;
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(fleet.vms[0].target.connections(), 1);
}
