//! Tests of learnt run times and sizes.

use super::*;
use crate::routing::routes::tests::route;

#[test]
fn runs_are_learnt_at_usual_speed() {
    let route = route("r", "/", &[("s", 1)]);
    let mut estimates = WorkEstimates::default();
    assert_eq!(estimates.estimate(&route).run_at(100), Millis(90));
    for _ in 0..200 {
        estimates.learn(&route, Millis(250), 500, 5_000);
    }
    let estimate = estimates.estimate(&route);
    assert_eq!(estimate.run_at(100), Millis(51));
    assert_eq!(estimate.run_at(500), Millis(251));
    assert!((4_900.0..=5_000.0).contains(&estimate.answer_bytes));
}
