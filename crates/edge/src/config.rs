//! Settings of one node on the routed path.

use std::net::SocketAddr;

use hornbeamhitch_dispatch::retry_budget::RetryLimit;

use crate::prelude::*;

/// What a node knows of itself at start.
#[derive(Clone, Debug)]
pub struct EdgeConfig {
    /// The VM's name, for logs and metrics.
    pub vm: VmId,
    /// Service of the target on this VM.
    pub service: ServiceName,
    /// Where the VM stands.
    pub data_centre: DataCentre,
    /// The target's address as it is listed; other VMs reach this one at its IP
    /// address.
    pub listed_address: SocketAddr,
    /// Where callers on this VM send.
    pub callers_address: SocketAddr,
    /// Where the gates of other VMs listen as well, on the same port.
    pub links_address: SocketAddr,
    /// Where readiness is asked for.
    pub readiness_address: SocketAddr,
    /// Path of the readiness question.
    pub readiness_path: &'static str,
    /// Where metrics are served, when not beside readiness.
    pub metrics_address: Option<SocketAddr>,
    /// Where this node reaches the target on its VM.
    pub target_address: SocketAddr,
    /// Bytes of callers' bodies that the node holds at once.
    pub buffered_bytes: u64,
    /// Within this a change of configuration or targets must be in force.
    pub in_force_ms: Millis,
    /// Span from SIGTERM to SIGKILL.
    pub grace_ms: Millis,
    /// What may change while the process runs.
    pub tunables: Tunables,
}

/// Settings that a reload may change.
#[derive(Clone, Debug, PartialEq)]
pub struct Tunables {
    /// Limit on extra arrivals at a service, over all entries together.
    pub retry_limit: RetryLimit,
}

/// Reads the tunables anew; `None` when the settings are at fault, which its
/// implementer has logged.
pub type Reload = Box<dyn Fn() -> Option<Tunables> + Send>;
