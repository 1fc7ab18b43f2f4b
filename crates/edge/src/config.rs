//! Configuration of one node on the routed path.

use std::net::SocketAddr;

use hornbeamhitch_dispatch::gate::warm_up::WarmUpTolerance;
use hornbeamhitch_dispatch::overload::OverloadParts;
use hornbeamhitch_dispatch::overload::retry_budget::RetryLimit;
use hornbeamhitch_dispatch::resources::limits::ResourceLimits;
use hornbeamhitch_dispatch::routing::regions::Regions;

use crate::prelude::*;

/// Settings of a node at its start.
#[derive(Clone, Debug)]
pub struct EdgeConfig {
    /// Name of the VM in logs and metrics.
    pub vm: VmId,
    /// Service of the target on this VM.
    pub service: ServiceName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Regions of the data centres.
    pub regions: Regions,
    /// Address under which this VM's target is listed. Other VMs reach this node at its
    /// IP address.
    pub listed_address: SocketAddr,
    /// Address on which callers of this VM are served.
    pub callers_address: SocketAddr,
    /// Address on which links are accepted. The gates of all VMs use the same port.
    pub links_address: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness_address: SocketAddr,
    /// Path of the readiness endpoint.
    pub readiness_path: &'static str,
    /// Separate address for metrics; `None` serves them only on the readiness address.
    pub metrics_address: Option<SocketAddr>,
    /// Address at which this node connects to the target on its VM.
    pub target_address: SocketAddr,
    /// Limits on what the process holds for its peers.
    pub resources: ResourceLimits,
    /// Time within which a change of configuration or targets must be in force.
    pub in_force_ms: Millis,
    /// Time between SIGTERM and SIGKILL.
    pub grace_ms: Millis,
    /// Settings that a reload may change.
    pub tunables: Tunables,
}

/// Settings that can change while the process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Tunables {
    /// Limit on retries and hedges per service, over all entries together.
    pub retry_limit: RetryLimit,
    /// How far the requests to a cold target may exceed its admission rate.
    pub warm_up_tolerance: WarmUpTolerance,
    /// Parts of overload control that are switched off.
    pub overload_off: OverloadParts,
}

/// Rereads the tunables. Returns `None` if the settings are invalid; the implementation
/// logs the faults.
pub type Reload = Box<dyn Fn() -> Option<Tunables> + Send>;
