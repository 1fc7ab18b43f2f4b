//! The answer of a node to `GET /v1/status` on its operators' address.
//!
//! The daemon serialises these types and the command line deserialises them, so
//! that both agree on names and units. Ages are durations measured by the clock
//! of the node that answers, not points in time, because the clocks of two VMs
//! must not be compared.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs, serde_as};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

use crate::clock::Millis;
use crate::id::{ConfigVersion, DataCentre, Incarnation, ServiceName, VmId};

/// Path of the status endpoint on a node's operators' address.
pub const STATUS_PATH: &str = "/v1/status";

const HEXADECIMAL: u32 = 16;

/// The complete status of one node.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct NodeStatus {
    /// The VM that the node runs on.
    #[schemars(with = "String")]
    pub vm: VmId,
    /// The service of the node's own target.
    #[schemars(with = "String")]
    pub service: ServiceName,
    /// The data centre of the VM.
    #[schemars(with = "String")]
    pub data_centre: DataCentre,
    /// The incarnation of the node process, as 16 hexadecimal digits.
    #[serde_as(as = "HexIncarnation")]
    #[schemars(with = "String")]
    pub incarnation: Incarnation,
    /// Time since the node started.
    #[schemars(with = "u64")]
    pub uptime_ms: Millis,
    /// Whether the node or its target is draining and accepts no new work.
    pub leaving: bool,
    /// Whether the node has learned of a later incarnation on the same VM. This
    /// process is then obsolete and accepts no new work.
    #[serde(default)]
    pub superseded: bool,
    /// The active configuration and the last rejected one.
    pub config: ConfigStatus,
    /// Reads of the platform's configuration service.
    pub platform: PlatformStatus,
    /// The services whose targets this node tracks, ordered by name.
    pub services: Vec<ServiceStatus>,
    /// The gate of the node's own target.
    pub gate: GateStatus,
    /// Requests suspected of crashing targets.
    pub suspects: SuspectStatus,
    /// Control traffic between nodes.
    pub control: ControlCounters,
}

/// The active configuration and the last rejected one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ConfigStatus {
    /// The active version; absent until a first one has been accepted.
    #[schemars(with = "Option<u64>")]
    pub in_force: Option<ConfigVersion>,
    /// Time since the active version was accepted.
    #[schemars(with = "Option<u64>")]
    pub in_force_age_ms: Option<Millis>,
    /// The last version that failed its checks.
    pub refused: Option<RefusedConfig>,
}

/// A version that failed its checks. No part of it was applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RefusedConfig {
    /// The rejected version.
    #[schemars(with = "u64")]
    pub version: ConfigVersion,
    /// The faults, one per line, each with its line and column in the text.
    pub reason: String,
    /// Time since the version was rejected.
    #[schemars(with = "u64")]
    pub age_ms: Millis,
}

/// How this node gets the data that the platform publishes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    JsonSchema,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PlatformState {
    /// This node does not read the platform itself; its peers relay the data.
    #[default]
    Relayed,
    /// This node reads the platform, and the last read succeeded.
    Reading,
    /// This node reads the platform, and the last read failed or timed out.
    Unreachable,
    /// This node reads the platform, which answers with older versions than the
    /// active ones.
    Stale,
}

/// Status of the reads from the platform's configuration service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PlatformStatus {
    /// How this node gets the data that the platform publishes.
    pub state: PlatformState,
    /// Time since the last successful read; absent if there was none.
    #[schemars(with = "Option<u64>")]
    pub last_read_age_ms: Option<Millis>,
    /// Reads sent since the node started, including watches still pending.
    pub reads: u64,
}

/// One service as this node sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceStatus {
    /// The service's name.
    #[schemars(with = "String")]
    pub name: ServiceName,
    /// Known targets, ordered by VM.
    pub targets: Vec<TargetStatus>,
    /// How much of the service's budgets this node has used.
    pub budgets: BudgetStatus,
}

/// Whether the node selects a target for calls.
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
    JsonSchema,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TargetState {
    /// The target is selected for calls.
    #[default]
    Live,
    /// The target is draining and accepts no new work.
    Leaving,
    /// The target has sent no message for a long time. It is selected only if no
    /// better target is known.
    Doubtful,
    /// The target was ejected after consecutive failures, until a single trial
    /// call succeeds.
    Ejected,
}

/// One target as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetStatus {
    /// The VM of the target.
    #[schemars(with = "String")]
    pub vm: VmId,
    /// The data centre of the VM.
    #[schemars(with = "String")]
    pub data_centre: DataCentre,
    /// TCP address of the gate for HTTP/2 connections between nodes.
    #[schemars(with = "String")]
    pub peer: SocketAddr,
    /// Whether the target is selected for calls.
    pub state: TargetState,
    /// Calls from this node that are in flight at the target.
    pub in_flight: u32,
    /// The last load report received; absent until the first one.
    pub load: Option<LoadStatus>,
    /// Attempts sent to the target since this node started.
    pub attempts: u64,
    /// Attempts that failed since this node started.
    pub failures: u64,
}

/// The last load report received from a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LoadStatus {
    /// Calls from all entries that are running in the target.
    pub in_flight: u32,
    /// Calls waiting in the gate's queue.
    pub queued: u32,
    /// The gate's concurrency limit.
    pub limit: u32,
    /// Smoothed service time of the target in microseconds.
    pub service_time_us: u32,
    /// Time since the report reached this node.
    #[schemars(with = "u64")]
    pub load_age_ms: Millis,
}

/// How much of a service's budgets a node has used since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct BudgetStatus {
    /// Probes sent to gates of the service. On a node of this service, health
    /// checks of its own target are included.
    pub probes_sent: u64,
    /// Retries sent.
    pub retries_spent: u64,
    /// Hedged requests sent.
    pub hedges_spent: u64,
    /// First attempts. The budgets for retries and hedged requests are shares of
    /// this number.
    pub first_attempts: u64,
}

/// Status of the gate of the node's own target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct GateStatus {
    /// Calls running in the target.
    pub in_flight: u32,
    /// Calls waiting for a slot.
    pub queued: u32,
    /// The current concurrency limit.
    pub limit: u32,
    /// Stored records of non-idempotent calls.
    pub records: u32,
    /// Bytes of the answers stored with records.
    pub stored_bytes: u64,
    /// Calls rejected since the node started.
    pub refused: u64,
    /// Calls run since the node started.
    pub ran: u64,
}

/// How certain it is that a request crashes targets.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    JsonSchema,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum SuspectState {
    /// The request was in flight during one crash. It runs alone until it is
    /// cleared.
    #[default]
    Suspected,
    /// The request was in flight during a second crash. It is rejected
    /// everywhere.
    Convicted,
}

/// Requests suspected of crashing targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct SuspectStatus {
    /// Number of suspects that this node knows, including those not in `list`.
    pub count: u64,
    /// The first suspects.
    pub list: Vec<Suspect>,
}

/// One request suspected of crashing targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Suspect {
    /// Fingerprint of the request, as 16 hexadecimal digits.
    pub fingerprint: String,
    /// Whether the request is suspected or convicted.
    pub state: SuspectState,
}

/// Control traffic between nodes since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ControlCounters {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received, including malformed ones.
    pub datagrams_received: u64,
    /// Bytes of datagrams sent.
    pub sent_bytes: u64,
    /// Bytes of datagrams received.
    pub received_bytes: u64,
    /// Bulk transfers fetched from other nodes over TCP.
    pub bulk_pulls: u64,
    /// Bytes of bulk transfers fetched.
    pub bulk_bytes: u64,
}

/// Serialises an incarnation as 16 hexadecimal digits.
///
/// An incarnation uses all 64 bits, but many JSON readers store numbers as
/// doubles with 53 bits of precision. Two incarnations could then compare equal.
pub struct HexIncarnation;

impl SerializeAs<Incarnation> for HexIncarnation {
    fn serialize_as<S: Serializer>(
        incarnation: &Incarnation,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(incarnation)
    }
}

impl<'de> DeserializeAs<'de, Incarnation> for HexIncarnation {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Incarnation, D::Error> {
        let digits = String::deserialize(deserializer)?;
        let value = u64::from_str_radix(&digits, HEXADECIMAL).map_err(serde::de::Error::custom)?;
        Ok(Incarnation(value))
    }
}
