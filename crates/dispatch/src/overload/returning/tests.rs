//! Tests of recognising callers that retry.

use super::*;

const LOOKUP: u64 = 7;

fn refused_at_zero() -> ReturningCallers {
    let mut returning = ReturningCallers::default();
    returning.note_refused(LOOKUP, Millis(1_200), Millis(0));
    returning
}

/// A caller is refused and sends the same request again 300 ms later, with 300 ms less of
/// its deadline. Its objective counts from its first request.
#[test]
fn a_caller_that_retries_is_recognised() {
    let mut returning = refused_at_zero();
    let first = returning.first_arrived(LOOKUP, Millis(1_203), Millis(300));
    assert_eq!(first, Millis(0));
    // Refused a second time, it is still the same caller.
    returning.note_refused(LOOKUP, Millis(1_203), first);
    let first = returning.first_arrived(LOOKUP, Millis(1_198), Millis(600));
    assert_eq!(first, Millis(0));
}

/// Another caller sends the same request with another deadline, so it is a new caller.
#[test]
fn another_caller_of_the_same_request_is_not_recognised() {
    let returning = refused_at_zero();
    let first = returning.first_arrived(LOOKUP, Millis(1_500), Millis(300));
    assert_eq!(first, Millis(300));
    let first = returning.first_arrived(LOOKUP + 1, Millis(1_200), Millis(300));
    assert_eq!(first, Millis(300));
}

/// Refusals are remembered as long as their callers can retry, and a flood of them takes
/// a bounded amount of memory.
#[test]
fn remembered_refusals_are_bounded_and_expire() {
    let mut returning = ReturningCallers::default();
    for number in 0..2 * MAX_REMEMBERED as u64 {
        returning.note_refused(number, Millis(1_000), Millis(0));
    }
    assert_eq!(returning.by_fingerprint.len(), MAX_REMEMBERED);
    returning.forget_expired(Millis(999));
    assert_eq!(returning.by_fingerprint.len(), MAX_REMEMBERED);
    returning.forget_expired(Millis(1_000));
    assert!(returning.by_fingerprint.is_empty());
}
