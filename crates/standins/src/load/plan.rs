//! What the load tool is to send.

use std::collections::BTreeMap;

use crate::http_client::HttpVersion;
use crate::prelude::*;

/// The most calls that one run sends.
pub const MAX_CALLS: u64 = 2_000_000;
/// The longest time over which one run sends.
pub const MAX_SECONDS: f64 = 3_600.0;

/// One run of the load tool.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPlan {
    /// Where calls go.
    pub destination: Destination,
    /// What calls there are.
    pub kinds: Vec<CallKind>,
    /// Calls a second that are meant to start.
    pub rate_per_s: f64,
    /// How starts are spread.
    pub pacing: Pacing,
    /// Ends the run after this many calls.
    pub calls: u64,
    /// Ends the run after this time.
    pub seconds: f64,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// How callers behave.
    pub caller: CallerLimits,
    /// What callers speak.
    pub http: HttpVersion,
    /// Calls in progress above which further ones wait; they count from when
    /// they were meant to start all the same.
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
    /// Checks the bounds.
    ///
    /// # Errors
    ///
    /// Names the first bound that does not hold.
    pub fn check(&self) -> Result<()> {
        ensure!(!self.kinds.is_empty(), "the plan has no kind of call");
        ensure!(self.calls <= MAX_CALLS, "at most {MAX_CALLS} calls");
        ensure!(
            self.seconds > 0.0 && self.seconds <= MAX_SECONDS,
            "seconds above 0 and up to {MAX_SECONDS}"
        );
        ensure!(
            self.rate_per_s > 0.0 && self.rate_per_s.is_finite(),
            "a rate above 0"
        );
        ensure!(self.max_in_flight > 0, "max_in_flight above 0");
        for kind in &self.kinds {
            ensure!(
                kind.path.starts_with('/'),
                "the path of {} begins with /",
                kind.name
            );
            ensure!(
                !self.destination.addrs(&kind.service).is_empty(),
                "no address for {}",
                kind.service
            );
        }
        let weights: u64 = self.kinds.iter().map(|kind| u64::from(kind.weight)).sum();
        ensure!(weights > 0, "some kind has a weight above 0");
        Ok(())
    }
}

/// Where calls go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Destination {
    /// Entries, any of which takes any call.
    Nodes(Vec<SocketAddr>),
    /// Targets by service, called without nodes: the baseline of latency.
    Targets(BTreeMap<String, Vec<SocketAddr>>),
}

impl Destination {
    /// Addresses that take calls of a service.
    #[must_use]
    pub fn addrs(&self, service: &str) -> &[SocketAddr] {
        match self {
            Self::Nodes(addrs) => addrs,
            Self::Targets(by_service) => by_service.get(service).map_or(&[], Vec::as_slice),
        }
    }

    /// Whether calls go to targets without nodes.
    #[must_use]
    pub fn is_direct(&self) -> bool {
        matches!(self, Self::Targets(_))
    }
}

/// How starts are spread over time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pacing {
    /// Independent callers.
    #[default]
    Poisson,
    /// The same time from start to start.
    Even,
}

/// One kind of call in the mix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallKind {
    /// Name in reports.
    pub name: String,
    /// Service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service, beginning with `/`.
    pub path: String,
    /// Whether running it twice is harmless, as the text has it.
    pub idempotent: bool,
    /// Class in reports, as the text has it.
    pub class: String,
    /// Tenants, drawn evenly; none sends no tenant.
    pub tenants: Vec<String>,
    /// Size of the request's body.
    pub body_bytes: usize,
    /// Least size of the answer's body.
    pub answer_bytes: usize,
    /// Deadline that the caller sets; none leaves it to the text.
    pub deadline_ms: Option<u64>,
    /// Share of the mix.
    pub weight: u32,
    /// Further headers, such as commands to targets.
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

/// Bounds on what a caller does for one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Requests for one call, redirects included.
    pub max_sends: u32,
    /// Tickets for one call, each after a certain "not run".
    pub max_tickets: u32,
    /// Time from the intended start after which nothing more is sent.
    pub give_up_after_ms: u64,
    /// Longest wait for one answer.
    pub send_timeout_ms: u64,
    /// Resends of the same ticket after "unknown".
    pub unknown_resends: u32,
    /// Tickets that are fetched ahead at a time; 0 begins without a ticket.
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
