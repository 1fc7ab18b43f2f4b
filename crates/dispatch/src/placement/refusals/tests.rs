//! Tests of remembered refusals, in virtual time.

use super::*;
use crate::knowledge::members::tests::incarnation;

/// In an overload, a refusal makes the next offers small until a call is accepted or the
/// refusal is too old.
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

/// A target that refused restarts under the same id. The refusal does not apply to its
/// new incarnation.
#[test]
fn a_refusal_of_an_earlier_incarnation_is_ignored() {
    let mut refusals = Refusals::default();
    refusals.note_refused(&incarnation(1), Millis(100));
    assert!(!refusals.is_refusal_likely(&incarnation(2), Millis(101)));
}
