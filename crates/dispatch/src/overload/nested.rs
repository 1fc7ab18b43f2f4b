//! Recognises the routes of calls that the own target makes for its runs.

/// Arrivals by route, and whether the own target was idle.
#[derive(Debug, Default)]
pub struct NestedRoutes {}

impl NestedRoutes {
    /// Records the arrival of a call at this node. `target_is_idle` states whether the own
    /// target runs nothing.
    pub fn note_arrival(&mut self, _route: &str, _target_is_idle: bool) {}

    /// Returns whether the calls of a route are made by runs of the own target.
    #[must_use]
    pub fn is_nested(&self, _route: &str) -> bool {
        false
    }

    /// Discards what was learnt, after a change of the configuration.
    pub fn forget(&mut self) {}
}
