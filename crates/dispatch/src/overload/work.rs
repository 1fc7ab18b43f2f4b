//! Estimates how long the requests of a route take on a target of usual speed.

use std::collections::HashMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Weight of a new sample in the moving average, which spans about the last twenty
/// samples.
const EWMA_GAIN: f64 = 0.05;
/// Initial estimate of the run time, as a fraction of the route's latency objective.
/// Objectives are commonly set to a few times the usual run time.
const INITIAL_OBJECTIVE_SHARE: f64 = 0.3;
/// Initial estimate of an answer's size in bytes.
const INITIAL_ANSWER_BYTES: f64 = 2_000.0;

/// Estimated cost of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// Mean run time at usual speed, in milliseconds.
    pub run_ms: f64,
    /// Mean size of an answer in bytes.
    pub answer_bytes: f64,
    /// Number of answers that the estimate is based on. At 0, all values are initial
    /// guesses.
    pub samples: u32,
}

impl WorkEstimate {
    /// Returns the run time at a slowness in percent of the usual run time.
    #[must_use]
    pub fn run_at(&self, slowness_percent: u32) -> Millis {
        Millis((self.run_ms * f64::from(slowness_percent) / 100.0).ceil() as u64)
    }
}

/// Estimates by route name.
#[derive(Debug, Default)]
pub struct WorkEstimates {
    by_route: HashMap<String, WorkEstimate>,
}

impl WorkEstimates {
    /// Returns the current estimate for a route.
    #[must_use]
    pub fn estimate(&self, route: &Route) -> WorkEstimate {
        let known = self.by_route.get(&route.name).copied();
        known.unwrap_or(WorkEstimate {
            run_ms: route.objective_ms.0 as f64 * INITIAL_OBJECTIVE_SHARE,
            answer_bytes: INITIAL_ANSWER_BYTES,
            samples: 0,
        })
    }

    /// Learns from a successful run: its run time, the target's slowness at its start
    /// (100 is usual), and the size of its answer in bytes.
    pub fn learn(&mut self, route: &Route, run: Millis, slowness_percent: u32, bytes: usize) {
        let mut estimate = self.estimate(route);
        let usual_ms = run.0 as f64 * 100.0 / f64::from(slowness_percent.max(1));
        estimate.samples = estimate.samples.saturating_add(1);
        estimate.run_ms += EWMA_GAIN * (usual_ms - estimate.run_ms);
        estimate.answer_bytes += EWMA_GAIN * (bytes as f64 - estimate.answer_bytes);
        self.by_route.insert(route.name.clone(), estimate);
    }

    /// Discards routes that are no longer configured.
    pub fn retain(&mut self, routes: &RouteSet) {
        let names = routes.names();
        self.by_route
            .retain(|name, _| names.contains(name.as_str()));
    }
}
