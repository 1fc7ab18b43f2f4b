//! Status of the control state machine for operators.

use std::net::SocketAddr;

use hornbeamhitch_wire::control::ListVersion;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::prelude::*;

/// A snapshot for operators and metrics.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlStatus {
    /// Version of the configuration in force.
    pub version: Option<ConfigVersion>,
    /// A newer text that was rejected.
    pub refused: Option<RefusedText>,
    /// Version of the local VM list.
    pub list_version: ListVersion,
    /// Start-up is complete: peers or the platform have provided a configuration or
    /// reported that there is none.
    pub joined: bool,
    /// This node accepts no new work.
    pub leaving: bool,
    /// A later incarnation of this VM has been seen, so this process is obsolete.
    pub superseded: bool,
    /// All slices of the configuration and of the VM list are available locally.
    pub whole: bool,
    /// This node reads the platform.
    pub reading: bool,
    /// Reader candidates of this node's data centre known to it, best first.
    pub readers: Vec<ReaderStatus>,
    /// State of the platform reads.
    pub platform: PlatformState,
    /// Tracked services, ordered by name.
    pub services: Vec<ServiceStatus>,
    /// Known peers that belong to no tracked service.
    pub sampled_peers: usize,
    /// Number of suspected requests.
    pub suspects: usize,
    /// Counters since start.
    pub counters: ControlCounters,
}

/// A text that was rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusedText {
    /// Version of the text.
    pub version: ConfigVersion,
    /// Every fault with line and column.
    pub reason: String,
}

/// One reader candidate.
#[derive(Clone, Debug, Serialize)]
pub struct ReaderStatus {
    /// VM of the candidate.
    pub vm: VmId,
    /// The candidate reports that it reads the platform.
    pub reading: bool,
    /// Its reads fail or return stale versions.
    pub failing: bool,
}

/// State of the platform reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// This node does not read the platform.
    #[default]
    Unused,
    /// Reads succeed.
    Answering,
    /// The platform responds with versions older than those of the peers.
    Stale,
    /// Reads fail.
    Failing,
}

/// One tracked service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: ServiceName,
    /// A policy is in force for the service.
    pub has_policy: bool,
    /// Probes sent to gates of the service since start.
    pub probes_sent: u64,
    /// Members, ordered by VM.
    pub members: Vec<MemberStatus>,
}

/// One member of a service.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// The VM.
    pub vm: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// TCP address of its gate.
    pub peer: SocketAddr,
    /// Its incarnation, once known.
    pub incarnation: Option<Incarnation>,
    /// Its state as known to this node.
    pub state: MemberState,
    /// Time since its last statement, or `None` if there was none.
    pub silent_ms: Option<Millis>,
}

/// State of a member as known to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It made a statement recently.
    Live,
    /// It has been silent for long or never made a statement: it is gone or behind a
    /// partition.
    Doubtful,
    /// It accepts no new work.
    Leaving,
}

/// Counters since start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ControlCounters {
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Datagrams received, including invalid ones.
    pub datagrams_in: u64,
    /// Bytes of datagrams sent.
    pub datagram_bytes_out: u64,
    /// Bytes of datagrams received.
    pub datagram_bytes_in: u64,
    /// Datagrams and bulk messages that could not be decoded or contained invalid slices.
    pub bad_messages: u64,
    /// Messages dropped because they came from an earlier incarnation of their sender.
    pub stale_messages: u64,
    /// Bulk requests sent.
    pub bulk_pulls: u64,
    /// Bulk requests answered.
    pub bulk_answers: u64,
    /// Bytes of bulk messages sent.
    pub bulk_bytes_out: u64,
    /// Bytes of bulk messages received.
    pub bulk_bytes_in: u64,
    /// Platform reads. A watch counts as one read.
    pub platform_reads: u64,
    /// Failed platform reads.
    pub platform_failures: u64,
    /// Rejected texts.
    pub texts_refused: u64,
    /// Offered versions below the local one.
    pub old_versions_offered: u64,
    /// Probes sent to gates.
    pub probes_sent: u64,
    /// Probes not sent because the probe budget was exhausted.
    pub probes_withheld: u64,
    /// Probes of other nodes answered.
    pub probes_answered: u64,
    /// Route tables published.
    pub tables_published: u64,
}
