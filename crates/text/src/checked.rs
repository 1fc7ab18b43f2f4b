//! A text that passed all checks.

use hornbeamhitch_dispatch::routing::routes::{CallerLimits, Route, RouteSet};
use serde::Serialize;
use strum::EnumCount;

use crate::prelude::*;

/// A checked text, resolved to the policies that the nodes apply.
///
/// Only [`crate::check`] can create it, so every value is in the range documented
/// at its policy's field.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub struct CheckedText {
    /// The policy of the whole deployment.
    pub deployment: DeploymentPolicy,
    /// Data centres that the text lists, ordered by name.
    pub data_centres: Vec<DataCentre>,
    /// The services, ordered by name.
    pub services: Vec<ServicePolicy>,
    /// The routes, ordered by host and path prefix.
    pub routes: Vec<HostRoute>,
    /// Warnings about values that are allowed but probably not intended.
    pub warnings: Vec<Warning>,
    /// Where the values of `services` come from, in the same order.
    pub(crate) sources: Vec<ServiceSources>,
}

impl CheckedText {
    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServicePolicy> {
        let index = self.service_index(name)?;
        Some(&self.services[index])
    }

    /// Builds the set of routes that nodes use, with the given version.
    #[must_use]
    pub fn route_set(&self, version: u64) -> RouteSet {
        let mut routes = RouteSet::new(version, CallerLimits::default());
        for host_route in &self.routes {
            routes.add(&host_route.host, host_route.route.clone());
        }
        routes
    }

    pub(crate) fn service_index(&self, name: &str) -> Option<usize> {
        self.services
            .binary_search_by(|service| service.service.as_str().cmp(name))
            .ok()
    }

    /// Returns the names of the services that depend on a service.
    #[must_use]
    pub fn callers_of(&self, name: &str) -> Vec<&ServiceName> {
        let mut callers = Vec::new();
        for service in &self.services {
            if !service
                .depends_on
                .iter()
                .any(|dependency| dependency.as_str() == name)
            {
                continue;
            }
            callers.push(&service.service);
        }
        callers
    }
}

/// A route with its host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HostRoute {
    /// The host in lower case.
    pub host: String,
    /// Line on which the route begins.
    pub line: u32,
    /// The route as the nodes use it.
    pub route: Route,
}

impl HostRoute {
    /// Formats host and path prefix, which identify a route in reports.
    #[must_use]
    pub fn host_and_prefix(&self) -> String {
        format!("{}{}", self.host, self.route.prefix)
    }

    /// Formats the destinations with their weights for reports.
    #[must_use]
    pub fn destinations(&self) -> String {
        let mut parts = Vec::new();
        for destination in &self.route.destinations {
            parts.push(format!("{} {}", destination.service, destination.weight));
        }
        parts.join(", ")
    }
}

/// Where a resolved value comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "from", rename_all = "kebab-case")]
pub enum Origin {
    /// Neither the service nor the text's defaults set it.
    BuiltIn,
    /// It is not set and is derived from another value.
    Follows {
        /// The other value.
        value: FollowedValue,
    },
    /// The text's `defaults` set it.
    Defaults {
        /// Line of the value.
        line: u32,
    },
    /// The service itself sets it.
    Service {
        /// Line of the value.
        line: u32,
    },
}

/// A value from which an unset value is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FollowedValue {
    /// The service's slots.
    Slots,
    /// The service's deadline.
    DeadlineMs,
    /// The method of the call.
    Method,
}

/// Where the values of one service come from.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceSources {
    pub(crate) line: u32,
    pub(crate) depends_on: Origin,
    pub(crate) calls_origin: Origin,
    pub(crate) calls: Vec<CallSources>,
    pub(crate) numbers: [Origin; Setting::COUNT],
}

/// Where the values of one call come from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CallSources {
    pub(crate) line: u32,
    pub(crate) idempotent: Origin,
    pub(crate) class: Origin,
    pub(crate) deadline_ms: Origin,
}
