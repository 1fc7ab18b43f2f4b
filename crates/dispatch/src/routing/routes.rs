//! Routes by host and longest path prefix, as one immutable set per configuration
//! version.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gate::warm_up::WarmUp;
use crate::prelude::*;

pub mod parts;

#[cfg(test)]
pub(crate) mod tests;

/// Kind of a route's calls: whether they may be repeated, and whether their bodies or
/// answers are large.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::IntoStaticStr,
    strum::EnumString,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// Running the call more than once is harmless.
    Idempotent,
    /// The call runs at most once for each attempt of a caller.
    NonIdempotent,
    /// A call with a large body; otherwise as [`Self::NonIdempotent`].
    Upload,
    /// A call with a large answer; otherwise as [`Self::Idempotent`].
    Download,
}

impl CallKind {
    /// Returns whether a run may be repeated.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// A service that receives a share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service that runs the requests of this share.
    pub service: ServiceName,
    /// Weight of this share, relative to the route's other destinations.
    pub weight: u32,
}

/// Target services and limits of the requests under one path prefix of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in the configuration.
    pub name: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether its calls may be repeated.
    pub kind: CallKind,
    /// Latency objective: an answer within this time is worth most to its caller.
    pub objective_ms: Millis,
    /// Priority among routes that share a target; 0 is the highest.
    pub priority: u8,
    /// Destinations among which the traffic is split; never empty.
    pub destinations: Vec<Destination>,
    /// Maximum time that a caller is kept waiting.
    pub timeout_ms: Millis,
    /// Maximum number of targets to which one request is sent.
    pub max_attempts: u32,
    /// Regions to which its requests are confined; `None` if they may run anywhere.
    pub allowed_regions: Option<BTreeSet<Region>>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: u64,
    /// Maximum time from the first byte of a head to its last.
    pub header_timeout_ms: Millis,
    /// Time after which a connection without a request is closed.
    pub idle_timeout_ms: Millis,
}

impl Default for CallerLimits {
    /// Returns the limits that hold before a configuration is known: room for ordinary
    /// requests, and timeouts that are usual for HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout_ms: Millis::from_secs(3),
            idle_timeout_ms: Millis::from_secs(15),
        }
    }
}

/// Returns a host without its port.
fn host_name(host: &str) -> &str {
    host.split(':').next().unwrap_or(host)
}

/// Sorts the routes of a host, longest prefix first. Of two routes with the same prefix,
/// the one that was added first counts.
fn sort(routes: &mut [Arc<Route>]) {
    let rank = |route: &Arc<Route>| std::cmp::Reverse(route.prefix.len());
    routes.sort_by(|a, b| (rank(a), &a.prefix).cmp(&(rank(b), &b.prefix)));
}

/// All routes of one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSet {
    version: u64,
    limits: CallerLimits,
    /// Routes by host in lower case, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Path of the health endpoint by service.
    health_paths: HashMap<ServiceName, String>,
    /// Warm-up of the targets of each service that needs one.
    warm_ups: HashMap<ServiceName, WarmUp>,
}

impl RouteSet {
    /// Creates an empty set of this version.
    #[must_use]
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route to a host.
    pub fn add(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        routes.push(Arc::new(route));
        sort(routes);
    }

    /// Sets the path of a service's health endpoint.
    pub fn set_health_path(&mut self, service: ServiceName, path: &str) {
        self.health_paths.insert(service, path.to_owned());
    }

    /// Sets the warm-up of a service's targets.
    pub fn set_warm_up(&mut self, service: ServiceName, warm_up: WarmUp) {
        self.warm_ups.insert(service, warm_up);
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the path of a service's health endpoint.
    #[must_use]
    pub fn health_path(&self, service: &ServiceName) -> Option<&str> {
        self.health_paths.get(service).map(String::as_str)
    }

    /// Returns the warm-up of a service's targets, or `None` if they need none.
    #[must_use]
    pub fn warm_up(&self, service: &ServiceName) -> Option<WarmUp> {
        self.warm_ups.get(service).copied()
    }

    /// Returns the route of a host with the longest prefix of the path. A port after the
    /// host is ignored; `path` comes without its query.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the services that have a health endpoint.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.health_paths.keys()
    }

    /// Returns every service that the configuration names, as a destination or with a
    /// health endpoint.
    #[must_use]
    pub fn all_services(&self) -> HashSet<&ServiceName> {
        let mut services: HashSet<&ServiceName> = self.health_paths.keys().collect();
        for route in self.iter() {
            services.extend(
                route
                    .destinations
                    .iter()
                    .map(|destination| &destination.service),
            );
        }
        services
    }

    /// Returns the names of all routes.
    #[must_use]
    pub fn names(&self) -> HashSet<&str> {
        self.iter().map(|route| route.name.as_str()).collect()
    }

    /// Returns every route, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
