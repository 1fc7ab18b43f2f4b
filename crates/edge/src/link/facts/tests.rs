//! Tests of facts that exceed one frame.

use super::*;

/// Returns the parts of these facts.
fn parts_of(facts: &[u8]) -> Vec<(PartDigest, u64, Bytes)> {
    let mut parts = Vec::new();
    send(Bytes::copy_from_slice(facts), |frame| match frame {
        ToGate::FactsPart {
            digest,
            whole_bytes,
            part,
        } => parts.push((digest, whole_bytes, part)),
        frame => panic!("an unexpected frame {frame:?}"),
    });
    parts
}

#[test]
fn facts_in_parts_arrive_whole() {
    let facts = vec![7; 3 * MAX_SINGLE_BYTES];
    let mut partial = PartialFacts::default();
    let mut received = None;
    for (digest, whole_bytes, part) in parts_of(&facts) {
        assert_eq!(received, None);
        received = partial.add(digest, whole_bytes, &part);
    }
    assert_eq!(received.as_deref(), Some(facts.as_slice()));
}

/// Guards against facts that are put together from two states, and against damaged ones.
#[test]
fn parts_of_other_facts_and_damaged_parts_are_dropped() {
    let (old, new) = (vec![1; 2 * MAX_SINGLE_BYTES], vec![2; 2 * MAX_SINGLE_BYTES]);
    let mut partial = PartialFacts::default();
    let (digest, whole_bytes, part) = parts_of(&old).swap_remove(0);
    assert_eq!(partial.add(digest, whole_bytes, &part), None);
    let mut received = None;
    for (digest, whole_bytes, part) in parts_of(&new) {
        received = partial.add(digest, whole_bytes, &part);
    }
    assert_eq!(received.as_deref(), Some(new.as_slice()));
    let mut received = None;
    for (digest, whole_bytes, part) in parts_of(&old) {
        let mut damaged = part.to_vec();
        damaged[0] ^= 1;
        received = partial.add(digest, whole_bytes, &damaged);
    }
    assert_eq!(received, None);
    assert_eq!(
        partial.add(digest_of_too_many(), MAX_WHOLE_BYTES + 1, &[0]),
        None
    );
}

fn digest_of_too_many() -> PartDigest {
    digest(b"too many")
}

/// Guards against a node that receives its whole state from many peers at once.
#[tokio::test(start_paused = true)]
async fn facts_are_requested_from_one_peer_at_a_time() {
    const INTERVAL: Duration = Duration::from_millis(400);
    let requests = FactsRequests::default();
    assert!(requests.begin(INTERVAL));
    assert!(!requests.begin(INTERVAL));
    tokio::time::advance(INTERVAL / 2).await;
    requests.note_progress();
    tokio::time::advance(INTERVAL / 2).await;
    assert!(!requests.begin(INTERVAL), "parts still arrive");
    tokio::time::advance(INTERVAL).await;
    assert!(requests.begin(INTERVAL), "another peer");
}
