//! Tests of what an entry remembers of targets' statements.

use super::*;
use crate::knowledge::members::tests::incarnation;

const LEAVING: TargetNotice = TargetNotice {
    max_requests_per_1000_s: None,
    is_leaving: true,
};

/// Guards against requests to a target that has stated that it leaves, and against a
/// target that is out of use for good because it stated so once.
#[test]
fn a_departure_holds_until_the_target_withdraws_it_or_it_is_old() {
    let target = incarnation(1);
    let mut notices = TargetNotices::default();
    notices.note(&target, LEAVING, Millis(0), Millis(100));
    // An answer that the target began before.
    notices.note(&target, TargetNotice::default(), Millis(50), Millis(120));
    assert!(notices.is_leaving(&target, Millis(59_000)));
    assert!(!notices.is_leaving(&target, Millis(61_000)));
    notices.note(&target, TargetNotice::default(), Millis(130), Millis(140));
    assert!(!notices.is_leaving(&target, Millis(150)));
}

/// Guards against statements of an earlier incarnation that are held against a later one.
#[test]
fn statements_concern_one_incarnation() {
    let target = incarnation(1);
    let restarted = incarnation(2);
    let mut notices = TargetNotices::default();
    notices.note(&target, LEAVING, Millis(0), Millis(1));
    assert!(!notices.is_leaving(&restarted, Millis(2)));
    assert_eq!(notices.of(&restarted), TargetNotice::default());
}
