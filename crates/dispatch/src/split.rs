//! Exact shares of a split route.

use std::collections::HashMap;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Chooses the part of a split route for each request, by deficit: after any
/// number of requests each part is within one request of its share.
///
/// A draw by chance would be off by the root of the count, which at a few
/// hundred requests is more than a tenth. A part that is short of room keeps
/// its requests: they are refused there and never moved to another part, or a
/// canary would be fed by the failure of the version beside it.
#[derive(Debug)]
pub struct Splitter {
    rng: Xoshiro256PlusPlus,
    deficits: HashMap<String, RouteDeficits>,
}

/// What each part of one route is owed, in millionths of a request.
#[derive(Debug)]
struct RouteDeficits {
    destinations: Vec<crate::routes::Destination>,
    owed: Vec<i64>,
}

const ONE_REQUEST: i64 = 1_000_000;
/// A new split starts at one of this many points of its sequence. Weights are
/// commonly percentages, whose sequence is no longer than this.
const PHASES: u32 = 100;

impl Splitter {
    /// A splitter with nothing owed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            deficits: HashMap::new(),
        }
    }

    /// The service for the next request of a route.
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
            .expect("the deficits of this route were just put there");
        let part = deficits.next_part();
        route.destinations[part].service.clone()
    }

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, routes: &RouteSet) {
        let names = routes.names();
        self.deficits
            .retain(|name, _| names.contains(name.as_str()));
    }
}

impl RouteDeficits {
    /// Starts at a random phase. Many nodes take up a new split at once; from
    /// the same phase each would send its first requests to the same part.
    fn new(route: &Route, rng: &mut Xoshiro256PlusPlus) -> Self {
        let mut fresh = Self {
            destinations: route.destinations.clone(),
            owed: vec![0; route.destinations.len()],
        };
        for _ in 0..rng.random_range(0..PHASES) {
            fresh.next_part();
        }
        fresh
    }

    fn share_per_request(&self, part: usize) -> i64 {
        let total: i64 = self
            .destinations
            .iter()
            .map(|part| i64::from(part.weight))
            .sum();
        if total == 0 {
            return ONE_REQUEST / self.destinations.len().max(1) as i64;
        }
        ONE_REQUEST * i64::from(self.destinations[part].weight) / total
    }

    fn next_part(&mut self) -> usize {
        let mut largest = 0;
        for part in 0..self.owed.len() {
            self.owed[part] += self.share_per_request(part);
            if self.owed[part] > self.owed[largest] {
                largest = part;
            }
        }
        self.owed[largest] -= ONE_REQUEST;
        largest
    }
}
