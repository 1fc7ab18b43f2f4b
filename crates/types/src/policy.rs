//! What the configuration text resolves to for one service.
//!
//! The text crate produces these values, checked; the core consumes them and
//! relies on the ranges named at each field.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

use crate::clock::Millis;
use crate::id::{DataCentre, ServiceName, TenantName};

/// How calls rank when a queue must choose; lower rank is served first.
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
    /// A person waits on the line or at the kiosk, and money moves.
    Payment,
    /// A person waits on the line or at the kiosk.
    #[default]
    Interactive,
    /// Uploads of pictures and documents.
    Upload,
    /// Nobody waits: reconciliation, reports.
    Background,
}

/// One kind of call of a service, matched by method and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallPolicy {
    /// Name in logs and `explain`.
    pub name: String,
    /// HTTP method in capitals, or `*`.
    pub method: String,
    /// Path prefix below the service, beginning with `/`; longest match wins.
    pub path_prefix: String,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Rank in queues, and label of histograms.
    pub class: CallClass,
    /// Time the whole call may take when the caller sets none.
    pub deadline_ms: Millis,
}

/// Budgets that bound the work the system adds on its own account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Budgets {
    /// Probes a second that one node may send about this service (0 to 100).
    pub probes_per_s: f64,
    /// Probes that may be sent at once after a quiet time (1 to 100).
    pub probe_burst: u32,
    /// Retries as a share of first attempts (0 to 1).
    pub retry_share: f64,
    /// Hedges as a share of first attempts (0 to 1); 0 turns hedging off.
    pub hedge_share: f64,
    /// Quantile of recent latency after which a hedge may start (0.5 to 0.999).
    pub hedge_quantile: f64,
}

/// When a target is taken out of picking, and how it returns.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EjectionPolicy {
    /// Consecutive failures that eject a target (1 to 100).
    pub consecutive_failures: u32,
    /// Share of the service's targets that may be ejected at once (0 to 0.9).
    pub max_ejected_share: f64,
    /// Time until the first single trial; doubles with each failed trial.
    pub base_ejection_ms: Millis,
    /// Longest time between trials.
    pub max_ejection_ms: Millis,
}

/// Everything that a node must know about one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// The service's name.
    pub service: ServiceName,
    /// Services that its targets call.
    pub depends_on: Vec<ServiceName>,
    /// Calls that one target runs at the same time (1 to 10,000).
    pub slots: u32,
    /// Connections that a gate may hold to its target (1 to 100,000).
    pub connections: u32,
    /// Calls that may wait in a gate's queue (0 to 10,000).
    pub queue_limit: u32,
    /// Kinds of calls; a call that matches none is decided by its method.
    pub calls: Vec<CallPolicy>,
    /// Deadline of calls that match no kind.
    pub deadline_ms: Millis,
    /// How long a ticket is valid, in its gate's clock.
    pub ticket_ttl_ms: Millis,
    /// Records of non-idempotent calls that a gate may keep.
    pub max_records: u32,
    /// Answers up to this many bytes are stored with the record.
    pub max_stored_answer_bytes: u32,
    /// Answers up to this many bytes are buffered at the entry, so that a cut
    /// answer of an idempotent call can be retried.
    pub buffer_bytes: u32,
    /// Bodies above this many bytes are refused.
    pub max_request_bytes: u64,
    /// Time over which a cold target's share grows to its full size.
    pub cold_ramp_ms: Millis,
    /// Budgets for measuring, retries and hedges.
    pub budgets: Budgets,
    /// Ejection and return.
    pub ejection: EjectionPolicy,
}

/// One way between two data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Distance {
    /// One end.
    pub from: DataCentre,
    /// The other end.
    pub to: DataCentre,
    /// One-way time in microseconds.
    pub one_way_us: u32,
}

/// What holds for the whole deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DeploymentPolicy {
    /// Name of the deployment, for logs and reports.
    pub deployment: String,
    /// Tenants that have histograms of their own; others count as `other`.
    pub tenants: Vec<TenantName>,
    /// One-way time between data centres that `distances` does not list.
    pub default_distance_us: u32,
    /// Exceptions to the default, in either direction.
    pub distances: Vec<Distance>,
}

impl ServicePolicy {
    /// Finds the kind of a call: the longest path prefix whose method fits.
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

    /// Whether running such a call twice is harmless.
    ///
    /// Without a matching kind the method decides, on the safe side: only
    /// methods that HTTP defines as safe count as idempotent.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.call_for(method, path) {
            Some(call) => call.idempotent,
            None => matches!(method, "GET" | "HEAD" | "OPTIONS"),
        }
    }
}

/// A prefix matches whole path segments: `/pay` covers `/pay/7`, not `/payee`.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
}
