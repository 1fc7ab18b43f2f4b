//! Tests of the shares of split routes.

mod properties;

use super::*;
use crate::routing::routes::tests::route;

/// An operator gives a new version a tenth of a route. A random choice would miss this
/// share by a third of it over a few hundred requests.
#[test]
fn each_part_stays_within_a_request_of_its_share() {
    for seed in 0..50 {
        let route = route("r", "/", &[("old", 90), ("new", 10)]);
        let mut splitter = Splitter::new(seed);
        let mut new = 0_i64;
        for sent in 1..=300_i64 {
            new += i64::from(splitter.choose(&route).as_str() == "new");
            assert!(
                (new * 10 - sent).abs() <= 15,
                "seed {seed}: {new} of {sent}"
            );
        }
    }
}

/// Guards against a smaller share that gets no requests at first: all nodes start using a
/// new split at the same time, and with the same phase each would send its first request
/// to the larger share.
#[test]
fn entries_start_at_different_phases() {
    let route = route("r", "/", &[("a", 50), ("b", 50)]);
    let mut first_to_b = 0;
    for seed in 0..200 {
        first_to_b += u32::from(Splitter::new(seed).choose(&route).as_str() == "b");
    }
    assert!((40..=160).contains(&first_to_b), "{first_to_b} of 200");
}

#[test]
fn changed_weights_start_a_new_count() {
    let mut splitter = Splitter::new(1);
    let before = route("r", "/", &[("a", 100), ("b", 0)]);
    for _ in 0..100 {
        assert_eq!(splitter.choose(&before).as_str(), "a");
    }
    let after = route("r", "/", &[("a", 50), ("b", 50)]);
    let mut b = 0;
    for _ in 0..100 {
        b += u32::from(splitter.choose(&after).as_str() == "b");
    }
    assert!((49..=51).contains(&b), "{b}");
}
