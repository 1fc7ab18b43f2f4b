//! Differences between two texts and their consequences.

mod consequence;
mod grouped;

use std::fmt;

pub use grouped::{GroupedChange, grouped};
use serde::Serialize;

use crate::checked::HostRoute;
use crate::prelude::*;

/// One difference between two checked texts.
///
/// Resolved values are compared. An edit of the text's defaults is therefore a
/// change of each service that inherits them, and an edit of a comment is no
/// change.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Change {
    /// The deployment was renamed.
    Deployment {
        /// Previous name.
        old: String,
        /// New name.
        new: String,
    },
    /// A data centre was added.
    DataCentreAdded {
        /// Its name.
        data_centre: DataCentre,
    },
    /// A data centre was removed.
    DataCentreRemoved {
        /// Its name.
        data_centre: DataCentre,
    },
    /// A tenant was added.
    TenantAdded {
        /// Its name.
        tenant: TenantName,
    },
    /// A tenant was removed.
    TenantRemoved {
        /// Its name.
        tenant: TenantName,
    },
    /// The default distance between data centres changed.
    DefaultDistance {
        /// Previous one-way latency in microseconds.
        old_us: u32,
        /// New one-way latency in microseconds.
        new_us: u32,
    },
    /// The distance between two data centres changed.
    Distance {
        /// One of the two data centres.
        from: DataCentre,
        /// The other data centre.
        to: DataCentre,
        /// Previous one-way latency in microseconds.
        old_us: u32,
        /// New one-way latency in microseconds.
        new_us: u32,
    },
    /// A service was added.
    ServiceAdded {
        /// Its name.
        service: ServiceName,
        /// Services that it depends on.
        depends_on: Vec<ServiceName>,
    },
    /// A service was removed.
    ServiceRemoved {
        /// Its name.
        service: ServiceName,
        /// Services that depended on it and are still listed.
        former_callers: Vec<ServiceName>,
    },
    /// A service has a new dependency.
    DependencyAdded {
        /// The service.
        service: ServiceName,
        /// The new dependency.
        dependency: ServiceName,
    },
    /// A service no longer has a dependency.
    DependencyRemoved {
        /// The service.
        service: ServiceName,
        /// The previous dependency.
        dependency: ServiceName,
    },
    /// A numeric setting of a service changed.
    Setting {
        /// The service.
        service: ServiceName,
        /// The setting.
        setting: Setting,
        /// Previous value.
        old: f64,
        /// New value.
        new: f64,
    },
    /// A named call was added to a service.
    CallAdded {
        /// The service.
        service: ServiceName,
        /// The call.
        call: CallPolicy,
    },
    /// A named call was removed from a service.
    CallRemoved {
        /// The service.
        service: ServiceName,
        /// The call.
        call: CallPolicy,
    },
    /// A named call changed.
    Call {
        /// The service.
        service: ServiceName,
        /// Name of the call.
        call: String,
        /// What changed.
        change: CallChange,
    },
    /// A route was added.
    RouteAdded {
        /// The route.
        route: HostRoute,
    },
    /// A route was removed.
    RouteRemoved {
        /// The route.
        route: HostRoute,
    },
    /// A value of a route changed.
    Route {
        /// Host and path prefix of the route.
        under: String,
        /// Key of the value.
        field: &'static str,
        /// Previous value.
        old: String,
        /// New value.
        new: String,
    },
    /// Calls became idempotent or stopped being so. Either their entry was
    /// changed, added or removed, or another entry covers them now.
    Idempotence {
        /// The service.
        service: ServiceName,
        /// Method and path, in the form of a call's match.
        calls: String,
        /// Whether the calls are idempotent now. They were the opposite before.
        new: bool,
    },
}

/// A change of a named call.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "field", rename_all = "snake_case")]
pub enum CallChange {
    /// The method or path prefix that it matches changed.
    Match {
        /// Previous method and path.
        old: String,
        /// New method and path.
        new: String,
    },
    /// Whether it is marked idempotent changed.
    Idempotent {
        /// New value. The previous one was the opposite.
        new: bool,
    },
    /// Its class, and so its queueing priority, changed.
    Class {
        /// Previous class.
        old: CallClass,
        /// New class.
        new: CallClass,
    },
    /// Its deadline changed.
    DeadlineMs {
        /// Previous deadline.
        old: Millis,
        /// New deadline.
        new: Millis,
    },
}

impl Change {
    /// Describes the consequence of the change, if the change itself does not
    /// already say it.
    #[must_use]
    pub fn consequence(&self) -> Option<String> {
        consequence::of(self)
    }
}

/// Formats the change and its consequence on one line.
impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_what(f)?;
        match self.consequence() {
            Some(consequence) => write!(f, "; {consequence}"),
            None => Ok(()),
        }
    }
}

impl Change {
    fn write_what(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deployment { old, new } => write!(f, "deployment: {old} -> {new}"),
            Self::DataCentreAdded { data_centre } => {
                write!(f, "data centre {data_centre} is added")
            }
            Self::DataCentreRemoved { data_centre } => {
                write!(f, "data centre {data_centre} is removed")
            }
            Self::TenantAdded { tenant } => write!(f, "tenant {tenant} is added"),
            Self::TenantRemoved { tenant } => write!(f, "tenant {tenant} is removed"),
            Self::DefaultDistance { old_us, new_us } => {
                write!(f, "default distance: {old_us} us -> {new_us} us")
            }
            Self::Distance {
                from,
                to,
                old_us,
                new_us,
            } => write!(f, "distance {from} to {to}: {old_us} us -> {new_us} us"),
            Self::ServiceAdded { service, .. } => write!(f, "service {service} is added"),
            Self::ServiceRemoved { service, .. } => write!(f, "service {service} is removed"),
            Self::DependencyAdded {
                service,
                dependency,
            } => write!(f, "{service}: now depends on {dependency}"),
            Self::DependencyRemoved {
                service,
                dependency,
            } => write!(f, "{service}: no longer depends on {dependency}"),
            Self::Setting {
                service,
                setting,
                old,
                new,
            } => write!(f, "{service}: {setting} {old} -> {new}"),
            Self::CallAdded { service, call } => {
                write!(
                    f,
                    "{service}: call {} ({}) is added",
                    call.name,
                    pattern(call)
                )
            }
            Self::CallRemoved { service, call } => {
                write!(
                    f,
                    "{service}: call {} ({}) is removed",
                    call.name,
                    pattern(call)
                )
            }
            Self::Call {
                service,
                call,
                change,
            } => write!(f, "{service}: call {call}: {change}"),
            Self::RouteAdded { route } => {
                let to = route.destinations();
                write!(f, "route {} to {to} is added", route.host_and_prefix())
            }
            Self::RouteRemoved { route } => {
                write!(f, "route {} is removed", route.host_and_prefix())
            }
            Self::Route {
                under,
                field,
                old,
                new,
            } => write!(f, "route {under}: {field} {old} -> {new}"),
            Self::Idempotence {
                service,
                calls,
                new,
            } => {
                let counts = if *new {
                    "now counts"
                } else {
                    "no longer counts"
                };
                write!(f, "{service}: {calls} {counts} as idempotent")
            }
        }
    }
}

impl fmt::Display for CallChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Match { old, new } => write!(f, "match {old} -> {new}"),
            Self::Idempotent { new } => write!(f, "idempotent {} -> {new}", !new),
            Self::Class { old, new } => write!(f, "class {old} -> {new}"),
            Self::DeadlineMs { old, new } => write!(f, "deadline_ms {} -> {}", old.0, new.0),
        }
    }
}

/// Formats the method and path prefix of a named call as its match in the text.
pub(crate) fn pattern(call: &CallPolicy) -> String {
    format!("{} {}", call.method, call.path_prefix)
}
