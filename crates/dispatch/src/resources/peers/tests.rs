//! Tests of the choice of the connection that is closed.

use super::*;

const MIB: u64 = 1024 * 1024;
const NOW: Millis = Millis(100_000);

/// A table in which each listener may have two connections.
fn peers() -> Peers {
    Peers::new(ResourceLimits {
        caller_connections: 2,
        link_connections: 2,
        status_connections: 2,
        ..ResourceLimits::of_account(64 * MIB)
    })
}

fn open(peers: &mut Peers, now: Millis) -> PeerId {
    match peers.open(Listener::Callers, now) {
        Opening::Open(id) | Opening::Replaces(id, _) => id,
        Opening::Full => panic!("no connection can be closed"),
    }
}

/// Guards against closing connections that have work in progress for a new one.
#[test]
fn the_connection_that_was_idle_longest_is_replaced() {
    let mut peers = peers();
    let (old, recent) = (open(&mut peers, Millis(1)), open(&mut peers, Millis(2)));
    peers.set_activity(old, Activity::Idle, Millis(3));
    let opening = peers.open(Listener::Callers, NOW);
    assert!(matches!(opening, Opening::Replaces(_, id) if id == recent));
    peers.set_activity(old, Activity::Sending, NOW);
    let opening = peers.open(Listener::Callers, NOW);
    assert!(matches!(opening, Opening::Replaces(_, id) if id != old && id != recent));
}

/// Guards against a crowd on one listener that closes connections of another.
#[test]
fn listeners_have_connections_of_their_own() {
    let mut peers = peers();
    for _ in 0..2 {
        assert!(matches!(
            peers.open(Listener::Metrics, NOW),
            Opening::Open(_)
        ));
    }
    assert!(matches!(
        peers.open(Listener::Callers, NOW),
        Opening::Open(_)
    ));
}

/// Guards against refusing new connections while slow peers have all places.
#[test]
fn slow_peers_are_replaced_and_fast_ones_stay() {
    let mut peers = peers();
    let (slow, fast) = (open(&mut peers, Millis(0)), open(&mut peers, Millis(0)));
    for id in [slow, fast] {
        peers.set_activity(id, Activity::Sending, Millis(0));
    }
    assert_eq!(peers.open(Listener::Callers, Millis(500)), Opening::Full);
    peers.set_moved(slow, SLOW_BYTES_PER_S - 1);
    peers.set_moved(fast, SLOW_BYTES_PER_S);
    let opening = peers.open(Listener::Callers, SLOW_AFTER_MS);
    assert!(matches!(opening, Opening::Replaces(_, id) if id == slow));
}

/// Guards against closing connections whose requests are being served.
#[test]
fn connections_with_open_calls_stay_until_they_are_abandoned() {
    let mut peers = peers();
    for _ in 0..2 {
        let id = open(&mut peers, Millis(0));
        peers.set_activity(id, Activity::Served, Millis(0));
    }
    let just_before = ABANDONED_AFTER_MS.minus(Millis(1));
    assert_eq!(peers.open(Listener::Callers, just_before), Opening::Full);
    let opening = peers.open(Listener::Callers, ABANDONED_AFTER_MS);
    assert!(matches!(opening, Opening::Replaces(..)));
}

/// Guards against memory that slow readers keep from others, and against closing more
/// connections than needed.
#[test]
fn the_slow_peer_that_holds_most_for_longest_is_closed_first() {
    let mut peers = Peers::new(ResourceLimits::of_account(64 * MIB));
    let (small, large, fast) = (
        open(&mut peers, Millis(0)),
        open(&mut peers, Millis(0)),
        open(&mut peers, Millis(0)),
    );
    for (id, held_bytes) in [(small, MIB), (large, 2 * MIB), (fast, 8 * MIB)] {
        peers.add_held(id, held_bytes);
        peers.set_activity(id, Activity::Reading, Millis(0));
    }
    assert_eq!(peers.relieve(Millis(500)), Relief::Nothing);
    peers.set_moved(fast, 4 * MIB);
    assert_eq!(peers.relieve(Millis(2_000)), Relief::Close(large));
    assert_eq!(peers.relieve(Millis(2_000)), Relief::Pending);
    peers.close(large);
    assert_eq!(peers.relieve(Millis(2_000)), Relief::Close(small));
    peers.close(small);
    assert_eq!(peers.relieve(Millis(2_000)), Relief::Nothing);
}

/// Guards against a peer that counts as fast by what it read of earlier answers.
#[test]
fn each_answer_counts_on_its_own() {
    let mut peers = Peers::new(ResourceLimits::of_account(64 * MIB));
    let id = open(&mut peers, Millis(0));
    peers.add_held(id, MIB);
    peers.set_activity(id, Activity::Reading, Millis(0));
    peers.set_moved(id, 8 * MIB);
    peers.set_activity(id, Activity::Reading, Millis(2_000));
    assert_eq!(peers.relieve(Millis(2_500)), Relief::Nothing);
    assert_eq!(peers.relieve(Millis(3_000)), Relief::Close(id));
    peers.remove_held(id, MIB);
    assert_eq!(peers.relieve(Millis(3_000)), Relief::Nothing);
}
