//! Explanation of a resolved service with the origin of each value.

use std::fmt;

use hornbeamhitch_dispatch::routing::routes::CallKind;
use serde::Serialize;
use thiserror::Error;

use crate::checked::HostRoute;
pub use crate::checked::{FollowedValue, Origin};
use crate::fault::suggestion;
use crate::prelude::*;
use crate::setting::Group;

/// What one service resolves to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The service's name.
    pub service: ServiceName,
    /// Line on which the service begins.
    pub line: u32,
    /// Services that it depends on.
    pub depends_on: Vec<ServiceName>,
    /// Where the list of dependencies comes from.
    pub depends_on_origin: Origin,
    /// Services that depend on it.
    pub callers: Vec<ServiceName>,
    /// All numeric settings of the service.
    pub settings: Vec<ExplainedSetting>,
    /// Where the list of calls comes from.
    pub calls_origin: Origin,
    /// The named calls. Among those that match with equally long path prefixes,
    /// the first one applies.
    pub calls: Vec<ExplainedCall>,
    /// Routes that have the service as a destination.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<HostRoute>,
}

/// One numeric setting and its origin.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ExplainedSetting {
    /// The setting.
    pub setting: Setting,
    /// Its value, in the unit given by the suffix of its key.
    pub value: f64,
    /// Where the value comes from.
    pub origin: Origin,
}

/// One named call and the origin of its values.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExplainedCall {
    /// Line of its name.
    pub line: u32,
    /// The call.
    pub call: CallPolicy,
    /// Where its idempotence comes from.
    pub idempotent_origin: Origin,
    /// Where its class comes from.
    pub class_origin: Origin,
    /// Where its deadline comes from.
    pub deadline_origin: Origin,
}

/// The error that the text does not list a service.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the text has no service {service:?}{}", suggestion(nearest.as_deref()))]
pub struct UnknownService {
    /// The requested name.
    pub service: String,
    /// The most similar service name, if any is similar enough.
    pub nearest: Option<String>,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BuiltIn => f.write_str("built-in default"),
            Self::Follows { value } => write!(f, "follows {value}"),
            Self::Defaults { line } => write!(f, "defaults, line {line}"),
            Self::Service { line } => write!(f, "line {line}"),
        }
    }
}

const KEY_WIDTH: usize = 30;
const VALUE_WIDTH: usize = 20;

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "service {}, line {}", self.service, self.line)?;
        row(
            f,
            "depends_on",
            &join_or_dash(&self.depends_on),
            &self.depends_on_origin,
        )?;
        writeln!(
            f,
            "  {:KEY_WIDTH$} {}",
            "depended on by",
            join_or_dash(&self.callers)
        )?;
        for explained in &self.settings {
            let key = full_key(explained.setting);
            row(f, &key, &explained.value.to_string(), &explained.origin)?;
        }
        self.write_calls(f)
    }
}

impl Explanation {
    fn write_calls(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        row(
            f,
            "calls",
            &self.calls.len().to_string(),
            &self.calls_origin,
        )?;
        for explained in &self.calls {
            let call = &explained.call;
            let title = format!("call {}: {} {}", call.name, call.method, call.path_prefix);
            writeln!(f, "  {title}, line {}", explained.line)?;
            let idempotent = call.idempotent.to_string();
            row(f, "  idempotent", &idempotent, &explained.idempotent_origin)?;
            row(
                f,
                "  class",
                &call.class.to_string(),
                &explained.class_origin,
            )?;
            let deadline_ms = call.deadline_ms.0.to_string();
            row(f, "  deadline_ms", &deadline_ms, &explained.deadline_origin)?;
        }
        for host_route in &self.routes {
            let route = &host_route.route;
            writeln!(
                f,
                "  route {}: {}, line {}",
                route.name,
                host_route.host_and_prefix(),
                host_route.line
            )?;
            let idempotent = route.kind.is_idempotent();
            let is_download = route.kind == CallKind::Download;
            for (key, value) in [
                ("  to", host_route.destinations()),
                ("  idempotent", idempotent.to_string()),
                ("  download", is_download.to_string()),
                ("  timeout_ms", route.timeout_ms.0.to_string()),
                ("  objective_ms", route.objective_ms.0.to_string()),
                ("  attempts", route.max_attempts.to_string()),
                ("  priority", route.priority.to_string()),
            ] {
                writeln!(f, "  {key:KEY_WIDTH$} {value}")?;
            }
        }
        Ok(())
    }
}

fn row(f: &mut fmt::Formatter<'_>, key: &str, value: &str, origin: &Origin) -> fmt::Result {
    writeln!(f, "  {key:KEY_WIDTH$} {value:VALUE_WIDTH$} {origin}")
}

fn full_key(setting: Setting) -> String {
    match setting.group() {
        Group::Service => setting.key().to_owned(),
        group => {
            let group: &'static str = group.into();
            format!("{group}.{setting}")
        }
    }
}

fn join_or_dash(names: &[ServiceName]) -> String {
    if names.is_empty() {
        return "-".to_owned();
    }
    let names: Vec<&str> = names.iter().map(ServiceName::as_str).collect();
    names.join(", ")
}
