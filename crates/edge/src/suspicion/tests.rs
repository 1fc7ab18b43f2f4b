//! Tests of suspected requests, on nodes that exchange notices directly.

use super::*;

fn two_nodes() -> (Suspicion, Suspicion) {
    let clock = ProcessClock::start();
    (Suspicion::new(clock), Suspicion::new(clock))
}

/// Delivers all notices of one node to another.
fn send_all_notices(from: &Suspicion, to: &Suspicion) {
    for notice in from.subscribe().0 {
        to.merge_notice(&notice);
    }
}

/// Targets crash repeatedly for unrelated reasons while a common lookup is in flight. The
/// lookup succeeds between the crashes, so no node rejects it.
#[test]
fn a_request_that_also_succeeds_is_never_convicted() {
    let (node, _) = two_nodes();
    for _ in 0..10 {
        node.observe_crash(&[7, 8]);
        node.note_success(7);
    }
    assert!(!node.is_convicted(7));
    assert!(node.is_convicted(8));
}

#[test]
fn a_second_crash_as_the_only_request_convicts_on_every_node() {
    let (one, other) = two_nodes();
    one.observe_crash(&[7]);
    send_all_notices(&one, &other);
    assert!(!other.is_convicted(7));
    other.observe_crash(&[7]);
    send_all_notices(&other, &one);
    assert!(one.is_convicted(7) && other.is_convicted(7));
    // A successful request with the same fingerprint does not lift the conviction.
    one.note_success(7);
    assert!(one.is_convicted(7));
}

/// Guards against merging crashes that several nodes observe at the same time into one.
#[test]
fn crashes_on_several_nodes_at_the_same_time_are_all_counted() {
    let clock = ProcessClock::start();
    let nodes: Vec<Suspicion> = (0..4).map(|_| Suspicion::new(clock)).collect();
    for node in &nodes {
        // A second request is in flight, and a different one on each node.
        node.observe_crash(&[7, 8]);
    }
    for _ in 0..2 {
        for from in &nodes {
            for to in &nodes {
                send_all_notices(from, to);
            }
        }
    }
    for node in &nodes {
        assert!(node.is_convicted(7));
    }
}

#[test]
fn a_notice_with_an_unknown_standing_is_dropped() {
    let (node, _) = two_nodes();
    let mut notice = SuspectNotice {
        fingerprint: 7,
        version: 1,
        standing: "unheard-of".to_owned(),
        crashes: 9,
        age_ms: Millis::ZERO,
    };
    node.merge_notice(&notice);
    assert!(!node.is_convicted(7));
    notice.standing = "convicted".to_owned();
    node.merge_notice(&notice);
    assert!(node.is_convicted(7));
}

#[test]
fn fingerprints_distinguish_requests_by_repeated_parts() {
    let service = ServiceName::new("s");
    let base = fingerprint("GET", "/a", b"", &service);
    assert_eq!(base, fingerprint("GET", "/a", b"", &service));
    for other in [
        fingerprint("POST", "/a", b"", &service),
        fingerprint("GET", "/b", b"", &service),
        fingerprint("GET", "/a", b"x", &service),
        fingerprint("GET", "/a", b"", &ServiceName::new("t")),
    ] {
        assert_ne!(base, other);
    }
}
