//! One difference between two texts, with what follows from it.

mod consequence;
mod grouped;

use std::fmt;

pub use grouped::{GroupedChange, grouped};
use serde::Serialize;

use crate::checked::HostRoute;
use crate::prelude::*;

/// One difference between two checked texts.
///
/// Values are compared as resolved, so an edit of the text's defaults shows as
/// a change of each service that it reaches, and an edit of a comment as none.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Change {
    /// The deployment has another name.
    Deployment {
        /// Name before.
        old: String,
        /// Name after.
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
    /// Another distance between data centres that no entry lists.
    DefaultDistance {
        /// One-way time before, in microseconds.
        old_us: u32,
        /// One-way time after, in microseconds.
        new_us: u32,
    },
    /// Another distance between two data centres.
    Distance {
        /// One end.
        from: DataCentre,
        /// The other end.
        to: DataCentre,
        /// One-way time before, in microseconds.
        old_us: u32,
        /// One-way time after, in microseconds.
        new_us: u32,
    },
    /// A service was added.
    ServiceAdded {
        /// Its name.
        service: ServiceName,
        /// What it depends on.
        depends_on: Vec<ServiceName>,
    },
    /// A service was removed.
    ServiceRemoved {
        /// Its name.
        service: ServiceName,
        /// Services that depended on it and are still in the text.
        former_callers: Vec<ServiceName>,
    },
    /// A service depends on one more.
    DependencyAdded {
        /// The service.
        service: ServiceName,
        /// What it depends on now.
        dependency: ServiceName,
    },
    /// A service depends on one less.
    DependencyRemoved {
        /// The service.
        service: ServiceName,
        /// What it depended on.
        dependency: ServiceName,
    },
    /// A number of a service changed.
    Setting {
        /// The service.
        service: ServiceName,
        /// Which number.
        setting: Setting,
        /// Value before.
        old: f64,
        /// Value after.
        new: f64,
    },
    /// A service names one more call.
    CallAdded {
        /// The service.
        service: ServiceName,
        /// The call.
        call: CallPolicy,
    },
    /// A service names one call less.
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
        /// Host and prefix.
        under: String,
        /// Which value.
        field: &'static str,
        /// Value before.
        old: String,
        /// Value after.
        new: String,
    },
    /// Calls count as idempotent or no longer do, for whatever reason: their
    /// entry changed, came or went, or another one covers them now.
    Idempotence {
        /// The service.
        service: ServiceName,
        /// Method and path, as a call's match is written.
        calls: String,
        /// Whether they count as idempotent now; it was the opposite before.
        new: bool,
    },
}

/// What changed of a named call.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "field", rename_all = "snake_case")]
pub enum CallChange {
    /// The calls that it covers.
    Match {
        /// Method and path before.
        old: String,
        /// Method and path after.
        new: String,
    },
    /// Whether running it twice is harmless.
    Idempotent {
        /// Value after; it was the opposite before.
        new: bool,
    },
    /// Its rank in queues.
    Class {
        /// Class before.
        old: CallClass,
        /// Class after.
        new: CallClass,
    },
    /// Its deadline.
    DeadlineMs {
        /// Deadline before.
        old: Millis,
        /// Deadline after.
        new: Millis,
    },
}

impl Change {
    /// What follows from the change, in words.
    #[must_use]
    pub fn consequence(&self) -> Option<String> {
        consequence::of(self)
    }
}

/// The change and what follows from it, on one line.
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

/// The calls that a named call covers, as the text writes them.
pub(crate) fn pattern(call: &CallPolicy) -> String {
    format!("{} {}", call.method, call.path_prefix)
}
