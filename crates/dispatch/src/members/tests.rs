//! Following the platform's list.

mod properties;

use super::*;

fn member(id: &str, address: &str) -> Member {
    Member {
        id: TargetId::new(id),
        service: ServiceName::new("cashier"),
        address: address.parse().expect("an address"),
        data_centre: DataCentre::new("dusit"),
        slots: 12,
        draining: false,
        listed_at: 1,
    }
}

/// Takes over a complete listing.
fn replace(tracker: &mut MemberTracker, listed: Vec<Member>, unreadable: &[TargetId], now: Millis) {
    let difference = tracker.difference(listed, unreadable);
    for member in difference.written {
        tracker.upsert(member);
    }
    for id in difference.removed {
        tracker.remove(&id, now);
    }
}

fn open_ids(tracker: &MemberTracker) -> Vec<String> {
    let members = tracker.snapshot();
    let open = members.open(&ServiceName::new("cashier"));
    open.iter().map(|member| member.id.to_string()).collect()
}

#[test]
fn a_target_that_leaves_in_calm_times_is_gone_at_once() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    tracker.remove(&TargetId::new("i-1"), Millis(10));
    assert!(open_ids(&tracker).is_empty());
    assert!(tracker.snapshot().has_left(&TargetId::new("i-1")));
}

#[test]
fn a_draining_target_is_known_and_not_open() {
    let mut tracker = MemberTracker::default();
    let mut leaving = member("i-1", "10.0.0.1:80");
    leaving.draining = true;
    tracker.upsert(leaving);
    assert!(open_ids(&tracker).is_empty());
    let snapshot = tracker.snapshot();
    let known = snapshot.get(&TargetId::new("i-1"));
    assert!(known.is_some_and(|member| member.draining));
}

/// The store was away for some seconds and comes back without the entries of
/// targets whose reports it missed. They serve all the while; callers must not
/// be told that there is no target.
#[test]
fn entries_that_lapsed_with_the_store_count_for_two_more_seconds() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    tracker.upsert(member("i-2", "10.0.0.2:80"));
    tracker.note_trouble(Millis(5_000));
    replace(
        &mut tracker,
        vec![member("i-1", "10.0.0.1:80")],
        &[],
        Millis(5_100),
    );
    assert_eq!(open_ids(&tracker), ["i-1", "i-2"]);
    assert!(!tracker.expire(Millis(7_099)));
    assert!(tracker.expire(Millis(7_100)));
    assert_eq!(open_ids(&tracker), ["i-1"]);
}

#[test]
fn an_entry_that_comes_back_stays() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    tracker.note_trouble(Millis(5_000));
    tracker.remove(&TargetId::new("i-1"), Millis(5_100));
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    assert!(!tracker.expire(Millis(60_000)));
    assert_eq!(open_ids(&tracker), ["i-1"]);
}

/// A target crashes and starts again at its address. Its entry lapses only
/// seconds after the new one has come.
#[test]
fn of_two_lives_at_an_address_only_the_later_is_open() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-9", "10.0.0.1:80"));
    let later = Member {
        listed_at: 2,
        ..member("i-1", "10.0.0.1:80")
    };
    tracker.upsert(later);
    assert_eq!(open_ids(&tracker), ["i-1"]);
}

#[test]
fn a_draining_target_that_vanishes_in_trouble_is_gone() {
    let mut tracker = MemberTracker::default();
    let mut leaving = member("i-1", "10.0.0.1:80");
    leaving.draining = true;
    tracker.upsert(leaving);
    tracker.note_trouble(Millis(100));
    tracker.remove(&TargetId::new("i-1"), Millis(200));
    assert!(tracker.snapshot().is_empty());
}

/// The whole list is read anew, and one entry in it cannot be decoded. Its
/// target is listed, so it has not left; requests must go on to it.
#[test]
fn an_entry_that_cannot_be_read_in_a_listing_stays_as_it_was_known() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    tracker.upsert(member("i-2", "10.0.0.2:80"));
    let listed = vec![member("i-2", "10.0.0.2:80")];
    replace(&mut tracker, listed, &[TargetId::new("i-1")], Millis(10));
    assert_eq!(open_ids(&tracker), ["i-1", "i-2"]);
}

/// The list is read anew and is as it was known: subscribers must not be told of
/// a thousand targets that did not change. One that was missing is told of.
#[test]
fn a_listing_changes_what_is_other_than_it_was_known() {
    let mut tracker = MemberTracker::default();
    let listed = [member("i-1", "10.0.0.1:80"), member("i-2", "10.0.0.2:80")];
    for member in &listed {
        tracker.upsert(member.clone());
    }
    let difference = tracker.difference(listed.to_vec(), &[]);
    assert_eq!(difference, Difference::default());
    tracker.note_trouble(Millis(5_000));
    tracker.remove(&TargetId::new("i-2"), Millis(5_100));
    let difference = tracker.difference(listed.to_vec(), &[]);
    assert_eq!(difference.written, listed[1..]);
}
