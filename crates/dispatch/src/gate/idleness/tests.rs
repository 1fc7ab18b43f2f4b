//! Tests of deciding whether the target runs nothing.

use super::*;

const STARTED_AT: Millis = Millis(100);
/// When the runs of an earlier process have ended.
const SETTLED_AT: Millis = Millis(100 + 5_000);

fn settled() -> TargetIdleness {
    TargetIdleness::new(STARTED_AT)
}

#[test]
fn a_target_with_calls_at_its_gate_is_not_idle() {
    assert!(settled().is_idle(0, SETTLED_AT));
    assert!(!settled().is_idle(1, SETTLED_AT));
}

/// Guards against calls of runs that an earlier process of this node has started.
#[test]
fn a_target_is_not_idle_just_after_the_process_started() {
    assert!(!settled().is_idle(0, STARTED_AT));
    assert!(!settled().is_idle(0, SETTLED_AT.minus(Millis(1))));
}

/// Guards against a call that a run has made and that is read just after its answer.
#[test]
fn a_target_is_not_idle_just_after_an_answer() {
    let mut idleness = settled();
    idleness.note_answered(SETTLED_AT);
    assert!(!idleness.is_idle(0, SETTLED_AT));
    assert!(!idleness.is_idle(0, SETTLED_AT + Millis(9)));
    assert!(idleness.is_idle(0, SETTLED_AT + Millis(10)));
}

/// Guards against calls of a run that was cancelled and goes on in its target.
#[test]
fn a_target_goes_on_with_a_cancelled_run_until_its_deadline() {
    let mut idleness = settled();
    let deadline_at = SETTLED_AT + Millis(1_200);
    idleness.note_abandoned(deadline_at, SETTLED_AT);
    // Other runs end meanwhile.
    idleness.note_answered(SETTLED_AT + Millis(100));
    assert!(!idleness.is_idle(0, deadline_at.minus(Millis(1))));
    assert!(idleness.is_idle(0, deadline_at));
}

/// Guards against calls of a run that its target continues past the deadline.
#[test]
fn a_target_goes_on_with_a_run_that_timed_out() {
    let mut idleness = settled();
    idleness.note_abandoned(SETTLED_AT, SETTLED_AT);
    assert!(!idleness.is_idle(0, SETTLED_AT + Millis(499)));
    assert!(idleness.is_idle(0, SETTLED_AT + Millis(500)));
}

/// Guards against one cancelled run with a long deadline that hides for minutes that the
/// target is idle.
#[test]
fn an_abandoned_run_counts_for_some_seconds_at_most() {
    let mut idleness = settled();
    idleness.note_abandoned(SETTLED_AT + Millis::from_secs(600), SETTLED_AT);
    assert!(idleness.is_idle(0, SETTLED_AT + Millis(5_000)));
}
