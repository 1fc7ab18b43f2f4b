//! Interface between the control state machine and its driver: settings, events, actions
//! and the text checker.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeamhitch_wire::control::{ListVersion, ListedVm};
use thiserror::Error;

use crate::prelude::*;
use crate::suspects::SuspectEntry;

/// Settings of a node that are fixed at start.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The VM of this node.
    pub vm: VmId,
    /// The service of the target on this VM.
    pub service: ServiceName,
    /// The data centre of this VM.
    pub data_centre: DataCentre,
    /// TCP address of this node for HTTP/2 between nodes, as peers reach it.
    pub peer: SocketAddr,
    /// UDP and bulk TCP address of this node for control messages.
    pub control: SocketAddr,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Seed of the random number generator that spreads messages and reads.
    pub seed: u64,
    /// Control addresses to contact at start in addition to the VM list. May be empty.
    pub seeds: Vec<SocketAddr>,
}

/// Parses and checks a configuration text. In a daemon, the text crate implements it.
pub trait TextChecker {
    /// Checks a complete text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text has any fault.
    fn check(&self, text: &str) -> Result<CheckedText, TextRefusal>;
}

/// The policies that a text resolves to.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedText {
    /// Deployment-wide policy.
    pub deployment: DeploymentPolicy,
    /// One policy per service.
    pub services: Vec<ServicePolicy>,
}

/// Reason why a text was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct TextRefusal {
    /// Every fault with line and column.
    pub reason: String,
}

/// Identifies one bulk request of a peer until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The two values that a node reads from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlatformRead {
    /// The configuration text.
    Text,
    /// The VM list.
    Vms,
}

/// An event that the driver reports.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed. Expected every 50 ms.
    Tick,
    /// A datagram arrived at the control address.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// Payload of the datagram.
        bytes: Vec<u8>,
    },
    /// [`ControlAction::ReadText`] returned a text.
    TextRead {
        /// Version of the text on the platform.
        version: ConfigVersion,
        /// The complete text.
        text: Arc<str>,
    },
    /// [`ControlAction::ReadText`] ended with `304`, or with `404` because no text has
    /// been published yet.
    TextUnchanged,
    /// [`ControlAction::ReadVms`] returned a list.
    VmsRead {
        /// Version of the list on the platform.
        version: ListVersion,
        /// The service whose VMs were requested, or `None` for the complete list.
        service: Option<ServiceName>,
        /// The VMs.
        vms: Vec<ListedVm>,
    },
    /// [`ControlAction::ReadVms`] ended with `304` or `404`.
    VmsUnchanged,
    /// A read failed or its response could not be decoded.
    PlatformFailed(PlatformRead),
    /// A peer sent a bulk request over TCP. The answer is a
    /// [`ControlAction::BulkAnswer`]. There is none if the request cannot be decoded,
    /// comes from an earlier incarnation, or exceeds the rate limit.
    BulkRequested {
        /// Identifies the request.
        request: RequestId,
        /// The encoded request.
        message: Vec<u8>,
    },
    /// [`ControlAction::BulkRequest`] was answered.
    BulkAnswered {
        /// The address to which the request was sent.
        peer: SocketAddr,
        /// The encoded answer.
        message: Vec<u8>,
    },
    /// [`ControlAction::BulkRequest`] failed.
    BulkFailed {
        /// The address to which the request was sent.
        peer: SocketAddr,
    },
    /// The current load of this node's gate.
    GateLoad(LoadReport),
    /// The state of this node's target changed.
    TargetState {
        /// The target accepts no new work.
        draining: bool,
        /// The target accepts connections.
        reachable: bool,
    },
    /// A load report arrived with the answer to a call of this node.
    LoadReported {
        /// The VM of the gate that answered.
        vm: VmId,
        /// The report of this gate.
        load: LoadReport,
    },
    /// This node recently sent calls to a service. Repeated about once a second while
    /// calls are sent.
    SentTo(ServiceName),
    /// A peer recently sent work to this node's gate. Repeated about once a second while
    /// work arrives.
    ReceivedFrom {
        /// The peer's address for control messages.
        control: SocketAddr,
    },
    /// A call requested a service that is missing from the route table.
    ServiceRequested(ServiceName),
    /// The process was asked to shut down gracefully.
    LeaveRequested,
    /// This node's gate suspects a request of crashing targets.
    Suspicion(SuspectEntry),
}

/// An action that the driver must execute.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Send a datagram from the control address. Loss is tolerated.
    SendDatagram {
        /// Address of the recipient.
        to: SocketAddr,
        /// At most `MAX_DATAGRAM_BYTES`.
        bytes: Vec<u8>,
    },
    /// Read the text. Ends with `TextRead`, `TextUnchanged` or `PlatformFailed`.
    ReadText {
        /// Only a version above this one is of interest.
        after: ConfigVersion,
        /// How long the platform may delay the response until a newer version exists.
        /// Zero disables waiting.
        wait_ms: Millis,
    },
    /// Read the VM list. Ends with `VmsRead`, `VmsUnchanged` or `PlatformFailed`.
    ReadVms {
        /// The service whose VMs to read, or `None` for the complete list.
        service: Option<ServiceName>,
        /// Only a version above this one is of interest.
        after: ListVersion,
        /// How long the platform may delay the response until a newer version exists.
        /// Zero disables waiting.
        wait_ms: Millis,
    },
    /// Cancel all reads in flight. Cancelled reads produce no event.
    CancelReads,
    /// Send a bulk request to a peer over TCP. Ends with `BulkAnswered` or `BulkFailed`.
    BulkRequest {
        /// The peer's control address.
        to: SocketAddr,
        /// The encoded request.
        message: Vec<u8>,
    },
    /// Answer a peer's bulk request.
    BulkAnswer {
        /// The identifier from [`ControlEvent::BulkRequested`].
        request: RequestId,
        /// The encoded answer.
        message: Vec<u8>,
    },
    /// Replace the route table that the data path uses.
    Publish(Arc<RouteTable>),
}
