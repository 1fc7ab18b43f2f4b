//! How long the requests of a route take at a target of usual speed.

use std::collections::HashMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Weight of a new sample: about the last twenty count.
const EWMA_GAIN: f64 = 0.05;
/// Until samples come, a route's work is taken for this share of its latency
/// objective; objectives are commonly set to a few times the usual work.
const INITIAL_OBJECTIVE_SHARE: f64 = 0.3;
/// Typical bytes of an answer before any was seen.
const INITIAL_ANSWER_BYTES: f64 = 2_000.0;

/// What a route's requests cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// Mean run time at usual speed, in milliseconds.
    pub run_ms: f64,
    /// Mean bytes of an answer.
    pub answer_bytes: f64,
    /// Answers that this was learnt from; without any, all of it is a guess.
    pub samples: u32,
}

impl WorkEstimate {
    /// The run time at a speed in percent of the usual time.
    #[must_use]
    pub fn run_at(&self, slowness_percent: u32) -> Millis {
        Millis((self.run_ms * f64::from(slowness_percent) / 100.0).ceil() as u64)
    }
}

/// Learnt costs by route name.
#[derive(Debug, Default)]
pub struct WorkEstimates {
    by_route: HashMap<String, WorkEstimate>,
}

impl WorkEstimates {
    /// The present estimate for a route.
    #[must_use]
    pub fn estimate(&self, route: &Route) -> WorkEstimate {
        let known = self.by_route.get(&route.name).copied();
        known.unwrap_or(WorkEstimate {
            run_ms: route.objective_ms.0 as f64 * INITIAL_OBJECTIVE_SHARE,
            answer_bytes: INITIAL_ANSWER_BYTES,
            samples: 0,
        })
    }

    /// Learns from a success: its run time, the target's slowness as it
    /// started (100 is usual), and the size of its answer.
    pub fn learn(&mut self, route: &Route, run: Millis, slowness_percent: u32, bytes: usize) {
        let mut estimate = self.estimate(route);
        let usual_ms = run.0 as f64 * 100.0 / f64::from(slowness_percent.max(1));
        estimate.samples = estimate.samples.saturating_add(1);
        estimate.run_ms += EWMA_GAIN * (usual_ms - estimate.run_ms);
        estimate.answer_bytes += EWMA_GAIN * (bytes as f64 - estimate.answer_bytes);
        self.by_route.insert(route.name.clone(), estimate);
    }

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, routes: &RouteSet) {
        let names = routes.names();
        self.by_route
            .retain(|name, _| names.contains(name.as_str()));
    }
}
