//! The immutable snapshot that the control thread publishes to traffic.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::prelude::*;
use crate::suspects::SuspectSet;

/// One target of a service, as this node knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The VM of the target and its gate.
    pub vm: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// TCP address of the gate for HTTP/2 between nodes.
    pub peer: SocketAddr,
    /// The incarnation of the gate; `None` until the gate has reported it.
    pub incarnation: Option<Incarnation>,
    /// One-way network latency from this node, in microseconds.
    pub distance_us: u32,
    /// The target or its gate is draining and accepts no new work.
    pub leaving: bool,
    /// Nothing has been received from the target for a long time. It may be
    /// gone or on the other side of a network partition.
    pub doubtful: bool,
    /// The last load report received through control messages.
    pub load: Option<ReceivedLoad>,
}

/// A load report and the time at which it reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedLoad {
    /// The report of the gate.
    pub report: LoadReport,
    /// Time of arrival by this node's clock.
    pub received_at: Millis,
}

/// One service and its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceView {
    /// The policy of the service that is in force.
    pub policy: Arc<ServicePolicy>,
    /// The known targets, ordered by VM.
    pub targets: Vec<TargetView>,
}

/// Everything that traffic threads need from the control thread. A table is
/// never modified; a new one replaces it.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration in force; `None` until one has been
    /// accepted.
    pub version: Option<ConfigVersion>,
    /// Policy of the whole deployment.
    pub deployment: Arc<DeploymentPolicy>,
    /// The services that this node tracks, by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceView>>,
    /// Every service name in the configuration. It distinguishes an unknown
    /// service from one that this node does not track yet.
    pub service_names: Arc<Vec<ServiceName>>,
    /// Requests that are suspected or convicted of crashing targets.
    pub suspects: Arc<SuspectSet>,
    /// This node accepts no new work because its process is shutting down, its
    /// target is draining, the platform is removing the VM, or a later
    /// incarnation of the VM is known. The gate on this node must reject new
    /// work while this is set.
    pub leaving: bool,
}
