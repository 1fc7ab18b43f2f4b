//! Exact traffic shares for routes with several destinations.

use std::collections::HashMap;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Chooses the destination of each request of a split route by deficit: after any number
/// of requests, each destination is within one request of its share.
///
/// A random choice would be off by the square root of the count, which is more than a
/// tenth at a few hundred requests. A destination without free capacity keeps its
/// requests: they are refused there and never moved to another destination. Otherwise a
/// canary would receive more traffic when the version beside it fails.
#[derive(Debug)]
pub struct Splitter {
    rng: Xoshiro256PlusPlus,
    deficits: HashMap<String, RouteDeficits>,
}

/// Deficit of each destination of one route, in millionths of a request.
#[derive(Debug)]
struct RouteDeficits {
    destinations: Vec<crate::routing::routes::Destination>,
    deficits: Vec<i64>,
}

const ONE_REQUEST: i64 = 1_000_000;
/// Number of phases from which a new split may start. Weights are commonly percentages,
/// for which the sequence of choices is no longer than this.
const PHASES: u32 = 100;

impl Splitter {
    /// Creates a splitter without any deficits. `seed` determines the phases from which
    /// routes start.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            deficits: HashMap::new(),
        }
    }

    /// Returns the service for the next request of a route.
    pub fn choose(&mut self, route: &Route) -> ServiceName {
        if let [only] = route.destinations.as_slice() {
            return only.service.clone();
        }
        let known = self.deficits.get(&route.name);
        if known.is_none_or(|known| known.destinations != route.destinations) {
            let fresh = RouteDeficits::new(route, &mut self.rng);
            self.deficits.insert(route.name.clone(), fresh);
        }
        let deficits = self
            .deficits
            .get_mut(&route.name)
            .expect("the deficits of this route were just inserted");
        let index = deficits.next_destination();
        route.destinations[index].service.clone()
    }

    /// Discards the state of routes that are no longer configured.
    pub fn retain(&mut self, routes: &RouteSet) {
        let names = routes.names();
        self.deficits
            .retain(|name, _| names.contains(name.as_str()));
    }
}

impl RouteDeficits {
    /// Starts at a random phase. Many nodes start using a new split at the same time;
    /// with the same phase, all of them would send their first requests to the same
    /// destination.
    fn new(route: &Route, rng: &mut Xoshiro256PlusPlus) -> Self {
        let mut fresh = Self {
            destinations: route.destinations.clone(),
            deficits: vec![0; route.destinations.len()],
        };
        for _ in 0..rng.random_range(0..PHASES) {
            fresh.next_destination();
        }
        fresh
    }

    /// Returns the share of a destination in each request, in millionths.
    fn share_per_request(&self, index: usize) -> i64 {
        let total: i64 = self
            .destinations
            .iter()
            .map(|destination| i64::from(destination.weight))
            .sum();
        if total == 0 {
            return ONE_REQUEST / self.destinations.len().max(1) as i64;
        }
        ONE_REQUEST * i64::from(self.destinations[index].weight) / total
    }

    /// Returns the index of the destination that is furthest behind its share, and counts
    /// a request for it.
    fn next_destination(&mut self) -> usize {
        let mut largest = 0;
        for index in 0..self.deficits.len() {
            self.deficits[index] += self.share_per_request(index);
            if self.deficits[index] > self.deficits[largest] {
                largest = index;
            }
        }
        self.deficits[largest] -= ONE_REQUEST;
        largest
    }
}
