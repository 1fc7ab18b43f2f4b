//! Properties of splits with any weights.

use proptest::prelude::*;

use super::super::*;
use crate::routing::routes::tests::route;

proptest! {
    /// For any weights, the number of requests of each destination differs from its share
    /// by no more than the number of the route's destinations, however many requests were
    /// sent: the error does not grow.
    #[test]
    fn no_part_drifts_from_its_share(
        weights in proptest::collection::vec(0_u32..10_000, 2..6),
        seed in any::<u64>(),
        requests in 1_u64..3_000,
    ) {
        let names = ["a", "b", "c", "d", "e"];
        let mut parts = Vec::new();
        for (name, weight) in names.iter().zip(&weights) {
            parts.push((*name, *weight));
        }
        let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
        let route = route("r", "/", &parts);
        let mut splitter = Splitter::new(seed);
        let mut counts = vec![0_u64; parts.len()];
        for _ in 0..requests {
            let chosen = splitter.choose(&route);
            let part = names.iter().position(|name| *name == chosen.as_str());
            counts[part.expect("a part of the route")] += 1;
        }
        for (count, weight) in counts.iter().zip(&weights) {
            let share = match total {
                0 => requests as f64 / parts.len() as f64,
                total => requests as f64 * f64::from(*weight) / total as f64,
            };
            let off = (*count as f64 - share).abs();
            prop_assert!(off <= parts.len() as f64, "{counts:?} of {weights:?}");
        }
    }

    /// A destination of weight 0 was disabled by the operator and gets no requests.
    #[test]
    fn a_part_without_weight_gets_nothing(seed in any::<u64>(), weight in 1_u32..100) {
        let route = route("r", "/", &[("on", weight), ("off", 0)]);
        let mut splitter = Splitter::new(seed);
        for _ in 0..300 {
            let chosen = splitter.choose(&route);
            prop_assert_eq!(chosen.as_str(), "on");
        }
    }
}
