//! Tests of failure scores.

use super::*;
use crate::knowledge::members::tests::incarnation;

fn target() -> Member {
    incarnation(1)
}

/// Guards against avoiding a healthy target. It failed, was unreachable, and restarted
/// under the same id; the failures of its earlier incarnation must not keep callers away
/// from the new one.
#[test]
fn failures_of_one_incarnation_do_not_count_for_the_next() {
    let mut failures = Failures::default();
    for at in [0, 10, 20] {
        failures.note_failure(&incarnation(1), Millis(at));
    }
    failures.note_unreachable(&incarnation(1), Millis(30));
    assert!(failures.is_avoided(&incarnation(1), Millis(40)));
    assert!(!failures.is_avoided(&incarnation(2), Millis(40)));
    assert!(!failures.is_unreachable(&incarnation(2), Millis(40)));
    failures.note_failure(&incarnation(2), Millis(50));
    assert!(!failures.is_avoided(&incarnation(2), Millis(60)));
}

#[test]
fn one_failure_is_tolerated_and_several_are_not() {
    let mut failures = Failures::default();
    failures.note_failure(&target(), Millis(0));
    assert!(!failures.is_avoided(&target(), Millis(0)));
    failures.note_failure(&target(), Millis(10));
    assert!(failures.is_avoided(&target(), Millis(10)));
    assert!(!failures.is_avoided(&target(), Millis(3_000)));
}

/// Guards against a target that fails every second request while its health endpoint
/// reports success. A single success must not clear its score.
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
fn an_unreachable_vm_is_skipped_with_exponential_backoff() {
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
