//! Tests of which calls count as in flight in a crash.

use super::*;

const CALL: RunningCall = RunningCall {
    fingerprint: 7,
    repeated_percent: 0,
    is_trial: false,
    is_sent: false,
};

/// Guards against a crash that is attributed to no request because its caller left a
/// moment before.
#[test]
fn a_call_whose_caller_has_just_left_counts_as_in_flight() {
    let mut running = RunningCalls::default();
    let number = running.add(CALL);
    running.note_sent(number);
    running.abandon(number, Millis(100));
    let taken = running.take_unanswered(Millis(200));
    assert_eq!(taken.len(), 1);
    assert!(running.take_unanswered(Millis(200)).is_empty());
}

#[test]
fn a_call_that_ended_long_ago_does_not_count() {
    let mut running = RunningCalls::default();
    let number = running.add(CALL);
    running.note_sent(number);
    running.abandon(number, Millis(100));
    let late = Millis(100) + UNANSWERED_RETENTION_MS;
    assert!(running.take_unanswered(late).is_empty());
}

/// Guards against suspecting a request that found the target down already.
#[test]
fn a_call_that_was_not_sent_does_not_count() {
    let mut running = RunningCalls::default();
    let number = running.add(CALL);
    assert!(running.take_unanswered(Millis(1)).is_empty());
    running.note_sent(number);
    assert_eq!(running.take_unanswered(Millis(2)).len(), 1);
}

#[test]
fn an_answered_call_does_not_count() {
    let mut running = RunningCalls::default();
    let number = running.add(CALL);
    running.note_sent(number);
    running.finish(number);
    running.abandon(number, Millis(1));
    assert!(running.take_unanswered(Millis(2)).is_empty());
}

/// Guards against taking a target for idle that goes on with a run whose caller has left,
/// or for busy with a call that it never received or has answered.
#[test]
fn only_a_call_that_was_sent_and_not_answered_may_go_on() {
    let mut running = RunningCalls::default();
    let unsent = running.add(CALL);
    assert!(!running.abandon(unsent, Millis(100)));
    let sent = running.add(CALL);
    running.note_sent(sent);
    assert!(running.abandon(sent, Millis(100)));
    let answered = running.add(CALL);
    running.note_sent(answered);
    running.finish(answered);
    assert!(!running.abandon(answered, Millis(100)));
}
