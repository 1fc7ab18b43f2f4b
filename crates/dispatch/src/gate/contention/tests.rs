//! Tests of which calls yield to which.

use super::*;

const RUN: Millis = Millis(100);

fn call(objective_at: u64) -> GateCall {
    GateCall {
        priority: 1,
        work_ms: RUN,
        queue_until: Millis::ZERO,
        objective_at: Millis(objective_at),
        whole_objective_ms: Millis(300),
        slow_from: Millis::MAX,
        deadline_at: Millis(2_000),
    }
}

fn chance(objective_at: u64, now: u64) -> Chance {
    Chance::of(&call(objective_at), RUN, Millis(now))
}

/// At usual speed a call meets its objective if it starts within the first half of it, so
/// calls of that age need not yield to new ones.
#[test]
fn calls_sure_to_meet_their_objective_do_not_yield() {
    let mut contention = Contention::default();
    contention.note_rejected(1, chance(300, 0), RUN, Millis(0));
    assert!(!contention.must_yield(1, chance(300, 150), Millis(0)));
    assert!(contention.must_yield(1, chance(300, 200), Millis(0)));
    assert!(contention.must_yield(1, chance(300, 400), Millis(0)));
}

/// When work takes nearly all of the objective, as on cold targets, the newest calls go
/// first, since each moment of waiting makes a call later.
#[test]
fn the_newest_calls_go_first_when_work_takes_most_of_the_objective() {
    let slow = Millis(260);
    let mut contention = Contention::default();
    let new_call = Chance::of(&call(300), slow, Millis(0));
    contention.note_rejected(1, new_call, slow, Millis(0));
    let of = |now| Chance::of(&call(300), slow, Millis(now));
    assert!(!contention.must_yield(1, of(0), Millis(0)));
    assert!(!contention.must_yield(1, of(20), Millis(0)));
    assert!(contention.must_yield(1, of(60), Millis(0)));
}

/// Once no more calls are rejected, calls that miss their objective are served again.
#[test]
fn a_slot_is_held_for_a_part_of_a_run_only() {
    let mut contention = Contention::default();
    contention.note_rejected(1, chance(300, 0), RUN, Millis(0));
    let late_call = chance(300, 400);
    assert!(contention.must_yield(1, late_call, Millis(24)));
    assert!(!contention.must_yield(1, late_call, Millis(25)));
}

/// Late payments go before lookups that are in time, since operators give them a higher
/// priority; late lookups yield to payments that are in time.
#[test]
fn a_higher_priority_does_not_yield_to_a_lower_one() {
    let mut contention = Contention::default();
    let late_call = chance(300, 400);
    contention.note_rejected(2, chance(300, 0), RUN, Millis(0));
    assert!(!contention.must_yield(1, late_call, Millis(1)));
    contention.note_rejected(1, chance(300, 0), RUN, Millis(0));
    assert!(contention.must_yield(2, late_call, Millis(1)));
}

/// If only late calls arrive, all of them have the same chance, and none is kept out.
#[test]
fn late_calls_do_not_yield_to_one_another() {
    let mut contention = Contention::default();
    contention.note_rejected(1, chance(300, 350), RUN, Millis(350));
    assert!(!contention.must_yield(1, chance(300, 900), Millis(351)));
}

/// Guards against a route that is never served: if its work takes longer than its
/// objective allows, all its calls are late. Its new calls do not yield to those of other
/// routes.
#[test]
fn routes_that_always_miss_their_objective_are_served_as_well() {
    let mut contention = Contention::default();
    contention.note_rejected(1, chance(300, 0), RUN, Millis(0));
    let long = Chance::of(&call(300), Millis(1_000), Millis(0));
    assert!(!contention.must_yield(1, long, Millis(1)));
}
