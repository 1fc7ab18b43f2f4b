//! Tests of how a gate combines health checks and entries of its target.

use super::*;

const IN_FORCE_MS: Millis = Millis(2_000);

fn departure() -> Departure {
    Departure::new(Waits::new(IN_FORCE_MS))
}

fn target() -> TargetId {
    TargetId::new("i-1")
}

/// A health check may be wrong for seconds. A target whose entry is good keeps getting
/// work, and its entry is looked up only a few times, since each lookup costs a call.
#[test]
fn a_target_whose_health_check_is_wrong_keeps_getting_work() {
    let mut departure = departure();
    let mut lookups = 0;
    for now in (0..6_000).step_by(10).map(Millis) {
        departure.note_health(true, now);
        if departure.start_lookup_if_due(now) {
            lookups += 1;
            departure.note_entry(&target(), ListingState::Open);
        }
        assert!(!departure.has_left(&target()));
    }
    assert_eq!(lookups, 8);
}

/// Guards against a late departure: an unhealthy target may leave at any later time, and
/// its gate must look up the entry often enough to notice in time.
#[test]
fn the_departure_of_an_unhealthy_target_is_noticed_in_time() {
    for leaves_at in (0..3_000).step_by(10).map(Millis) {
        let mut departure = departure();
        let mut known_at = None;
        for now in (0..6_000).step_by(10).map(Millis) {
            departure.note_health(true, now);
            if !departure.start_lookup_if_due(now) {
                continue;
            }
            let listing_state = match now >= leaves_at {
                true => ListingState::Draining,
                false => ListingState::Open,
            };
            if departure.note_entry(&target(), listing_state) {
                known_at.get_or_insert(now);
            }
        }
        let known_at = known_at.expect("it is looked up again");
        assert!(known_at.since(leaves_at) < IN_FORCE_MS, "{leaves_at}");
        assert!(departure.has_left(&target()));
    }
}

/// The entry of an unhealthy target has expired and returns two seconds later. No call
/// starts meanwhile, so no health check is made; the target must get work again all the
/// same.
#[test]
fn a_target_gets_work_again_when_its_entry_returns() {
    let mut departure = departure();
    departure.note_health(true, Millis(10));
    assert!(departure.start_lookup_if_due(Millis(10)));
    assert!(departure.note_entry(&target(), ListingState::Unlisted));
    assert!(departure.has_left(&target()));
    assert!(!departure.start_lookup_if_due(Millis(20)));
    assert!(departure.start_lookup_if_due(Millis(2_010)));
    assert!(departure.note_entry(&target(), ListingState::Open));
    assert!(!departure.has_left(&target()));
}

/// The departure of one target does not affect the next one at its address.
#[test]
fn another_target_gets_work() {
    let mut departure = departure();
    departure.note_entry(&target(), ListingState::Draining);
    assert!(!departure.has_left(&TargetId::new("i-2")));
}

/// A target that is always busy has its health checked as well.
#[test]
fn health_is_checked_again_while_the_target_is_busy() {
    let mut departure = departure();
    assert!(departure.health_is_due(Millis(0)));
    departure.note_health(false, Millis(0));
    assert!(!departure.health_is_due(Millis(100)));
    assert!(departure.health_is_due(Millis(300)));
    assert!(!departure.start_lookup_if_due(Millis(300)));
}

/// A target has announced that it leaves, has ended, and has restarted under the same id.
/// Its health is not checked while it gets no work, so its entry must show the restart.
#[test]
fn a_target_that_starts_again_under_its_id_gets_work() {
    let mut departure = departure();
    departure.note_health(true, Millis(10));
    assert!(departure.start_lookup_if_due(Millis(10)));
    departure.note_entry(&target(), ListingState::Draining);
    assert!(departure.has_left(&target()));
    assert!(departure.start_lookup_if_due(Millis(5_000)));
    assert!(departure.note_entry(&target(), ListingState::Open));
    assert!(!departure.has_left(&target()));
}

/// Guards against a target that has stated its departure and gets work because its entry,
/// or an answer that it began before, says otherwise.
#[test]
fn either_word_is_enough_for_a_departure() {
    let mut departure = departure();
    assert!(departure.note_statement(&target(), true, Millis(10), Millis(20)));
    departure.note_entry(&target(), ListingState::Open);
    assert!(!departure.note_statement(&target(), false, Millis(15), Millis(30)));
    assert!(departure.has_left(&target()));
    assert!(departure.note_statement(&target(), false, Millis(21), Millis(31)));
    assert!(!departure.has_left(&target()));
}
