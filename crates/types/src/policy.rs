//! Policies that the configuration text resolves to.
//!
//! The text crate checks the text and produces these values. The core uses them
//! and relies on the range given at each field.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

use crate::clock::Millis;
use crate::id::{DataCentre, ServiceName, TenantName};

/// The queueing priority of calls. Classes listed first are served first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallClass {
    /// A person is waiting on the line or at the kiosk, and money moves.
    Payment,
    /// A person is waiting on the line or at the kiosk.
    #[default]
    Interactive,
    /// Uploads of pictures and documents.
    Upload,
    /// Nobody is waiting, for example reconciliation and reports.
    Background,
}

/// The policy of one kind of call of a service, matched by method and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallPolicy {
    /// Name shown in logs and by `explain`.
    pub name: String,
    /// HTTP method in capitals, or `*` for any method.
    pub method: String,
    /// Path prefix below the service, beginning with `/`. The longest matching
    /// prefix wins.
    pub path_prefix: String,
    /// Whether running the call twice is harmless.
    pub idempotent: bool,
    /// Queueing priority, also used as a label of histograms.
    pub class: CallClass,
    /// Time that the whole call may take if the caller sets no deadline.
    pub deadline_ms: Millis,
}

/// Budgets that limit the extra work that the load balancer adds: probes,
/// retries and hedged requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Budgets {
    /// Probes per second that one node may send for this service (0 to 100).
    pub probes_per_s: f64,
    /// Probes that may be sent in one burst after an idle period (1 to 100).
    pub probe_burst: u32,
    /// Retries as a share of first attempts (0 to 1).
    pub retry_share: f64,
    /// Hedged requests as a share of first attempts (0 to 1); 0 disables hedging.
    pub hedge_share: f64,
    /// Quantile of recent latencies after which a hedged request may start (0.5 to
    /// 0.999).
    pub hedge_quantile: f64,
}

/// When a target is ejected from selection, and how it returns.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EjectionPolicy {
    /// Consecutive failures that eject a target (1 to 100).
    pub consecutive_failures: u32,
    /// Share of the service's targets that may be ejected at once (0 to 0.9).
    pub max_ejected_share: f64,
    /// Time until the first half-open trial call. It doubles with each failed
    /// trial.
    pub base_ejection_ms: Millis,
    /// Upper bound on the time between trial calls.
    pub max_ejection_ms: Millis,
}

/// The complete policy of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// The service's name.
    pub service: ServiceName,
    /// Services that its targets call.
    pub depends_on: Vec<ServiceName>,
    /// Calls that one target runs concurrently (1 to 10,000).
    pub slots: u32,
    /// Connections that a gate may open to its target (1 to 100,000).
    pub connections: u32,
    /// Calls that may wait in a gate's queue (0 to 10,000).
    pub queue_limit: u32,
    /// Policies of the kinds of calls. For a call that matches none of them, the
    /// method decides whether it is idempotent.
    pub calls: Vec<CallPolicy>,
    /// Deadline of calls that match no kind.
    pub deadline_ms: Millis,
    /// How long a ticket is valid, measured by the clock of the gate that issued
    /// it.
    pub ticket_ttl_ms: Millis,
    /// Records of non-idempotent calls that a gate may store.
    pub max_records: u32,
    /// Largest answer that is stored with a record, in bytes.
    pub max_stored_answer_bytes: u32,
    /// Largest answer that the entry buffers, in bytes. An idempotent call whose
    /// buffered answer was truncated can be retried.
    pub buffer_bytes: u32,
    /// Largest accepted request body, in bytes.
    pub max_request_bytes: u64,
    /// Warm-up time over which the share of a cold target grows to its full size.
    pub cold_ramp_ms: Millis,
    /// Budgets for probes, retries and hedged requests.
    pub budgets: Budgets,
    /// When targets are ejected and how they return.
    pub ejection: EjectionPolicy,
}

/// The network latency between two data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Distance {
    /// One of the two data centres.
    pub from: DataCentre,
    /// The other data centre.
    pub to: DataCentre,
    /// One-way latency in microseconds.
    pub one_way_us: u32,
}

/// The policy of the whole deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DeploymentPolicy {
    /// Name of the deployment, used in logs and reports.
    pub deployment: String,
    /// Tenants with their own histograms. All other tenants are counted as
    /// `other`.
    pub tenants: Vec<TenantName>,
    /// One-way latency in microseconds between data centres that `distances` does
    /// not list.
    pub default_distance_us: u32,
    /// Latencies that differ from the default. Each applies in both directions.
    pub distances: Vec<Distance>,
}

impl ServicePolicy {
    /// Finds the policy of a call: of those whose method matches, the one with the
    /// longest matching path prefix, and the first of equally long ones.
    #[must_use]
    pub fn call_for(&self, method: &str, path: &str) -> Option<&CallPolicy> {
        let mut best: Option<&CallPolicy> = None;
        for call in &self.calls {
            if call.method != "*" && call.method != method {
                continue;
            }
            if !prefix_matches(&call.path_prefix, path) {
                continue;
            }
            if best.is_some_and(|known| known.path_prefix.len() >= call.path_prefix.len()) {
                continue;
            }
            best = Some(call);
        }
        best
    }

    /// Returns whether running a call with this method and path twice is harmless.
    ///
    /// If no policy in `calls` matches, only the methods that HTTP defines as safe
    /// count as idempotent.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.call_for(method, path) {
            Some(call) => call.idempotent,
            None => matches!(method, "GET" | "HEAD" | "OPTIONS"),
        }
    }
}

/// Returns whether `prefix` matches whole segments of `path`: `/pay` matches
/// `/pay/7`, but not `/payee`.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
}
