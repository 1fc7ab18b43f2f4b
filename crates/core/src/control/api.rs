//! What drivers of the control half see: settings, events, actions, checker.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeamhitch_wire::control::{ListVersion, ListedVm};
use thiserror::Error;

use crate::prelude::*;
use crate::suspects::SuspectEntry;

/// What a node knows about itself at start.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The VM of this node.
    pub vm: VmId,
    /// The service of the target on this VM.
    pub service: ServiceName,
    /// Where this VM stands.
    pub data_centre: DataCentre,
    /// Own TCP address for HTTP/2 between nodes, as others reach it.
    pub peer: SocketAddr,
    /// Own UDP and bulk TCP address for control messages.
    pub control: SocketAddr,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Seed of the generator that spreads messages and reads.
    pub seed: u64,
    /// Control addresses to ask at start beside the VM list; may be empty.
    pub seeds: Vec<SocketAddr>,
}

/// Parses and checks a configuration text; the text crate does it in a daemon.
pub trait TextChecker {
    /// Checks a whole text.
    ///
    /// # Errors
    ///
    /// A text with any fault is refused whole.
    fn check(&self, text: &str) -> Result<CheckedText, TextRefusal>;
}

/// What a text resolves to.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedText {
    /// Deployment-wide policy.
    pub deployment: DeploymentPolicy,
    /// One policy a service.
    pub services: Vec<ServicePolicy>,
}

/// Why a text was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct TextRefusal {
    /// Every fault with line and column.
    pub reason: String,
}

/// Names one bulk request of a peer until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The two things that a node may read from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlatformRead {
    /// The configuration text.
    Text,
    /// The VM list.
    Vms,
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed; expected every 50 ms.
    Tick,
    /// A datagram came in on the control address.
    Datagram {
        /// Address it came from.
        from: SocketAddr,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// [`ControlAction::ReadText`] brought a text.
    TextRead {
        /// The platform's version.
        version: ConfigVersion,
        /// The whole text.
        text: Arc<str>,
    },
    /// [`ControlAction::ReadText`] ended with `304`, or `404` before the first.
    TextUnchanged,
    /// [`ControlAction::ReadVms`] brought a list.
    VmsRead {
        /// The platform's version.
        version: ListVersion,
        /// The service asked for; `None` for the whole list.
        service: Option<ServiceName>,
        /// The VMs.
        vms: Vec<ListedVm>,
    },
    /// [`ControlAction::ReadVms`] ended with `304` or `404`.
    VmsUnchanged,
    /// A read failed or was not understood.
    PlatformFailed(PlatformRead),
    /// A peer asks over TCP; answered by [`ControlAction::BulkAnswer`], or not
    /// at all when it was not understood.
    BulkRequested {
        /// Names the connection.
        request: RequestId,
        /// The encoded request.
        message: Vec<u8>,
    },
    /// [`ControlAction::BulkRequest`] was answered.
    BulkAnswered {
        /// The address that was asked.
        peer: SocketAddr,
        /// The encoded answer.
        message: Vec<u8>,
    },
    /// [`ControlAction::BulkRequest`] failed.
    BulkFailed {
        /// The address that was asked.
        peer: SocketAddr,
    },
    /// The own gate's present load.
    GateLoad(LoadReport),
    /// The own target's state changed.
    TargetState {
        /// The target wants no new work.
        draining: bool,
        /// Connections to the target can be had.
        reachable: bool,
    },
    /// A load report came with an answer to a call of this node.
    LoadReported {
        /// The VM of the answering gate.
        vm: VmId,
        /// Its report.
        load: LoadReport,
    },
    /// Calls were sent to a service lately; repeated about once a second.
    SentTo(ServiceName),
    /// A peer sent work to the own gate lately; repeated about once a second.
    ReceivedFrom {
        /// The peer's address for control messages.
        control: SocketAddr,
    },
    /// A call asked for a service that the route table does not hold.
    ServiceRequested(ServiceName),
    /// The process was told to shut down gracefully.
    LeaveRequested,
    /// The own gate holds something against a request.
    Suspicion(SuspectEntry),
}

/// What the driver shall do.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Send a datagram from the control address; loss is tolerated.
    SendDatagram {
        /// Where to.
        to: SocketAddr,
        /// At most `MAX_DATAGRAM_BYTES`.
        bytes: Vec<u8>,
    },
    /// Read the text; ends in `TextRead`, `TextUnchanged` or `PlatformFailed`.
    ReadText {
        /// Wanted is any version above this one.
        after: ConfigVersion,
        /// How long the platform may hold the read; zero for not at all.
        wait_ms: Millis,
    },
    /// Read the VM list; ends in `VmsRead`, `VmsUnchanged` or `PlatformFailed`.
    ReadVms {
        /// Only this service; `None` for the whole list.
        service: Option<ServiceName>,
        /// Wanted is any version above this one.
        after: ListVersion,
        /// How long the platform may hold the read; zero for not at all.
        wait_ms: Millis,
    },
    /// Give up all reads that are on their way; they end in no event.
    CancelReads,
    /// Ask a peer over TCP; ends in `BulkAnswered` or `BulkFailed`.
    BulkRequest {
        /// The peer's control address.
        to: SocketAddr,
        /// The encoded request.
        message: Vec<u8>,
    },
    /// Answer a peer's request.
    BulkAnswer {
        /// As given with the request.
        request: RequestId,
        /// The encoded answer.
        message: Vec<u8>,
    },
    /// Replace what traffic reads.
    Publish(Arc<RouteTable>),
}
