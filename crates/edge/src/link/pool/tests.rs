//! Tests of calls to a gate whose link cannot be opened.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hornbeamhitch_dispatch::resources::limits::ResourceLimits;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::*;

fn pool() -> Arc<LinkPool> {
    let clock = ProcessClock::start();
    Arc::new(LinkPool::new(
        Arc::new(Suspicion::new(clock)),
        SharedDirectory::default(),
        Arc::new(Silence::new(clock, [127, 0, 0, 1].into())),
        Resources::new(ResourceLimits::of_account(1024 * 1024), clock),
    ))
}

fn lookup() -> OutgoingCall {
    OutgoingCall {
        demand: None,
        wants_load: false,
        terms: CallTerms {
            target_id: "life-0".to_owned(),
            request_id: "id-1".to_owned(),
            key: CallKey(1),
            fingerprint: 1,
            idempotent: true,
            priority: 1,
            work_ms: Millis(1),
            max_queue_ms: Millis::ZERO,
            objective_ms: Millis(500),
            whole_objective_ms: Millis(500),
            slow_after_ms: Millis::MAX,
            deadline_ms: Millis(2_000),
            repeated_percent: 0,
            notice: TargetNotice::default(),
        },
        head: CallHead {
            method: "GET".to_owned(),
            path: "/".to_owned(),
            fields: Vec::new(),
        },
        body: Bytes::new(),
        offers_terms_first: false,
    }
}

/// Sends a call and returns its first event, and how long that took.
async fn first_event(pool: &Arc<LinkPool>, gate: SocketAddr) -> (LinkEvent, Duration) {
    let (events, mut received) = mpsc::unbounded_channel();
    let sink = Box::new(move |event| {
        let _ = events.send(event);
    });
    let started = Instant::now();
    let _pending = pool.call(gate, lookup(), sink);
    let event = received.recv().await.expect("an event");
    (event, started.elapsed())
}

/// Guards against calls that each wait for a VM whose link cannot be opened: the first one
/// waits for the confirmation timeout, and the others are told at once. The kernel of a
/// stopped VM accepts the connection, but its gate sends no frame.
#[tokio::test]
async fn calls_are_told_at_once_that_a_gate_is_silent_while_its_link_is_opened() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let gate = listener.local_addr().expect("an address");
    let pool = pool();
    let (event, first_took) = first_event(&pool, gate).await;
    assert!(matches!(event, LinkEvent::Silent), "{event:?}");
    assert_eq!(pool.silence.count(), 1);
    let (event, second_took) = first_event(&pool, gate).await;
    assert!(matches!(event, LinkEvent::Silent), "{event:?}");
    assert!(
        second_took * 2 < first_took,
        "{second_took:?} after {first_took:?}"
    );
}
