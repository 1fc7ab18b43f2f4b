//! Callers' connections.

use hornbeamhitch_edge::callers::Leaving;

use crate::support::caller::Caller;
use crate::support::{REQUEST_ID, fleet};

/// The node was told to end while a caller's request is on its way. It is
/// served, and its answer says that the connection ends; what the caller sent
/// behind it stays unread, which to the caller means that it may send it again.
#[tokio::test]
async fn a_leaving_node_answers_what_it_has_read_and_then_closes() {
    let fleet = fleet(&["s"]).await;
    let vm = &fleet.vms[0];
    let mut caller = Caller::connect(vm.callers).await;
    assert_eq!(caller.ask("GET", "/read/ok", "id-1").await.status(), 200);
    vm.leaving.send(Leaving::Announced).expect("a server");
    caller.send("GET", "/read/slow", "id-2", "").await;
    caller.send("GET", "/read/ok", "id-3", "").await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(
        (answer.status(), answer.field("Connection")),
        (200, Some("close"))
    );
    assert!(caller.answer().await.is_err());
    assert_eq!(vm.target.runs_of("id-3"), 0);
}

#[tokio::test]
async fn a_closing_node_ends_connections_at_rest() {
    let fleet = fleet(&["s"]).await;
    let vm = &fleet.vms[0];
    let mut caller = Caller::connect(vm.callers).await;
    assert_eq!(caller.ask("GET", "/read/ok", "id-1").await.status(), 200);
    vm.leaving.send(Leaving::Closing).expect("a server");
    assert!(caller.answer().await.is_err());
}

#[tokio::test]
async fn a_connection_that_the_caller_wants_closed_is_closed_after_its_answer() {
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
async fn a_caller_that_waits_for_leave_gets_it() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let text = format!(
        "POST /read/ok HTTP/1.1\r\nHost: h\r\n{REQUEST_ID}: id-1\r\nExpect: 100-continue\r\n\
         Content-Length: 3\r\n\r\n"
    );
    caller.send_raw(&text).await;
    // The reader of the tests skips the interim answer, so the body can only
    // follow on trust; without leave, the node would never answer.
    caller.send_raw("abc").await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.body, "served 3");
    let ran = fleet.vms[0].target.ran();
    assert!(hornbeamhitch_edge::http1::field(&ran[0].head.fields, "Expect").is_none());
}
