//! Routes by host and longest path prefix, as one immutable set a version.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

#[cfg(test)]
pub(crate) mod tests;

/// What may be repeated on a route.
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
    /// Running it more than once is harmless.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// A large body; as [`Self::NonIdempotent`] otherwise.
    Upload,
}

impl CallKind {
    /// Whether a run may be repeated.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// One part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service that runs the requests of this part.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the other parts.
    pub weight: u32,
}

/// Where requests under one path prefix of a host go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in the configuration.
    pub name: String,
    /// Path prefix with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Latency within which an answer is worth most to its caller.
    pub objective_ms: Millis,
    /// Rank among routes that share a target; 0 goes first.
    pub priority: u8,
    /// The parts; never empty.
    pub destinations: Vec<Destination>,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: Millis,
    /// Targets to which one request may be sent at most.
    pub max_attempts: u32,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// From the first byte of a head to its last.
    pub header_timeout_ms: Millis,
    /// A connection without a request for this long is closed.
    pub idle_timeout_ms: Millis,
}

impl Default for CallerLimits {
    /// What holds before a configuration is known: room for ordinary requests,
    /// and the times that common HTTP servers use.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout_ms: Millis::from_secs(3),
            idle_timeout_ms: Millis::from_secs(15),
        }
    }
}

/// All routes of one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSet {
    version: u64,
    limits: CallerLimits,
    /// By host in lower case; longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Path of the health endpoint by service.
    health_paths: HashMap<ServiceName, String>,
}

impl RouteSet {
    /// An empty set of this version.
    #[must_use]
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route of a host.
    pub fn add(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        routes.push(Arc::new(route));
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// Sets where a service's health is asked for.
    pub fn set_health_path(&mut self, service: ServiceName, path: &str) {
        self.health_paths.insert(service, path.to_owned());
    }

    /// Version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Path of a service's health endpoint.
    #[must_use]
    pub fn health_path(&self, service: &ServiceName) -> Option<&str> {
        self.health_paths.get(service).map(String::as_str)
    }

    /// The route of a host with the longest prefix that begins the path. A port
    /// behind the host is ignored; `path` comes without its query.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Services that have a health endpoint here.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.health_paths.keys()
    }

    /// Every service that is named: as a destination, or with a health endpoint.
    #[must_use]
    pub fn all_services(&self) -> HashSet<&ServiceName> {
        let mut services: HashSet<&ServiceName> = self.health_paths.keys().collect();
        for route in self.iter() {
            services.extend(route.destinations.iter().map(|part| &part.service));
        }
        services
    }

    /// Names of all routes.
    #[must_use]
    pub fn names(&self) -> HashSet<&str> {
        self.iter().map(|route| route.name.as_str()).collect()
    }

    /// Every route, for reports.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
