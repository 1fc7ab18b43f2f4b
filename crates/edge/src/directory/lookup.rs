//! Finds the route of a request, also while the newest configuration is being transferred.

use std::sync::Arc;

use hornbeamhitch_dispatch::knowledge::waits::Waits;
use hornbeamhitch_dispatch::routing::routes::parts::{PartLookup, RoutesManifest};

use super::Directory;
use crate::feed::PartStore;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// A configuration whose parts are being fetched.
#[derive(Clone, Debug)]
pub struct PendingRoutes {
    /// Names its parts.
    pub manifest: RoutesManifest,
    /// Contains those parts that have arrived.
    pub parts: Arc<PartStore>,
}

impl PendingRoutes {
    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.manifest.version()
    }
}

/// Result of looking up the route of a request.
#[derive(Clone, Debug)]
pub enum RouteLookup {
    /// The route, and the version of the configuration that has it.
    Found {
        /// The route.
        route: Arc<Route>,
        /// The version.
        version: u64,
    },
    /// The configuration has no route for the request.
    NoRoute,
    /// A configuration that should be in force by now may have a route in this part, which is
    /// being fetched.
    Arriving {
        /// The configuration.
        pending: Arc<PendingRoutes>,
        /// The part.
        part: PartDigest,
    },
    /// A configuration that should be in force by now may have a route or may have dropped it,
    /// and this node does not have it yet.
    Outdated,
    /// This node has no configuration.
    NoConfiguration,
}

impl Directory {
    /// Finds the route of a request.
    ///
    /// Routes of a pending configuration are used one by one from the time at which all of it
    /// should be in force. A node whose transfer is slow thus delays or rejects requests whose
    /// part has not arrived, and never acts on routes that the operator has replaced.
    #[must_use]
    pub fn find(&self, host: &str, path: &str, waits: &Waits, now: Millis) -> RouteLookup {
        let Some(routes) = &self.routes else {
            return RouteLookup::NoConfiguration;
        };
        if let Some(pending) = self.overdue_routes(waits, now) {
            return match pending.parts.find(&pending.manifest, host, path) {
                PartLookup::Found(route) => RouteLookup::Found {
                    route,
                    version: pending.version(),
                },
                PartLookup::Missing(part) => RouteLookup::Arriving {
                    pending: Arc::clone(pending),
                    part,
                },
                // A still newer configuration may have the route.
                PartLookup::NoRoute | PartLookup::Unknown => RouteLookup::Outdated,
            };
        }
        match routes.find(host, path) {
            Some(route) => RouteLookup::Found {
                route: Arc::clone(route),
                version: routes.version(),
            },
            None if self.may_lack_routes(waits, now) => RouteLookup::Outdated,
            None => RouteLookup::NoRoute,
        }
    }

    /// Returns the pending configuration if it should be in force by now.
    fn overdue_routes(&self, waits: &Waits, now: Millis) -> Option<&Arc<PendingRoutes>> {
        let pending = self.pending.as_ref()?;
        (self.routes_lag.lag_ms(now) >= waits.routes_max_lag_ms()).then_some(pending)
    }

    /// Whether a configuration that this node does not have may contain further routes: a
    /// newer one is known, or nothing current is known.
    fn may_lack_routes(&self, waits: &Waits, now: Millis) -> bool {
        self.routes_lag.is_behind()
            || !self.as_of.is_confirmed()
            || self.as_of.age_ms(now) > waits.in_force_ms()
    }
}
