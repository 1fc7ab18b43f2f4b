//! A part of `hornbeamhitch-lab check` that is fast enough for a debug build.

use hornbeamhitch_lab::bounds::{BoundsFile, Measure, check};
use hornbeamhitch_lab::case::catalogue;
use hornbeamhitch_lab::policy::PolicyKind;
use hornbeamhitch_lab::world::World;

const COMMITTED: &str = include_str!("../bounds.json");
/// Cases with few calls: one with a slow target, one with a target that fails fast, and
/// one with drains and cold starts.
const SHORT_CASES: [&str; 3] = [
    "ljubljana-slow-60",
    "ljubljana-fail-fast-60",
    "ljubljana-drain-cold-60",
];

fn committed() -> BoundsFile {
    serde_json::from_str(COMMITTED).expect("the committed bounds are well-formed")
}

/// A change of target selection may make callers wait for a slow, failing or cold target.
/// The committed bounds detect this before the change is merged: CI checks all of them
/// with the release binary, and this test checks some.
#[test]
fn short_cases_stay_within_their_bounds() {
    let mut file = committed();
    file.bounds.retain(|bound| {
        SHORT_CASES.contains(&bound.case.as_str()) && bound.measure != Measure::OverBestBaseline
    });
    assert!(file.bounds.len() >= SHORT_CASES.len(), "bounds are missing");
    for verdict in check(&file, &catalogue()).expect("the cases exist") {
        let bound = &verdict.bound;
        assert!(
            verdict.holds,
            "{} {} is {}, bound {:?} to {:?}: {}",
            bound.case, bound.measure, verdict.measured, bound.at_least, bound.at_most, bound.why,
        );
    }
}

/// A bound whose case was renamed, or a case without a bound, would never be checked.
#[test]
fn every_case_has_a_bound_and_every_bound_a_case() {
    let file = committed();
    let cases = catalogue();
    for case in &cases {
        let is_bounded = file.bounds.iter().any(|bound| bound.case == case.name);
        assert!(is_bounded, "{} has no bound", case.name);
    }
    for bound in &file.bounds {
        let exists = cases.iter().any(|case| case.name == bound.case);
        assert!(exists, "no case is named {}", bound.case);
        assert!(!bound.why.is_empty(), "{} lacks its why", bound.case);
        let is_bound = bound.at_most.is_some() || bound.at_least.is_some();
        assert!(is_bound, "{} {} bounds nothing", bound.case, bound.measure);
    }
}

/// The same seed must give the same results. Otherwise a failing check could pass when it
/// is merely run again.
#[test]
fn the_same_seed_gives_the_same_figures() {
    let cases = catalogue();
    let case = cases
        .iter()
        .find(|case| case.name == "ljubljana-drain-cold-60")
        .expect("the case exists");
    let first = World::new(case, PolicyKind::Ours, 7).run();
    let second = World::new(case, PolicyKind::Ours, 7).run();
    let first = serde_json::to_string(&first).expect("a report is plain data");
    let second = serde_json::to_string(&second).expect("a report is plain data");
    assert_eq!(first, second);
}
