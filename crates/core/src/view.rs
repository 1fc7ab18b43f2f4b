//! The immutable snapshot that the control thread publishes to traffic.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::prelude::*;
use crate::suspects::SuspectSet;

/// One target of a service as far as this node knows.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The VM of the target and its gate.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// TCP address of the gate for HTTP/2 between nodes.
    pub peer: SocketAddr,
    /// The gate's life, once heard from it.
    pub incarnation: Option<Incarnation>,
    /// One-way time from this node in microseconds.
    pub distance_us: u32,
    /// The target or its gate is leaving: no new work.
    pub leaving: bool,
    /// Nothing was heard for long; may be gone, may be behind a partition.
    pub doubtful: bool,
    /// The last load report heard by control messages, and when it was heard
    /// in this node's clock.
    pub load: Option<ReceivedLoad>,
}

/// A load report with the time at which it reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedLoad {
    /// The gate's report.
    pub report: LoadReport,
    /// Arrival in this node's clock.
    pub received_at: Millis,
}

/// One service with its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceView {
    /// The service's policy in force.
    pub policy: Arc<ServicePolicy>,
    /// Known targets, ordered by VM.
    pub targets: Vec<TargetView>,
}

/// All that traffic threads need from control; replaced whole, never changed.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The configuration in force; `None` before the first was accepted.
    pub version: Option<ConfigVersion>,
    /// Deployment-wide policy.
    pub deployment: Arc<DeploymentPolicy>,
    /// Services that this node holds, by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceView>>,
    /// Every service name in the configuration, to tell an unknown service
    /// from one that this node does not hold yet.
    pub service_names: Arc<Vec<ServiceName>>,
    /// Requests suspected or convicted of crashing targets.
    pub suspects: Arc<SuspectSet>,
    /// This node takes no new work: it was told to leave, its target drains,
    /// the platform takes the VM away, or a later life of the VM was heard of.
    /// The own gate must refuse new work while this is set.
    pub leaving: bool,
}
