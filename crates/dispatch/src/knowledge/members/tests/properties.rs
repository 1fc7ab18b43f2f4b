//! Properties of the tracked list under any order of events.

use proptest::prelude::*;

use super::super::*;
use super::{member, replace};

/// Number of incarnations in the events; each two share an address.
const INCARNATIONS: u64 = 8;

#[derive(Clone, Debug)]
enum Event {
    Written { incarnation: u64, draining: bool },
    Removed(u64),
    Listed(Vec<u64>),
    StoreFailure,
    TimePasses(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..INCARNATIONS, any::<bool>())
            .prop_map(|(incarnation, draining)| Event::Written { incarnation, draining }),
        3 => (0..INCARNATIONS).prop_map(Event::Removed),
        1 => proptest::collection::vec(0..INCARNATIONS, 0..5).prop_map(Event::Listed),
        1 => Just(Event::StoreFailure),
        3 => (0_u64..1_500).prop_map(Event::TimePasses),
    ]
}

fn incarnation(number: u64) -> Member {
    let address = format!("10.0.0.{}:80", number / 2 + 1);
    Member {
        listing_order: Revision::new(0, number),
        ..member(&format!("i-{number}"), &address)
    }
}

fn id(number: u64) -> TargetId {
    TargetId::new(&format!("i-{number}"))
}

fn apply(tracker: &mut MemberTracker, now: &mut Millis, event: &Event) {
    match event {
        Event::Written {
            incarnation: number,
            draining,
        } => tracker.upsert(Member {
            draining: *draining,
            ..incarnation(*number)
        }),
        Event::Removed(number) => tracker.remove(&id(*number), *now),
        Event::Listed(numbers) => {
            let listed = numbers.iter().map(|number| incarnation(*number)).collect();
            replace(tracker, listed, *now);
        }
        Event::StoreFailure => tracker.note_store_failure(*now),
        Event::TimePasses(span_ms) => {
            *now = *now + Millis(*span_ms);
            tracker.expire(*now);
        }
    }
}

proptest! {
    /// Available targets are never draining, never two incarnations at one address, and
    /// never targets that are known to be gone.
    #[test]
    fn available_targets_can_be_called(all in proptest::collection::vec(event(), 0..60)) {
        let mut tracker = MemberTracker::default();
        let mut now = Millis(10_000);
        for event in &all {
            apply(&mut tracker, &mut now, event);
            let members = tracker.snapshot();
            let mut addresses = BTreeSet::new();
            for available in members.available(&ServiceName::new("cashier")) {
                prop_assert!(!available.draining);
                prop_assert!(
                    addresses.insert(available.address),
                    "two incarnations at {}",
                    available.address
                );
                prop_assert!(!members.has_left(&available.id));
                prop_assert!(members.get(&available.id).is_some());
            }
        }
    }

    /// Whatever happened before, a removal without a store failure takes effect at once,
    /// and one during a failure takes effect after its grace period at the latest.
    #[test]
    fn a_removed_target_does_not_stay(
        all in proptest::collection::vec(event(), 0..40),
        removed in 0..INCARNATIONS,
    ) {
        let mut tracker = MemberTracker::default();
        let mut now = Millis(10_000);
        for event in &all {
            apply(&mut tracker, &mut now, event);
        }
        let may_be_spurious = tracker.may_be_spurious(now);
        tracker.remove(&id(removed), now);
        if !may_be_spurious {
            let members = tracker.snapshot();
            let is_known = tracker.known.contains_key(&id(removed));
            prop_assert!(members.get(&id(removed)).is_none() && !is_known);
        }
        let end = now + REMOVAL_GRACE_MS;
        tracker.expire(end);
        prop_assert!(tracker.snapshot().get(&id(removed)).is_none());
        prop_assert!(tracker.next_expiry().is_none_or(|at| at > end));
    }
}
