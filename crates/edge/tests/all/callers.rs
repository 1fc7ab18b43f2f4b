//! Connections of callers.

use std::time::Duration;

use hornbeamhitch_edge::callers::DrainPhase;
use hornbeamhitch_edge::http1;

use crate::support::caller::Caller;
use crate::support::log_lines::{keep_lines_of_held_answers, line_of_held_answer};
use crate::support::target::until;
use crate::support::{ACCOUNT_BYTES, DEADLINE_MS, REQUEST_ID, fleet};

/// Guards against losing requests during shutdown. A request that arrives after the
/// shutdown was announced is served, and its answer closes the connection. A pipelined
/// request behind it stays unread, so its caller can safely retry it.
#[tokio::test]
async fn a_draining_node_answers_the_request_it_has_read_and_closes() {
    let fleet = fleet(&["s"]).await;
    let vm = &fleet.vms[0];
    let mut caller = Caller::connect(vm.callers).await;
    assert_eq!(
        caller.request("GET", "/read/ok", "id-1").await.status(),
        200
    );
    vm.drain_phase
        .send(DrainPhase::Announced)
        .expect("a server");
    caller.send("GET", "/read/slow", "id-2", "").await;
    caller.send("GET", "/read/ok", "id-3", "").await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(
        (answer.status(), answer.field("Connection")),
        (200, Some("close"))
    );
    assert!(caller.answer().await.is_err());
    assert_eq!(vm.target.run_count("id-3"), 0);
}

#[tokio::test]
async fn a_closing_node_closes_idle_connections() {
    let fleet = fleet(&["s"]).await;
    let vm = &fleet.vms[0];
    let mut caller = Caller::connect(vm.callers).await;
    assert_eq!(
        caller.request("GET", "/read/ok", "id-1").await.status(),
        200
    );
    vm.drain_phase.send(DrainPhase::Closing).expect("a server");
    assert!(caller.answer().await.is_err());
}

#[tokio::test]
async fn connection_close_of_the_caller_is_honoured_after_the_answer() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let text = format!(
        "GET /read/ok HTTP/1.1\r\nHost: h\r\n{REQUEST_ID}: id-1\r\nConnection: close\r\n\r\n"
    );
    caller.send_raw(&text).await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(
        (answer.status(), answer.field("Connection")),
        (200, Some("close"))
    );
    assert!(caller.answer().await.is_err());
}

/// Guards against targets that work beyond the time that the caller waits. A caller
/// on a bad network needs 400 ms to send its request head and waits 1.5 s in all; the
/// target may only get the time that remains.
#[tokio::test]
async fn a_slow_request_head_counts_against_the_deadline() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    caller
        .send_raw("GET /read/ok HTTP/1.1\r\nHost: h\r\n")
        .await;
    // Waits in many steps, so that the node reads the first part during one of them
    // even if the whole process is paused for a while.
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
    let rest = format!("{REQUEST_ID}: id-1\r\n{DEADLINE_MS}: 1500\r\n\r\n");
    caller.send_raw(&rest).await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 200);

    let ran = fleet.vms[0].target.ran();
    let left_ms: u64 = http1::field(&ran[0].head.fields, DEADLINE_MS)
        .and_then(|left| left.parse().ok())
        .expect("a deadline");
    assert!(left_ms <= 1_100, "{left_ms}");
}

#[tokio::test]
async fn a_head_above_the_limit_is_refused() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let long = "a".repeat(20_000);
    caller
        .send_raw(&format!("GET /read/{long} HTTP/1.1\r\nHost: h\r\n\r\n"))
        .await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 431);
}

#[tokio::test]
async fn a_request_with_expect_continue_is_served() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let text = format!(
        "POST /read/ok HTTP/1.1\r\nHost: h\r\n{REQUEST_ID}: id-1\r\nExpect: 100-continue\r\n\
         Content-Length: 3\r\n\r\n"
    );
    caller.send_raw(&text).await;
    // The test's reader skips the interim answer, so the body is sent without
    // waiting for it.
    caller.send_raw("abc").await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.body, "served 3");
    let ran = fleet.vms[0].target.ran();
    assert!(hornbeamhitch_edge::http1::field(&ran[0].head.fields, "Expect").is_none());
}

/// Guards against exhausting the node's memory. Callers send more bodies at once than
/// the node may buffer. One request is refused with `Retry-After` and does not run; the
/// node serves new requests once the others are done.
#[tokio::test]
async fn bodies_that_exceed_the_nodes_memory_are_refused_and_not_run() {
    let fleet = fleet(&["s"]).await;
    let vm = &fleet.vms[0];
    let half = "b".repeat(usize::try_from(ACCOUNT_BYTES).expect("a small budget") / 2 + 1);
    let mut first = Caller::connect(vm.callers).await;
    first.send("POST", "/pay/slow", "id-1", &half).await;
    until("the first body is at the target", || {
        vm.target.run_count("id-1") == 1
    })
    .await;
    let mut second = Caller::connect(vm.callers).await;
    // The node stops reading midway, so writing the rest may fail.
    second.try_send("POST", "/pay/slow", "id-2", &half).await;
    let refused = second.answer().await.expect("an answer");
    assert_eq!(refused.status(), 503);
    assert!(refused.field("Retry-After").is_some());
    assert_eq!(first.answer().await.expect("an answer").status(), 200);
    let mut third = Caller::connect(vm.callers).await;
    third.send("POST", "/pay/ok", "id-3", &half).await;
    assert_eq!(third.answer().await.expect("an answer").status(), 200);
    assert_eq!(vm.target.run_count("id-2"), 0);
}

/// Guards against answers that wait for their turn unnoticed: `took_ms` ends when an answer
/// is ready. The second answer waits for the first one, which the target holds back.
#[tokio::test]
async fn the_time_that_an_answer_waits_for_earlier_ones_is_reported() {
    keep_lines_of_held_answers();
    let fleet = fleet(&["s"]).await;
    let vm = &fleet.vms[0];
    let mut caller = Caller::connect(vm.callers).await;
    caller.send("GET", "/read/wait", "held-1", "").await;
    caller.send("GET", "/pay/ok", "held-2", "").await;
    until("the second answer is ready", || {
        let text = vm.metrics.render().expect("metrics");
        text.contains("hitch_calls_total{class=\"payment\"")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(30)).await;
    vm.target.release();
    let first = caller.answer().await.expect("an answer");
    let second = caller.answer().await.expect("an answer");
    assert_eq!(
        (first.body.as_str(), second.body.as_str()),
        ("waited", "served 0")
    );

    until("the second answer is logged", || {
        line_of_held_answer("held-2").is_some()
    })
    .await;
    let line = line_of_held_answer("held-2").expect("a line");
    assert_eq!(
        (line["route"].as_str(), line["previous_route"].as_str()),
        ("pay", "read")
    );
    let held_ms: u64 = line["held_ms"].parse().expect("a number");
    assert!(held_ms >= 29, "{held_ms}");
    let text = vm.metrics.render().expect("metrics");
    for series in [
        "hitch_answer_held_milliseconds_bucket{route=\"pay\",le=\"20\"} 0",
        "hitch_answer_held_milliseconds_count{route=\"pay\"} 1",
        "hitch_answer_held_milliseconds_count{route=\"read\"} 1",
    ] {
        assert!(text.contains(series), "{series} is missing in {text}");
    }
}
