//! What operators see of the control half.

use std::net::SocketAddr;

use hornbeamhitch_wire::control::ListVersion;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::prelude::*;

/// A snapshot for operators and metrics.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlStatus {
    /// The configuration in force.
    pub version: Option<ConfigVersion>,
    /// A newer text that was refused.
    pub refused: Option<RefusedText>,
    /// The VM list held.
    pub list_version: ListVersion,
    /// Start-up is over: peers or the platform have given a configuration or
    /// stated that there is none.
    pub joined: bool,
    /// This node has announced that it leaves.
    pub leaving: bool,
    /// A later life of this VM was heard of: this process is a leftover.
    pub superseded: bool,
    /// Every slice of the configuration is held.
    pub whole: bool,
    /// This node reads the platform.
    pub reading: bool,
    /// Readers of the own data centre as known here, best first.
    pub readers: Vec<ReaderStatus>,
    /// How reads of the platform go.
    pub platform: PlatformState,
    /// Services held, ordered by name.
    pub services: Vec<ServiceStatus>,
    /// Peers known beyond the services held.
    pub sampled_peers: usize,
    /// Requests held as suspects.
    pub suspects: usize,
    /// Counters since start.
    pub counters: ControlCounters,
}

/// A text that was refused whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusedText {
    /// Its version.
    pub version: ConfigVersion,
    /// Every fault with line and column.
    pub reason: String,
}

/// One reader candidate.
#[derive(Clone, Debug, Serialize)]
pub struct ReaderStatus {
    /// The candidate.
    pub vm: VmId,
    /// It reads the platform by its own account.
    pub reading: bool,
    /// Its reads fail or bring stale versions.
    pub failing: bool,
}

/// How reads of the platform go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// This node does not read the platform.
    #[default]
    Unused,
    /// The last read succeeded.
    Answering,
    /// It answers, with versions older than what peers hold.
    Stale,
    /// Reads fail.
    Failing,
}

/// One service held.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceStatus {
    /// Its name.
    pub service: ServiceName,
    /// A policy is in force for it.
    pub has_policy: bool,
    /// Probes sent to its gates since start.
    pub probes_sent: u64,
    /// Members, ordered by VM.
    pub members: Vec<MemberStatus>,
}

/// One member of a service.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// The VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// TCP address of its gate.
    pub peer: SocketAddr,
    /// Its life, once heard.
    pub incarnation: Option<Incarnation>,
    /// What this node holds of it.
    pub state: MemberState,
    /// Time since it was last heard of; `None` for never.
    pub silent_ms: Option<Millis>,
}

/// What a node holds of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Heard of lately.
    Live,
    /// Silent for long, or never heard of: gone or behind a partition.
    Doubtful,
    /// Takes no new work.
    Leaving,
}

/// Counters since start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ControlCounters {
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Datagrams received, bad ones included.
    pub datagrams_in: u64,
    /// Bytes of datagrams sent.
    pub datagram_bytes_out: u64,
    /// Bytes of datagrams received.
    pub datagram_bytes_in: u64,
    /// Datagrams and bulk messages that were not understood.
    pub bad_messages: u64,
    /// Messages of an earlier life of their sender, dropped.
    pub stale_messages: u64,
    /// Bulk requests sent.
    pub bulk_pulls: u64,
    /// Bulk requests answered.
    pub bulk_answers: u64,
    /// Bytes of bulk messages sent.
    pub bulk_bytes_out: u64,
    /// Bytes of bulk messages received.
    pub bulk_bytes_in: u64,
    /// Reads of the platform, a waiting watch as one.
    pub platform_reads: u64,
    /// Reads of the platform that failed.
    pub platform_failures: u64,
    /// Texts that were refused.
    pub texts_refused: u64,
    /// Offers of versions at or below the one in force.
    pub old_versions_offered: u64,
    /// Probes sent to gates.
    pub probes_sent: u64,
    /// Probes that the measuring budget held back.
    pub probes_withheld: u64,
    /// Probes answered for others.
    pub probes_answered: u64,
    /// Route tables published.
    pub tables_published: u64,
}
