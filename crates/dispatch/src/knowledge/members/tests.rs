//! Tests of tracking the platform's list.

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
        listing_order: Revision::new(0, 1),
        started_at_ms: None,
    }
}

/// Returns the incarnation of target `i-1` that started at this time.
pub(crate) fn incarnation(started_at_ms: u64) -> Member {
    Member {
        started_at_ms: Some(Millis(started_at_ms)),
        ..member("i-1", "10.0.0.1:80")
    }
}

/// Applies a complete listing.
fn replace(tracker: &mut MemberTracker, listed: Vec<Member>, now: Millis) {
    let difference = tracker.difference(listed);
    for member in difference.written {
        tracker.upsert(member);
    }
    for id in difference.removed {
        tracker.remove(&id, now);
    }
}

fn available_ids(tracker: &MemberTracker) -> Vec<String> {
    let members = tracker.snapshot();
    let available = members.available(&ServiceName::new("cashier"));
    available
        .iter()
        .map(|member| member.id.to_string())
        .collect()
}

#[test]
fn a_removal_counts_at_once_while_the_store_works() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    tracker.remove(&TargetId::new("i-1"), Millis(10));
    assert!(available_ids(&tracker).is_empty());
    assert!(tracker.snapshot().has_left(&TargetId::new("i-1")));
}

/// Guards against requests to a data centre that operators have evacuated. Its targets
/// stay listed, and are used again once the evacuation ends.
#[test]
fn targets_of_an_evacuated_data_centre_are_known_and_not_available() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    tracker.upsert(Member {
        data_centre: DataCentre::new("bangna"),
        ..member("i-2", "10.0.0.2:80")
    });
    assert!(tracker.set_evacuated(DataCentre::new("dusit"), true));
    assert!(!tracker.set_evacuated(DataCentre::new("dusit"), true));
    assert_eq!(available_ids(&tracker), ["i-2"]);
    assert_eq!(tracker.snapshot().len(), 2);
    // A target that starts there is not used either.
    tracker.upsert(member("i-3", "10.0.0.3:80"));
    assert_eq!(available_ids(&tracker), ["i-2"]);
    assert!(tracker.set_evacuated(DataCentre::new("dusit"), false));
    assert_eq!(available_ids(&tracker), ["i-1", "i-2", "i-3"]);
}

#[test]
fn a_draining_target_is_known_and_not_available() {
    let mut tracker = MemberTracker::default();
    let mut leaving = member("i-1", "10.0.0.1:80");
    leaving.draining = true;
    tracker.upsert(leaving);
    assert!(available_ids(&tracker).is_empty());
    let snapshot = tracker.snapshot();
    let known = snapshot.get(&TargetId::new("i-1"));
    assert!(known.is_some_and(|member| member.draining));
}

/// Guards against answers that a service has no target. The store comes back from an
/// outage of some seconds without the entries of targets whose reports it missed,
/// although these targets run all the while.
#[test]
fn entries_missing_after_a_store_failure_are_kept_for_two_seconds() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    tracker.upsert(member("i-2", "10.0.0.2:80"));
    tracker.note_store_failure(Millis(5_000));
    replace(
        &mut tracker,
        vec![member("i-1", "10.0.0.1:80")],
        Millis(5_100),
    );
    assert_eq!(available_ids(&tracker), ["i-1", "i-2"]);
    assert!(!tracker.expire(Millis(7_099)));
    assert!(tracker.expire(Millis(7_100)));
    assert_eq!(available_ids(&tracker), ["i-1"]);
}

/// Guards against work for a target that has announced that it leaves, after the store
/// returned from a copy that is older than the announcement.
#[test]
fn a_draining_target_does_not_take_work_again() {
    let mut tracker = MemberTracker::default();
    let mut draining = member("a", "10.0.0.1:80");
    draining.draining = true;
    tracker.upsert(draining);
    tracker.begin_era(Millis(10));
    let mut copied = member("a", "10.0.0.1:80");
    copied.listing_order = Revision::new(1, 1);
    for _ in 0..2 {
        tracker.upsert(copied.clone());
        assert!(available_ids(&tracker).is_empty());
    }
}

/// Guards against a target that is out of use for good after its VM was to be replaced and
/// then stayed.
#[test]
fn a_target_that_no_longer_drains_takes_work_again() {
    let mut tracker = MemberTracker::default();
    let mut draining = member("a", "10.0.0.1:80");
    draining.draining = true;
    tracker.upsert(draining);
    tracker.upsert(member("a", "10.0.0.1:80"));
    assert_eq!(available_ids(&tracker), ["a"]);
}

/// Guards against work for a target that had left before the store returned from a copy
/// that still lists it, and against one that stays out of use although it runs.
#[test]
fn a_removed_target_that_a_copy_lists_is_used_only_if_it_stays_listed() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("a", "10.0.0.1:80"));
    tracker.remove(&TargetId::new("a"), Millis(10));
    tracker.begin_era(Millis(20));
    tracker.upsert(member("a", "10.0.0.1:80"));
    assert!(available_ids(&tracker).is_empty());
    let expiry = tracker.next_expiry().expect("a held entry");
    assert!(expiry <= Millis(20) + RETURNED_ENTRY_HOLD_MS);
    assert!(tracker.expire(expiry));
    assert_eq!(available_ids(&tracker), ["a"]);
}

/// Guards against a service without targets after the store returned from a copy that
/// lacks them: their entries are written again if they run.
#[test]
fn targets_that_a_copy_lacks_are_kept_for_two_seconds() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("a", "10.0.0.1:80"));
    tracker.begin_era(Millis(10));
    tracker.remove(&TargetId::new("a"), Millis(20));
    assert!(!tracker.expire(Millis(1_900)));
    assert_eq!(available_ids(&tracker), ["a"]);
    assert!(tracker.expire(Millis(2_020)));
    assert!(available_ids(&tracker).is_empty());
}

/// Guards against a whole listing that counts as changed, because the store has assigned
/// other revisions to the same entries.
#[test]
fn entries_with_revisions_of_another_era_are_unchanged() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("a", "10.0.0.1:80"));
    let mut listed = member("a", "10.0.0.1:80");
    listed.listing_order = Revision::new(1, 7);
    let difference = tracker.difference(vec![listed]);
    assert_eq!(difference, Difference::default());
}

#[test]
fn an_entry_that_comes_back_is_kept() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    tracker.note_store_failure(Millis(5_000));
    tracker.remove(&TargetId::new("i-1"), Millis(5_100));
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    assert!(!tracker.expire(Millis(60_000)));
    assert_eq!(available_ids(&tracker), ["i-1"]);
}

/// A target crashes and restarts at its address. Its old entry expires only seconds after
/// the new one has appeared.
#[test]
fn only_the_latest_incarnation_at_an_address_is_available() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-9", "10.0.0.1:80"));
    let later = Member {
        listing_order: Revision::new(0, 2),
        ..member("i-1", "10.0.0.1:80")
    };
    tracker.upsert(later);
    assert_eq!(available_ids(&tracker), ["i-1"]);
}

#[test]
fn a_draining_target_removed_during_a_store_failure_is_gone_at_once() {
    let mut tracker = MemberTracker::default();
    let mut leaving = member("i-1", "10.0.0.1:80");
    leaving.draining = true;
    tracker.upsert(leaving);
    tracker.note_store_failure(Millis(100));
    tracker.remove(&TargetId::new("i-1"), Millis(200));
    assert!(tracker.snapshot().is_empty());
}

/// Guards against foreign entries. Another writer adds an entry for a service that no
/// configuration names, with the address of a running target and a later listing order.
/// Treated as the next incarnation at that address, it would take the target out of use.
#[test]
fn an_entry_of_an_unknown_service_takes_no_target_out_of_use() {
    let routes = {
        let mut routes = RouteSet::new(1, crate::routing::routes::CallerLimits::default());
        routes.set_health_path(ServiceName::new("cashier"), "/healthz");
        routes
    };
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    tracker.upsert(Member {
        service: ServiceName::new("not-ours"),
        listing_order: Revision::new(0, 2),
        ..member("x-1", "10.0.0.1:80")
    });
    tracker.upsert(Member {
        service: ServiceName::new("not-ours"),
        ..member("x-2", "10.9.9.9:80")
    });
    let members = tracker.snapshot_for(&routes);
    let available = members.available(&ServiceName::new("cashier"));
    assert_eq!(available.len(), 1);
    assert_eq!(available[0].id.as_str(), "i-1");
    let own = members.at_address("10.0.0.1:80".parse().expect("an address"));
    assert_eq!(own.map(|member| member.id.as_str()), Some("i-1"));
    assert_eq!(members.vms().len(), 1);
}

/// Guards against calls to a target that has left. It ends without draining, so its entry
/// is removed. One of the readers that this node subscribes to cannot read the store, but
/// this node can. If the removal were held for as long as an expired entry may take to
/// return, the target would get work for longer than a leaving target may.
#[test]
fn a_removal_during_a_remote_store_failure_is_held_for_less() {
    let mut tracker = MemberTracker::default();
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    tracker.note_remote_store_failure(Millis(900), Millis(5_000));
    tracker.remove(&TargetId::new("i-1"), Millis(5_100));
    assert!(!tracker.expire(Millis(5_999)));
    assert!(tracker.expire(Millis(6_000)));
    // A failure of the node's own reads still holds the removal for the whole time.
    tracker.upsert(member("i-1", "10.0.0.1:80"));
    tracker.note_store_failure(Millis(7_000));
    tracker.note_remote_store_failure(Millis(900), Millis(7_050));
    tracker.remove(&TargetId::new("i-1"), Millis(7_100));
    assert!(!tracker.expire(Millis(9_099)));
    assert!(tracker.expire(Millis(9_100)));
}

/// Guards against informing subscribers of a thousand targets that did not change when
/// the list is read again. A target whose entry was missing and is back counts as
/// changed.
#[test]
fn a_listing_changes_only_entries_that_differ() {
    let mut tracker = MemberTracker::default();
    let listed = [member("i-1", "10.0.0.1:80"), member("i-2", "10.0.0.2:80")];
    for member in &listed {
        tracker.upsert(member.clone());
    }
    let difference = tracker.difference(listed.to_vec());
    assert_eq!(difference, Difference::default());
    tracker.note_store_failure(Millis(5_000));
    tracker.remove(&TargetId::new("i-2"), Millis(5_100));
    let difference = tracker.difference(listed.to_vec());
    assert_eq!(difference.written, listed[1..]);
}
