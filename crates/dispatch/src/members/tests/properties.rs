//! The list under any order of news.

use proptest::prelude::*;

use super::super::*;
use super::{member, replace};

/// Lives that the news speak of; two each share an address.
const LIVES: u64 = 8;

#[derive(Clone, Debug)]
enum News {
    Written { life: u64, draining: bool },
    Removed(u64),
    Listed(Vec<u64>),
    Trouble,
    Later(u64),
}

fn news() -> impl Strategy<Value = News> {
    prop_oneof![
        4 => (0..LIVES, any::<bool>())
            .prop_map(|(life, draining)| News::Written { life, draining }),
        3 => (0..LIVES).prop_map(News::Removed),
        1 => proptest::collection::vec(0..LIVES, 0..5).prop_map(News::Listed),
        1 => Just(News::Trouble),
        3 => (0_u64..1_500).prop_map(News::Later),
    ]
}

fn life(number: u64) -> Member {
    let address = format!("10.0.0.{}:80", number / 2 + 1);
    Member {
        listed_at: number,
        ..member(&format!("i-{number}"), &address)
    }
}

fn id(number: u64) -> TargetId {
    TargetId::new(&format!("i-{number}"))
}

fn follow(tracker: &mut MemberTracker, now: &mut Millis, news: &News) {
    match news {
        News::Written {
            life: number,
            draining,
        } => tracker.upsert(Member {
            draining: *draining,
            ..life(*number)
        }),
        News::Removed(number) => tracker.remove(&id(*number), *now),
        News::Listed(numbers) => {
            let listed = numbers.iter().map(|number| life(*number)).collect();
            replace(tracker, listed, *now);
        }
        News::Trouble => tracker.note_store_failure(*now),
        News::Later(span_ms) => {
            *now = *now + Millis(*span_ms);
            tracker.expire(*now);
        }
    }
}

proptest! {
    /// Callers are sent to open targets only: never to one that drains, never
    /// to two lives at one address, never to one that is known to be gone.
    #[test]
    fn what_is_open_can_be_called(all in proptest::collection::vec(news(), 0..60)) {
        let mut tracker = MemberTracker::default();
        let mut now = Millis(10_000);
        for news in &all {
            follow(&mut tracker, &mut now, news);
            let members = tracker.snapshot();
            let mut addresses = BTreeSet::new();
            for open in members.available(&ServiceName::new("cashier")) {
                prop_assert!(!open.draining);
                prop_assert!(addresses.insert(open.address), "two lives at {}", open.address);
                prop_assert!(!members.has_left(&open.id));
                prop_assert!(members.get(&open.id).is_some());
            }
        }
    }

    /// Whatever came before, a removal in calm times counts at once, and one in
    /// trouble at the end of its grace at the latest.
    #[test]
    fn a_removed_target_does_not_stay(
        all in proptest::collection::vec(news(), 0..40),
        removed in 0..LIVES,
    ) {
        let mut tracker = MemberTracker::default();
        let mut now = Millis(10_000);
        for news in &all {
            follow(&mut tracker, &mut now, news);
        }
        let is_troubled = tracker.is_troubled(now);
        tracker.remove(&id(removed), now);
        if !is_troubled {
            let members = tracker.snapshot();
            let is_known = tracker.known.contains_key(&id(removed));
            prop_assert!(members.get(&id(removed)).is_none() && !is_known);
        }
        let end = now + LAPSE_GRACE_MS;
        tracker.expire(end);
        prop_assert!(tracker.snapshot().get(&id(removed)).is_none());
        prop_assert!(tracker.next_expiry().is_none_or(|at| at > end));
    }
}
