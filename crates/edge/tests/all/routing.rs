//! Which requests reach a target, and in which form.

use std::sync::Arc;

use hornbeamhitch_edge::directory::{AsOf, Directory};
use hornbeamhitch_edge::http1;
use hornbeamhitch_edge::prelude::*;

use crate::support::caller::{Caller, request, send_lookups};
use crate::support::{
    CALLER_SERVICE, DEADLINE_MS, DIGEST, EXPECTED_TARGET, LOAD, REQUEST_ID, fleet, member,
    set_directory,
};

#[tokio::test]
async fn a_request_and_its_answer_are_relayed_unchanged() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let text = format!(
        "POST /read/a%20b?x=1&y= HTTP/1.1\r\nHost: h\r\n{REQUEST_ID}: id-1\r\n{DEADLINE_MS}: 1500\r\n\
         {CALLER_SERVICE}: forged\r\n{EXPECTED_TARGET}: forged\r\nX-Sent: by caller\r\n\
         Connection: X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    );
    caller.send_raw(&text).await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "served 3"));
    assert_eq!(answer.field(DIGEST), Some("d-id-1"));
    assert_eq!(answer.field("X-Own"), Some("kept"));
    assert_eq!(answer.field(LOAD), None);

    let ran = fleet.vms[0].target.ran();
    let fields = &ran[0].head.fields;
    let seen = |name| http1::field(fields, name);
    assert_eq!(ran[0].head.path, "/read/a%20b?x=1&y=");
    assert_eq!(
        (ran[0].head.method.as_str(), ran[0].body.as_slice()),
        ("POST", &b"abc"[..])
    );
    assert_eq!(seen("X-Sent"), Some("by caller"));
    assert_eq!(seen("X-Hop"), None);
    assert_eq!(seen(CALLER_SERVICE), Some("s"));
    assert_eq!(seen(EXPECTED_TARGET), Some("life-0"));
    let left_ms: u64 = seen(DEADLINE_MS)
        .and_then(|left| left.parse().ok())
        .expect("a deadline");
    assert!((1_000..=1_500).contains(&left_ms), "{left_ms}");
}

#[tokio::test]
async fn a_call_without_a_local_target_runs_through_another_vms_gate() {
    let fleet = fleet(&["s", "other"]).await;
    let answer = request(fleet.vms[1].callers, "GET", "/read/x", "id-1").await;
    assert_eq!(answer.status(), 200);
    let ran = fleet.vms[0].target.ran();
    assert_eq!(
        http1::field(&ran[0].head.fields, CALLER_SERVICE),
        Some("other")
    );
}

#[tokio::test]
async fn unroutable_requests_are_refused_with_their_reason() {
    let fleet = fleet(&["s"]).await;
    let callers = fleet.vms[0].callers;
    assert_eq!(
        request(callers, "GET", "/none/x", "id-1").await.status(),
        404
    );
    let mut caller = Caller::connect(callers).await;
    caller
        .send_raw("GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n")
        .await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 400);
    fleet.directory.store(Arc::new(Directory::default()));
    let answer = request(callers, "GET", "/read/x", "id-2").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.field("Retry-After").is_some());
    assert!(fleet.vms[0].target.ran().is_empty());
}

/// Guards against a 404 for a route that was added, from a node that knows of a newer
/// configuration and does not have it yet.
#[tokio::test]
async fn an_unknown_route_may_be_retried_while_a_newer_configuration_is_known() {
    let fleet = fleet(&["s"]).await;
    let callers = fleet.vms[0].callers;
    let routes_lag = fleet.directory.load().routes_lag.clone();
    routes_lag.note_behind(Millis(1));
    let answer = request(callers, "GET", "/none/x", "id-1").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.field("Retry-After").is_some());
    assert_eq!(
        request(callers, "GET", "/read/x", "id-2").await.status(),
        200
    );
    routes_lag.note_current();
    let answer = request(callers, "GET", "/none/x", "id-3").await;
    assert_eq!(answer.status(), 404);
}

/// Guards against a 404 from a node that has just started with the state of another node, which
/// no source has confirmed.
#[tokio::test]
async fn an_unknown_route_may_be_retried_while_the_configuration_is_unconfirmed() {
    let fleet = fleet(&["s"]).await;
    let callers = fleet.vms[0].callers;
    let known = fleet.directory.load_full();
    fleet.directory.store(Arc::new(Directory {
        as_of: AsOf::default(),
        ..Directory::clone(&known)
    }));
    let answer = request(callers, "GET", "/none/x", "id-1").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.field("Retry-After").is_some());
    let answer = request(callers, "GET", "/read/x", "id-2").await;
    assert_eq!(answer.status(), 200);
}

/// Guards against request smuggling. A request states its length in two ways, so that
/// one reader takes the rest for the body and the next one for a second request.
#[tokio::test]
async fn a_smuggled_request_reaches_no_target() {
    let fleet = fleet(&["s"]).await;
    let mut caller = Caller::connect(fleet.vms[0].callers).await;
    let text = format!(
        "POST /read/x HTTP/1.1\r\nHost: h\r\n{REQUEST_ID}: id-1\r\nContent-Length: 5\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/y HTTP/1.1\r\nHost: h\r\n{REQUEST_ID}: id-2\r\n\r\n"
    );
    caller.send_raw(&text).await;
    assert_eq!(caller.answer().await.expect("an answer").status(), 400);
    assert!(caller.answer().await.is_err());
    assert!(fleet.vms[0].target.ran().is_empty());
}

/// Guards against new work for a draining target. Neither an entry nor its gate may
/// start calls in it; they run in the other target.
#[tokio::test]
async fn a_draining_target_receives_no_new_calls() {
    let fleet = fleet(&["s", "s"]).await;
    let mut draining = member(0, "s", fleet.vms[0].target.address);
    draining.draining = true;
    let open = member(1, "s", fleet.vms[1].target.address);
    set_directory(&fleet.directory, "s", vec![draining, open]);
    send_lookups(fleet.vms[0].callers, 20).await;
    assert!(fleet.vms[0].target.ran().is_empty());
    assert_eq!(fleet.vms[1].target.ran().len(), 20);
}

/// Guards against running a call in the wrong target. The address of a target that has
/// ended belongs to another one, but the list is still stale.
#[tokio::test]
async fn a_target_of_another_incarnation_runs_nothing() {
    let fleet = fleet(&["s"]).await;
    let wrong = member(7, "s", fleet.vms[0].target.address);
    set_directory(&fleet.directory, "s", vec![wrong]);
    let answer = request(fleet.vms[0].callers, "POST", "/pay/x", "id-1").await;
    assert_eq!(answer.status(), 503);
    assert!(fleet.vms[0].target.ran().is_empty());
}
