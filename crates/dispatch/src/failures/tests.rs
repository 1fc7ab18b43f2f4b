//! What is held against targets.

use super::*;

fn id() -> TargetId {
    TargetId::new("i-1")
}

#[test]
fn one_failure_is_forgiven_and_several_are_not() {
    let mut failures = Failures::default();
    failures.note_failure(&id(), Millis(0));
    assert!(!failures.is_avoided(&id(), Millis(0)));
    failures.note_failure(&id(), Millis(10));
    assert!(failures.is_avoided(&id(), Millis(10)));
    assert!(!failures.is_avoided(&id(), Millis(3_000)));
}

/// A target fails every second request while its health endpoint says well. A
/// single success in between must not make it sound again.
#[test]
fn a_target_that_fails_every_second_request_stays_avoided() {
    let mut failures = Failures::default();
    for step in 0..20 {
        failures.note_failure(&id(), Millis(step * 100));
        failures.note_success(&id(), Millis(step * 100 + 50));
    }
    assert!(failures.is_avoided(&id(), Millis(2_000)));
}

#[test]
fn a_dark_vm_is_left_alone_for_a_time_that_doubles() {
    let mut failures = Failures::default();
    failures.note_unreachable(&id(), Millis(0));
    assert!(failures.is_away(&id(), Millis(399)));
    assert!(!failures.is_away(&id(), Millis(400)));
    failures.note_unreachable(&id(), Millis(400));
    assert!(failures.is_away(&id(), Millis(1_199)));
    failures.note_success(&id(), Millis(1_300));
    failures.note_unreachable(&id(), Millis(2_000));
    assert!(!failures.is_away(&id(), Millis(2_400)));
}
