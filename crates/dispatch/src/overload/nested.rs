//! Recognises the routes of calls that the own target makes for its runs.

use std::collections::HashMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Number of calls after which a route may count as nested.
const MIN_ARRIVALS: u32 = 30;
/// The target must be idle for at least this part of the arrivals of other routes.
/// Arrivals while it is idle less often show nothing and are not counted.
const MIN_IDLE_SHARE: f64 = 0.1;
/// Number of arrivals at an idle target to expect from a callers' route before its absence
/// is evidence. With 15 expected, none at all happens by chance once in three million
/// routes. The minimum number of calls alone would let one route in 25 pass at an idle
/// share of a tenth.
const MIN_EXPECTED_IDLE: f64 = 15.0;
/// Number of arrivals over which the idle share is averaged.
const SHARE_WINDOW: f64 = 32.0;
/// Expected number that a route may collect beyond the idle arrivals of other routes since
/// its previous ones. At the start of a surge, the averaged share is still high although
/// the target is no longer idle.
const MAX_ALLOWANCE: f64 = 4.0;
/// Weight of the arrivals of other routes without which their idle share is unknown.
const MIN_OTHER_WEIGHT: f64 = 2.0;

/// Arrivals by route, and whether the own target was idle.
///
/// A route whose calls are made by runs never arrives at an idle target. Whether this is
/// evidence depends on how often other routes do, at the same time: in an overload the
/// target is never idle, so that nothing is learnt and what was learnt is kept.
#[derive(Debug, Default)]
pub struct NestedRoutes {
    by_route: HashMap<String, RouteArrivals>,
    /// Recent arrivals of all routes that do not count as nested.
    recent: Recent,
    /// Number of these arrivals.
    arrivals: u64,
    /// Number of those that found the target idle.
    idle_arrivals: u64,
}

/// What was observed of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteArrivals {
    /// Part of [`NestedRoutes::recent`] that this route contributes.
    recent: Recent,
    /// Number of arrivals of all routes when `recent` was updated.
    updated_at: u64,
    /// Number of arrivals at an idle target when `allowance` was updated.
    idle_seen: u64,
    /// Upper bound of what the next arrivals add to `expected_idle`.
    allowance: f64,
    counted: u32,
    /// Number of arrivals at an idle target to expect if these were callers' calls.
    expected_idle: f64,
    verdict: Verdict,
}

/// Whether the calls of a route are nested.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Verdict {
    #[default]
    Open,
    Nested,
    /// A call has arrived at an idle target.
    FromCallers,
}

/// Weights of recent arrivals.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    all: f64,
    at_idle: f64,
}

impl Recent {
    fn add(&mut self, target_is_idle: bool) {
        self.all += 1.0;
        self.at_idle += f64::from(u8::from(target_is_idle));
    }

    fn decay(&mut self, arrivals: u64) {
        let factor = (1.0 - 1.0 / SHARE_WINDOW).powf(arrivals as f64);
        self.all *= factor;
        self.at_idle *= factor;
    }

    /// Returns the idle share of the arrivals that are not among `own`.
    fn idle_share_without(&self, own: &Self) -> Option<f64> {
        let others = self.all - own.all;
        (others >= MIN_OTHER_WEIGHT).then(|| (self.at_idle - own.at_idle).max(0.0) / others)
    }
}

impl NestedRoutes {
    /// Records the arrival of a call at this node. `target_is_idle` states whether the own
    /// target runs nothing.
    pub fn note_arrival(&mut self, route: &str, target_is_idle: bool) {
        if !self.by_route.contains_key(route) {
            self.by_route
                .insert(route.to_owned(), RouteArrivals::default());
        }
        let known = self.by_route.get_mut(route);
        let known = known.expect("the route was just inserted");
        if target_is_idle {
            known.verdict = Verdict::FromCallers;
        }
        if known.verdict == Verdict::Nested {
            return;
        }
        let since = self.arrivals - known.updated_at;
        known.recent.decay(since);
        if known.verdict == Verdict::Open {
            known.allow(self.idle_arrivals);
            known.weigh(self.recent.idle_share_without(&known.recent));
        }
        self.arrivals += 1;
        self.idle_arrivals += u64::from(target_is_idle);
        self.recent.decay(1);
        self.recent.add(target_is_idle);
        known.recent.decay(1);
        known.recent.add(target_is_idle);
        known.updated_at = self.arrivals;
    }

    /// Returns whether the calls of a route are made by runs of the own target.
    #[must_use]
    pub fn is_nested(&self, route: &str) -> bool {
        let known = self.by_route.get(route);
        known.is_some_and(|known| known.verdict == Verdict::Nested)
    }

    /// Adopts a new configuration. Routes that count as nested and still exist keep this,
    /// since it depends on the target, and could not be learnt again in an overload. All
    /// other observations start again.
    pub fn adopt(&mut self, routes: &RouteSet) {
        let names = routes.names();
        self.by_route.retain(|name, known| {
            known.verdict == Verdict::Nested && names.contains(name.as_str())
        });
        self.recent = Recent::default();
        self.arrivals = 0;
        self.idle_arrivals = 0;
        for known in self.by_route.values_mut() {
            *known = RouteArrivals {
                verdict: Verdict::Nested,
                ..RouteArrivals::default()
            };
        }
    }
}

impl RouteArrivals {
    /// Adds the idle arrivals of other routes since the last update to the allowance. The
    /// route itself has had none while its verdict is open.
    fn allow(&mut self, idle_arrivals: u64) {
        let gained = (idle_arrivals - self.idle_seen) as f64;
        self.allowance = (self.allowance + gained).min(MAX_ALLOWANCE);
        self.idle_seen = idle_arrivals;
    }

    /// Counts an arrival at a busy target, given the idle share of other routes.
    fn weigh(&mut self, idle_share: Option<f64>) {
        let Some(idle_share) = idle_share.filter(|share| *share >= MIN_IDLE_SHARE) else {
            return;
        };
        let expected = idle_share.min(self.allowance);
        self.counted += 1;
        self.allowance -= expected;
        self.expected_idle += expected;
        if self.counted >= MIN_ARRIVALS && self.expected_idle >= MIN_EXPECTED_IDLE {
            self.verdict = Verdict::Nested;
        }
    }
}
