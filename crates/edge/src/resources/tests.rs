//! Tests of the account of a process.

use hornbeamhitch_dispatch::resources::limits::ORDINARY_BODY_BYTES;
use hornbeamhitch_dispatch::resources::peers::Activity;

use super::*;
use crate::http1::BodyMemory;

const MIB: u64 = 1024 * 1024;

fn resources() -> Arc<Resources> {
    let limits = ResourceLimits::of_account(8 * MIB);
    Resources::new(limits, ProcessClock::start())
}

/// Guards against memory that is released while a slice of the body is still queued.
#[tokio::test]
async fn a_body_is_held_until_its_last_slice_is_dropped() {
    let resources = resources();
    let mut memory = ChargedBody::new(&resources, Patience::Relief);
    assert!(memory.make_room(MIB).await);
    let mut body = memory.finish(bytes::BytesMut::zeroed(MIB as usize));
    let part = body.split_to(10);
    drop(body);
    assert_eq!(resources.held_bytes(), MIB);
    drop(part);
    assert_eq!(resources.held_bytes(), 0);
}

/// Guards against charging short bodies twice, and against losing the charge of a body that
/// is given up.
#[tokio::test]
async fn only_long_bodies_are_charged() {
    let resources = resources();
    let mut memory = ChargedBody::new(&resources, Patience::Relief);
    assert!(memory.make_room(ORDINARY_BODY_BYTES).await);
    assert_eq!(resources.held_bytes(), 0);
    assert!(memory.make_room(ORDINARY_BODY_BYTES + 1).await);
    assert!(resources.held_bytes() > ORDINARY_BODY_BYTES);
    drop(memory);
    assert_eq!(resources.held_bytes(), 0);
}

/// Guards against requests that are held although no memory becomes free.
#[tokio::test(start_paused = true)]
async fn a_request_without_room_is_refused_at_once() {
    let resources = resources();
    let body = resources.hold_body(7 * MIB, Patience::Relief).await;
    assert!(body.is_some());
    let before = Instant::now();
    assert!(resources.hold_body(MIB, Patience::Relief).await.is_none());
    let patience = Patience::Until(Duration::from_secs(60));
    assert!(resources.hold_body(100 * MIB, patience).await.is_none());
    assert_eq!(before.elapsed(), Duration::ZERO);
    assert!(resources.hold_request(Patience::Relief).await.is_some());
}

/// Guards against answers that are lost although memory becomes free soon.
#[tokio::test(start_paused = true)]
async fn an_answer_waits_for_memory() {
    let resources = resources();
    let body = resources.hold_body(7 * MIB, Patience::Relief).await;
    let waiting = tokio::spawn({
        let resources = Arc::clone(&resources);
        async move {
            let patience = Patience::Until(Duration::from_secs(60));
            resources.hold_body(7 * MIB, patience).await.is_some()
        }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    drop(body);
    assert!(waiting.await.expect("no panic"));
}

/// Guards against slow peers that keep the memory of a process from all others.
#[tokio::test]
async fn a_slow_peer_is_closed_for_memory() {
    let resources = resources();
    let slow = resources.open(Listener::Callers).expect("a place");
    let charge = resources.hold_body(7 * MIB, Patience::Relief).await;
    slow.add_held(7 * MIB);
    slow.set_activity(Activity::Reading);
    let closing = tokio::spawn(async move {
        slow.must_close().await;
        drop((slow, charge));
    });
    let patience = Patience::Until(Duration::from_secs(20));
    assert!(resources.hold_body(MIB, patience).await.is_some());
    closing.await.expect("no panic");
}
