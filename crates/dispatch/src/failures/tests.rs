//! What is held against targets.

use super::*;
use crate::members::tests::life;

fn target() -> Member {
    life(1)
}

/// A target fails, cannot be reached, and starts again under its id. The new life
/// has failed nobody; held against it, the earlier one's failures would keep
/// callers away from a sound target.
#[test]
fn what_was_learnt_of_one_life_is_not_held_against_the_next() {
    let mut failures = Failures::default();
    for at in [0, 10, 20] {
        failures.note_failure(&life(1), Millis(at));
    }
    failures.note_unreachable(&life(1), Millis(30));
    assert!(failures.is_avoided(&life(1), Millis(40)));
    assert!(!failures.is_avoided(&life(2), Millis(40)));
    assert!(!failures.is_unreachable(&life(2), Millis(40)));
    failures.note_failure(&life(2), Millis(50));
    assert!(!failures.is_avoided(&life(2), Millis(60)));
}

#[test]
fn one_failure_is_forgiven_and_several_are_not() {
    let mut failures = Failures::default();
    failures.note_failure(&target(), Millis(0));
    assert!(!failures.is_avoided(&target(), Millis(0)));
    failures.note_failure(&target(), Millis(10));
    assert!(failures.is_avoided(&target(), Millis(10)));
    assert!(!failures.is_avoided(&target(), Millis(3_000)));
}

/// A target fails every second request while its health endpoint says well. A
/// single success in between must not make it sound again.
#[test]
fn a_target_that_fails_every_second_request_stays_avoided() {
    let mut failures = Failures::default();
    for step in 0..20 {
        failures.note_failure(&target(), Millis(step * 100));
        failures.note_success(&target(), Millis(step * 100 + 50));
    }
    assert!(failures.is_avoided(&target(), Millis(2_000)));
}

#[test]
fn a_dark_vm_is_left_alone_for_a_time_that_doubles() {
    let mut failures = Failures::default();
    failures.note_unreachable(&target(), Millis(0));
    assert!(failures.is_unreachable(&target(), Millis(399)));
    assert!(!failures.is_unreachable(&target(), Millis(400)));
    failures.note_unreachable(&target(), Millis(400));
    assert!(failures.is_unreachable(&target(), Millis(1_199)));
    failures.note_success(&target(), Millis(1_300));
    failures.note_unreachable(&target(), Millis(2_000));
    assert!(!failures.is_unreachable(&target(), Millis(2_400)));
}
