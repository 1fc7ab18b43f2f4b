//! Tests of suspicions and their exchange between nodes.

use proptest::prelude::*;

use super::*;

const MINUTE_MS: u64 = 60_000;

fn entry(fingerprint: u64, version: u32, level: SuspicionLevel, age_ms: u64) -> SuspectEntry {
    SuspectEntry {
        fingerprint,
        version,
        level,
        crashes: 1,
        age_ms: Millis(age_ms),
    }
}

#[test]
fn one_crash_suspects_and_a_second_alone_convicts() {
    let mut suspects = Suspects::new();
    suspects.observe_crash(&[1, 2, NO_FINGERPRINT], false, Millis(1));
    suspects.observe_crash(&[3], true, Millis(2));
    for fingerprint in [1, 2, 3] {
        assert_eq!(suspects.level(fingerprint), SuspicionLevel::Suspect);
    }
    assert_eq!(suspects.level(NO_FINGERPRINT), SuspicionLevel::Clear);
    suspects.clear(2, Millis(3));
    for fingerprint in [1, 2] {
        suspects.observe_crash(&[fingerprint], true, Millis(4));
    }
    assert_eq!(suspects.level(1), SuspicionLevel::Convicted);
    assert_eq!(suspects.level(2), SuspicionLevel::Suspect);
    assert_eq!(
        suspects.clear(1, Millis(5)),
        None,
        "a conviction only ends by expiry"
    );
}

#[test]
fn repeated_shared_crashes_lead_to_conviction() {
    // A request that exceeds its exclusive time is never alone in its crash. It
    // must not be able to crash targets indefinitely.
    let mut suspects = Suspects::new();
    for crash in 1..=4 {
        assert_ne!(suspects.level(1), SuspicionLevel::Convicted, "{crash}");
        suspects.observe_crash(&[1, 100 + crash], false, Millis(crash));
    }
    assert_eq!(suspects.level(1), SuspicionLevel::Convicted);
}

#[test]
fn clearance_beats_an_older_suspicion_that_arrives_later() {
    // One node clears a request. The earlier suspicion is still in circulation
    // and reaches other nodes after the clearance, more than once.
    let mut suspects = Suspects::new();
    assert!(suspects.merge(&entry(1, 2, SuspicionLevel::Clear, 10), Millis(1)));
    assert!(!suspects.merge(&entry(1, 1, SuspicionLevel::Suspect, 500), Millis(2)));
    assert_eq!(suspects.level(1), SuspicionLevel::Clear);
    assert!(suspects.merge(&entry(1, 3, SuspicionLevel::Suspect, 0), Millis(3)));
    assert_eq!(suspects.level(1), SuspicionLevel::Suspect);
}

#[test]
fn suspicion_expires_despite_echoes() {
    // Two nodes exchange the same entry repeatedly, each time too young by its
    // transit time. It must still expire, also when an echo arrives just after
    // one node has expired it.
    const TRANSIT_TIME: Millis = Millis(20);
    let mut nodes = [Suspects::new(), Suspects::new()];
    nodes[0].observe_crash(&[1], false, Millis(0));
    for step in 0..=60_050 {
        let now = Millis(step * 10);
        for (from, to) in [(0, 1), (1, 0)] {
            let received: Vec<SuspectEntry> = nodes[from].entries(now).collect();
            nodes[0].tick(now);
            nodes[1].tick(now);
            for entry in &received {
                nodes[to].merge(entry, now + TRANSIT_TIME);
            }
        }
    }
    assert_eq!(nodes[0].level(1), SuspicionLevel::Clear);
    assert_eq!(nodes[1].level(1), SuspicionLevel::Clear);
}

#[test]
fn convictions_outlive_suspicions_and_end() {
    let mut suspects = Suspects::new();
    suspects.observe_crash(&[1, 2], false, Millis(0));
    suspects.observe_crash(&[1], true, Millis(0));
    suspects.tick(Millis(11 * MINUTE_MS));
    assert_eq!(suspects.level(2), SuspicionLevel::Clear);
    assert_eq!(suspects.level(1), SuspicionLevel::Convicted);
    assert!(suspects.tick(Millis(30 * MINUTE_MS)));
    assert_eq!(suspects.level(1), SuspicionLevel::Clear);
    suspects.tick(Millis(31 * MINUTE_MS));
    assert!(suspects.is_empty());
}

#[test]
fn flood_of_suspects_does_not_evict_a_conviction() {
    // Busy targets crash repeatedly, each time with hundreds of requests in
    // flight. The convicted request must not be evicted because of them.
    let mut suspects = Suspects::new();
    suspects.observe_crash(&[1], true, Millis(0));
    suspects.observe_crash(&[1], true, Millis(1));
    for fingerprint in 2..5_000 {
        suspects.observe_crash(&[fingerprint], false, Millis(fingerprint));
    }
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    assert_eq!(suspects.level(1), SuspicionLevel::Convicted);
    assert_eq!(
        suspects.level(2),
        SuspicionLevel::Clear,
        "the oldest is evicted"
    );
    assert_eq!(suspects.snapshot().level(4_999), SuspicionLevel::Suspect);
}

#[test]
fn store_full_of_convictions_takes_no_suspects() {
    // Only a newer conviction may replace the oldest one.
    let mut suspects = Suspects::new();
    let full = MAX_SUSPECTS as u64;
    for fingerprint in 1..=full {
        for at in [0, 1] {
            suspects.observe_crash(&[fingerprint], true, Millis(fingerprint + at));
        }
    }
    let sent = suspects.observe_crash(&[full + 1], false, Millis(5_000));
    assert_eq!(sent, []);
    assert_eq!(suspects.level(1), SuspicionLevel::Convicted);
    let convicted = entry(full + 2, 2, SuspicionLevel::Convicted, 0);
    assert!(suspects.merge(&convicted, Millis(5_001)));
    assert_eq!(suspects.level(1), SuspicionLevel::Clear);
    assert_eq!(suspects.level(2), SuspicionLevel::Convicted);
}

fn entries() -> impl Strategy<Value = Vec<SuspectEntry>> {
    let level = prop_oneof![
        Just(SuspicionLevel::Clear),
        Just(SuspicionLevel::Suspect),
        Just(SuspicionLevel::Convicted)
    ];
    let one = (1..4_u64, 1..4_u32, level, 0..2_000_000_u64);
    let one = one.prop_map(|(mark, version, level, age)| entry(mark, version, level, age));
    proptest::collection::vec(one, 0..12)
}

proptest! {
    #[test]
    fn order_and_repetition_of_entries_do_not_matter(first in entries(), shuffled in entries()) {
        // Nodes receive the same entries in different orders, some of them
        // twice, and must reach the same state.
        let all: Vec<SuspectEntry> = first.iter().chain(&shuffled).copied().collect();
        let mut one = Suspects::new();
        let mut other = Suspects::new();
        for entry in &all {
            one.merge(entry, Millis(5));
        }
        for entry in all.iter().rev().chain(&first) {
            other.merge(entry, Millis(5));
        }
        prop_assert_eq!(one.snapshot(), other.snapshot());
        let ages = |store: &Suspects| store.entries(Millis(5)).collect::<Vec<_>>();
        prop_assert_eq!(ages(&one), ages(&other));
    }
}
