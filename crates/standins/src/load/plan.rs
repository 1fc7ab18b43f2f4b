//! Plan of a run of the load tool.

use std::collections::BTreeMap;

use crate::http_client::HttpVersion;
use crate::prelude::*;

/// Maximum number of calls of a run.
pub const MAX_CALLS: u64 = 2_000_000;
/// Maximum duration over which a run starts calls, in seconds.
pub const MAX_SECONDS: f64 = 3_600.0;

/// Plan of a run of the load tool.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPlan {
    /// Destination of the calls.
    pub destination: Destination,
    /// Kinds of calls.
    pub kinds: Vec<CallKind>,
    /// Rate of call starts per second.
    pub rate_per_s: f64,
    /// Distribution of the start times.
    pub pacing: Pacing,
    /// Number of calls after which the run ends.
    pub calls: u64,
    /// Time after which no more calls start, in seconds.
    pub seconds: f64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Limits on what a caller does for one call.
    pub caller: CallerLimits,
    /// HTTP version of the callers.
    pub http: HttpVersion,
    /// Maximum number of calls in progress. Further calls wait, and their latency
    /// still counts from their intended start.
    pub max_in_flight: usize,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            destination: Destination::Nodes(Vec::new()),
            kinds: Vec::new(),
            rate_per_s: 100.0,
            pacing: Pacing::Poisson,
            calls: MAX_CALLS,
            seconds: 10.0,
            seed: 1,
            caller: CallerLimits::default(),
            http: HttpVersion::Http1,
            max_in_flight: 4_000,
        }
    }
}

impl LoadPlan {
    /// Checks the limits of the plan.
    ///
    /// # Errors
    ///
    /// Describes the first violation.
    pub fn check(&self) -> Result<()> {
        ensure!(
            !self.kinds.is_empty(),
            "the plan needs at least one kind of call"
        );
        ensure!(self.calls <= MAX_CALLS, "calls must be at most {MAX_CALLS}");
        ensure!(
            self.seconds > 0.0 && self.seconds <= MAX_SECONDS,
            "seconds must be above 0 and at most {MAX_SECONDS}"
        );
        ensure!(
            self.rate_per_s > 0.0 && self.rate_per_s.is_finite(),
            "rate_per_s must be above 0 and finite"
        );
        ensure!(self.max_in_flight > 0, "max_in_flight must be above 0");
        for kind in &self.kinds {
            ensure!(
                kind.path.starts_with('/'),
                "the path of {} must begin with /",
                kind.name
            );
            ensure!(
                !self.destination.addrs(&kind.service).is_empty(),
                "no address for the service {}",
                kind.service
            );
        }
        let weights: u64 = self.kinds.iter().map(|kind| u64::from(kind.weight)).sum();
        ensure!(
            weights > 0,
            "at least one kind of call needs a weight above 0"
        );
        Ok(())
    }
}

/// Destination of the calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Destination {
    /// Entries, each of which accepts any call.
    Nodes(Vec<SocketAddr>),
    /// Targets by service, called directly as a baseline for latency.
    Targets(BTreeMap<String, Vec<SocketAddr>>),
}

impl Destination {
    /// Returns the addresses that accept calls of a service.
    #[must_use]
    pub fn addrs(&self, service: &str) -> &[SocketAddr] {
        match self {
            Self::Nodes(addrs) => addrs,
            Self::Targets(by_service) => by_service.get(service).map_or(&[], Vec::as_slice),
        }
    }

    /// Returns whether calls go directly to targets.
    #[must_use]
    pub fn is_direct(&self) -> bool {
        matches!(self, Self::Targets(_))
    }
}

/// Distribution of start times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pacing {
    /// Poisson arrivals, as from independent callers.
    #[default]
    Poisson,
    /// Constant intervals.
    Even,
}

/// Kind of call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallKind {
    /// Name of the kind in reports.
    pub name: String,
    /// Service that is called.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service, beginning with `/`.
    pub path: String,
    /// Whether running the call twice is harmless; must match the configuration text.
    pub idempotent: bool,
    /// Class in reports; must match the configuration text.
    pub class: String,
    /// Tenants, drawn uniformly. If empty, calls name no tenant.
    pub tenants: Vec<String>,
    /// Minimum size of the request body, in bytes; 0 sends no filler.
    pub body_bytes: usize,
    /// Minimum size of the answer body, in bytes.
    pub answer_bytes: usize,
    /// Deadline that the caller sets, in milliseconds. Without one the configuration
    /// text determines it.
    pub deadline_ms: Option<u64>,
    /// Relative frequency among the kinds.
    pub weight: u32,
    /// Additional headers, such as those that control the target stand-in.
    pub headers: BTreeMap<String, String>,
    /// Text at the beginning of the body, such as a crash mark.
    pub body_prefix: String,
}

impl Default for CallKind {
    fn default() -> Self {
        Self {
            name: "call".to_owned(),
            service: String::new(),
            method: "GET".to_owned(),
            path: "/".to_owned(),
            idempotent: true,
            class: "interactive".to_owned(),
            tenants: Vec::new(),
            body_bytes: 0,
            answer_bytes: 0,
            deadline_ms: None,
            weight: 1,
            headers: BTreeMap::new(),
            body_prefix: String::new(),
        }
    }
}

/// Limits on what a caller does for one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum requests for one call, including redirects.
    pub max_sends: u32,
    /// Maximum tickets for one call; each further one follows a certain "not run".
    pub max_tickets: u32,
    /// Time from the intended start after which nothing more is sent, in
    /// milliseconds.
    pub give_up_after_ms: u64,
    /// Timeout of one request, in milliseconds.
    pub send_timeout_ms: u64,
    /// Maximum resends after "unknown"; ticketed calls are resent with the same
    /// ticket.
    pub unknown_resends: u32,
    /// Number of tickets to prefetch at a time. With 0, calls begin without a ticket.
    pub tickets_ahead: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_sends: 20,
            max_tickets: 5,
            give_up_after_ms: 20_000,
            send_timeout_ms: 12_000,
            unknown_resends: 0,
            tickets_ahead: 0,
        }
    }
}
