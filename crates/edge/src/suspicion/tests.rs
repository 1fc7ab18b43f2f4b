//! Tests of requests that crash targets, on nodes that exchange notices directly.

use super::*;

fn nodes(count: usize) -> Vec<Arc<Suspicion>> {
    let clock = ProcessClock::start();
    (0..count)
        .map(|_| Arc::new(Suspicion::new(clock)))
        .collect()
}

/// Records a crash of a target with these requests in flight, none of them in a trial.
fn crash(node: &Suspicion, target: &str, fingerprints: &[u64]) {
    let mut runs = Vec::new();
    for fingerprint in fingerprints {
        runs.push(CrashedRun {
            fingerprint: *fingerprint,
            was_trial: false,
        });
    }
    node.observe_crash(&TargetId::new(target), &runs);
}

/// Delivers all notices of each node to all others.
fn exchange_notices(nodes: &[Arc<Suspicion>]) {
    for from in nodes {
        for to in nodes {
            for notice in from.subscribe().0 {
                to.merge_notice(&notice);
            }
        }
    }
}

/// Targets crash repeatedly for unrelated reasons while a common lookup is in flight. The
/// lookup succeeds between the crashes, so it runs freely.
#[test]
fn a_request_that_also_succeeds_is_never_restricted() {
    let node = &nodes(1)[0];
    node.note_success(7);
    for number in 0..10 {
        crash(node, &format!("t{number}"), &[7, 8]);
        node.note_success(7);
    }
    assert_eq!(node.level(7), CrashLevel::Clear);
    assert!(node.level(8) >= CrashLevel::Trial);
}

#[test]
fn a_crash_in_a_trial_refuses_the_request_on_every_node() {
    let nodes = nodes(2);
    crash(&nodes[0], "a", &[7]);
    exchange_notices(&nodes);
    for node in &nodes {
        assert_eq!(node.level(7), CrashLevel::Trial);
    }
    let trial = nodes[0].begin_trial(7).expect("the first trial");
    assert_eq!(nodes[0].begin_trial(7).err(), Some(TrialDenied));
    let run = CrashedRun {
        fingerprint: 7,
        was_trial: true,
    };
    nodes[0].observe_crash(&TargetId::new("c"), &[run]);
    drop(trial);
    exchange_notices(&nodes);
    for node in &nodes {
        assert_eq!(node.level(7), CrashLevel::Refused);
    }
}

/// Guards against merging crashes that several nodes observe at the same time into one.
#[test]
fn crashes_on_several_nodes_at_the_same_time_are_all_counted() {
    let nodes = nodes(4);
    for (number, node) in nodes.iter().enumerate() {
        // A second request is in flight, and a different one on each node.
        let other = 100 + number as u64;
        crash(node, &format!("t{number}"), &[7, other]);
    }
    exchange_notices(&nodes);
    exchange_notices(&nodes);
    for node in &nodes {
        assert!(node.level(7) >= CrashLevel::Trial);
        assert_eq!(node.history.lock().count(7, node.clock.now()), 4);
        assert_eq!(node.history.lock().count(100, node.clock.now()), 1);
    }
}

/// Guards against a link that has lagged and lacks notices for good.
#[tokio::test]
async fn a_receiver_that_lags_can_subscribe_anew_and_misses_nothing() {
    let node = &nodes(1)[0];
    let (known, mut notices) = node.subscribe();
    assert!(known.is_empty());
    for fingerprint in 1..=2 * NOTICE_CAPACITY as u64 {
        crash(node, "a", &[fingerprint]);
    }
    let lagged = notices.recv().await;
    assert!(matches!(
        lagged,
        Err(broadcast::error::RecvError::Lagged(_))
    ));
    assert_eq!(node.subscribe().0.len(), 2 * NOTICE_CAPACITY);
}

#[test]
fn fingerprints_distinguish_requests_by_repeated_parts() {
    let base = fingerprint("h", "GET", "/a", b"");
    assert_eq!(base, fingerprint("H", "GET", "/a", b""));
    for other in [
        fingerprint("h", "POST", "/a", b""),
        fingerprint("h", "GET", "/b", b""),
        fingerprint("h", "GET", "/a", b"x"),
        fingerprint("i", "GET", "/a", b""),
    ] {
        assert_ne!(base, other);
    }
}
