//! Tests of the updates that a feed provides to subscribers.

use hornbeamhitch_dispatch::prelude::*;
use hornbeamhitch_dispatch::routing::routes::Destination;

use super::*;
use crate::source::Fact;

/// Returns the revision with this number in the first era.
const fn at(number: u64) -> Revision {
    Revision::new(0, number)
}

fn removed(revision: u64) -> Change {
    Change {
        revision: at(revision),
        fact: Fact::Removed(TargetId::new(&format!("i-{revision}"))),
    }
}

fn listed(revision: u64, id: &str) -> Change {
    let member = Member {
        id: TargetId::new(id),
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: DataCentre::new("dc"),
        slots: 1,
        draining: false,
        listing_order: at(revision),
        started_at_ms: None,
    };
    Change {
        revision: at(revision),
        fact: Fact::Listed(member),
    }
}

fn revisions(update: &FeedUpdate) -> Vec<u64> {
    let decode =
        |encoded: &Bytes| -> Change { postcard::from_bytes(encoded).expect("what was encoded") };
    update
        .changes
        .iter()
        .map(|encoded| decode(encoded).revision.number())
        .collect()
}

fn open_feed() -> ChangeFeed {
    let feed = ChangeFeed::new(ProcessClock::start(), Waits::new(Millis(2_000)));
    feed.append(&[removed(10)], at(10));
    feed.set_status(FeedStatus::Open);
    feed
}

#[test]
fn a_subscriber_receives_only_newer_changes() {
    let feed = open_feed();
    feed.append(&[removed(11), removed(13)], at(15));
    let update = feed.update_after(at(11)).expect("an open feed");
    assert_eq!((revisions(&update), update.revision), (vec![13], at(15)));
    let update = feed.update_after(at(20)).expect("an open feed");
    assert_eq!((revisions(&update), update.revision), (vec![], at(15)));
}

/// Guards against changes of a store that returned from an older copy which reach no
/// subscriber, because their numbers are lower than those of before.
#[test]
fn changes_of_a_later_era_are_new_whatever_their_numbers() {
    let feed = open_feed();
    let change = Change {
        revision: Revision::new(1, 4),
        ..removed(4)
    };
    feed.append(&[change], Revision::new(1, 5));
    let update = feed.update_after(at(10)).expect("an open feed");
    assert_eq!(revisions(&update), [4]);
    assert_eq!(update.revision, Revision::new(1, 5));
}

#[test]
fn a_closed_feed_returns_nothing() {
    let feed = open_feed();
    feed.set_status(FeedStatus::Closed);
    assert_eq!(feed.update_after(at(10)), None);
}

/// A subscriber that received "complete up to 12" without the changes before revision 10
/// would never receive them.
#[test]
fn a_subscriber_behind_the_log_is_rejected() {
    let feed = open_feed();
    for revision in 12..=2_000 {
        feed.append(&[removed(revision)], at(revision));
    }
    assert_eq!(feed.update_after(at(12)), None);
    let last = feed.update_after(at(1_999)).expect("the latest are kept");
    assert_eq!(revisions(&last), [2_000]);
}

/// Guards against restarted nodes that all read the source because old changes have been
/// dropped.
#[test]
fn a_new_subscriber_receives_the_latest_change_of_each_target() {
    const TARGETS: u64 = 40;
    const CHANGES: u64 = 5_000;
    let feed = open_feed();
    for revision in 11..=CHANGES {
        let id = format!("i-{}", revision % TARGETS);
        feed.append(&[listed(revision, &id)], at(revision));
    }
    for revision in CHANGES + 1..=2 * CHANGES {
        feed.append(&[removed(revision)], at(revision));
    }
    let update = feed.update_after(at(0)).expect("an open feed");
    let known = revisions(&update).into_iter();
    let expected: Vec<u64> = (CHANGES - TARGETS + 1..=CHANGES).collect();
    let listed: Vec<u64> = known.filter(|revision| *revision <= CHANGES).collect();
    assert_eq!(listed, expected);
    assert_eq!(update.revision, at(2 * CHANGES));
    assert_eq!(feed.update_after(at(CHANGES)), None);
}

#[test]
fn a_failed_read_is_reported() {
    let feed = open_feed();
    feed.set_status(FeedStatus::Unhealthy);
    assert!(
        feed.update_after(at(10))
            .is_some_and(|update| update.last_read_failed)
    );
}

/// Readers subscribe to each other. If updates without news were forwarded, two readers
/// would exchange updates endlessly and each occupy a processor.
#[test]
fn known_changes_wake_no_subscriber() {
    let feed = open_feed();
    feed.append(&[removed(12)], at(12));
    let mut subscriber = feed.subscribe();
    subscriber.mark_unchanged();
    feed.append(&[], at(12));
    feed.append(&[], at(11));
    feed.set_status(FeedStatus::Open);
    assert!(!subscriber.has_changed().expect("an open feed"));
    feed.append(&[], at(13));
    assert!(subscriber.has_changed().expect("an open feed"));
}

/// Guards against work that still reaches a target 2.6 s after it announced that it
/// drains. Readers on slow links were sending a configuration of thousands of routes to
/// each subscriber for seconds, which delayed the change behind it.
#[test]
fn encoded_changes_are_small() {
    /// A reader has about 48 subscribers. A change of this size takes 0.3 s on a link of
    /// 10 Mbit/s, a tenth of the shortest time in which changes must be in force.
    const MAX_BYTES: usize = 8 * 1024;
    let mut routes = RouteSet::new(7, CallerLimits::default());
    for number in 0..4_000 {
        routes.add("h", route(number));
    }
    let written = Change {
        revision: at(11),
        fact: Fact::Routes(routes),
    };
    let feed = open_feed();
    feed.append(&[written, removed(12)], at(12));
    let update = feed.update_after(at(10)).expect("an open feed");
    assert_eq!(update.revision, at(12));
    for change in &update.changes {
        assert!(change.len() <= MAX_BYTES, "{} bytes", change.len());
    }
}

pub(super) fn route(number: usize) -> Route {
    Route {
        name: format!("route-{number}"),
        prefix: format!("/prefix-{number}/"),
        kind: CallKind::Idempotent,
        objective_ms: Millis(500),
        priority: 1,
        destinations: vec![Destination {
            service: ServiceName::new("s"),
            weight: 1,
        }],
        timeout_ms: Millis(2_000),
        max_attempts: 2,
        allowed_regions: None,
    }
}
