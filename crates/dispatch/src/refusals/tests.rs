//! What is remembered of refusals, in virtual time.

use super::*;
use crate::members::tests::incarnation;

/// More calls come than all targets can run. A refusal makes the next questions small,
/// until a call is taken or the refusal says nothing any more.
#[test]
fn a_refusal_predicts_another_for_a_while() {
    let mut refusals = Refusals::default();
    assert!(!refusals.is_refusal_likely(&incarnation(1), Millis(0)));
    refusals.note_refused(&incarnation(1), Millis(100));
    assert!(refusals.is_refusal_likely(&incarnation(1), Millis(599)));
    assert!(!refusals.is_refusal_likely(&incarnation(1), Millis(600)));
    refusals.note_refused(&incarnation(1), Millis(700));
    refusals.note_accepted(&incarnation(1));
    assert!(!refusals.is_refusal_likely(&incarnation(1), Millis(701)));
}

/// A target that refused starts again under its id. What it refused says nothing of
/// its next life.
#[test]
fn a_refusal_of_an_earlier_incarnation_is_ignored() {
    let mut refusals = Refusals::default();
    refusals.note_refused(&incarnation(1), Millis(100));
    assert!(!refusals.is_refusal_likely(&incarnation(2), Millis(101)));
}
