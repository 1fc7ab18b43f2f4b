//! What a node answers to `GET /v1/status` on its operators' address.
//!
//! The daemon writes these values and the command line reads them, so both
//! sides agree on names and units. Ages are spans in the clock of the node
//! that answers; they are never points in time, because clocks of two VMs must
//! not be compared.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs, serde_as};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

use crate::clock::Millis;
use crate::id::{ConfigVersion, DataCentre, Incarnation, ServiceName, VmId};

/// Path of the status on a node's operators' address.
pub const STATUS_PATH: &str = "/v1/status";

const HEXADECIMAL: u32 = 16;

/// Everything an operator can ask of one node.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct NodeStatus {
    /// The VM that the node runs on.
    #[schemars(with = "String")]
    pub vm: VmId,
    /// The service of the target beside the node.
    #[schemars(with = "String")]
    pub service: ServiceName,
    /// Where the VM stands.
    #[schemars(with = "String")]
    pub data_centre: DataCentre,
    /// This life of the node, as 16 hexadecimal digits.
    #[serde_as(as = "HexIncarnation")]
    #[schemars(with = "String")]
    pub incarnation: Incarnation,
    /// Time since the node started.
    #[schemars(with = "u64")]
    pub uptime_ms: Millis,
    /// The node or its target is leaving and takes no new work.
    pub leaving: bool,
    /// A later life of this VM was heard of: this process is a leftover, which
    /// takes no new work.
    #[serde(default)]
    pub superseded: bool,
    /// The configuration in force and the last one refused.
    pub config: ConfigStatus,
    /// Reads of the platform's configuration service.
    pub platform: PlatformStatus,
    /// The services that this node holds, ordered by name.
    pub services: Vec<ServiceStatus>,
    /// The gate of the target beside this node.
    pub gate: GateStatus,
    /// Requests suspected of crashing targets.
    pub suspects: SuspectStatus,
    /// Traffic between nodes for control.
    pub control: ControlCounters,
}

/// The configuration in force and the last one refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ConfigStatus {
    /// Version in force; absent before the first was accepted.
    #[schemars(with = "Option<u64>")]
    pub in_force: Option<ConfigVersion>,
    /// Time since the version in force was accepted.
    #[schemars(with = "Option<u64>")]
    pub in_force_age_ms: Option<Millis>,
    /// The last version that failed its checks.
    pub refused: Option<RefusedConfig>,
}

/// A version that failed its checks and was refused whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RefusedConfig {
    /// The version refused.
    #[schemars(with = "u64")]
    pub version: ConfigVersion,
    /// The faults, one a line, each with line and column.
    pub reason: String,
    /// Time since the refusal.
    #[schemars(with = "u64")]
    pub age_ms: Millis,
}

/// How this node learns what the platform publishes.
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
    /// This node is not one of the readers; it hears from its peers.
    #[default]
    Relayed,
    /// This node reads, and the last read was answered.
    Reading,
    /// This node reads, and the last read failed or timed out.
    Unreachable,
    /// This node reads, and the platform answers with older versions than
    /// those already in force.
    Stale,
}

/// Reads of the platform's configuration service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PlatformStatus {
    /// How this node learns what the platform publishes.
    pub state: PlatformState,
    /// Time since the last read that was answered; absent if none was.
    #[schemars(with = "Option<u64>")]
    pub last_read_age_ms: Option<Millis>,
    /// Reads sent since the node started, waiting watches included.
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
    /// What this node spent of the service's budgets.
    pub budgets: BudgetStatus,
}

/// Whether a target is picked for calls.
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
    /// Picked for calls.
    #[default]
    Live,
    /// Takes no new work.
    Leaving,
    /// Not heard from for long; picked only when nothing better is known.
    Doubtful,
    /// Taken out after consecutive failures, until a single trial succeeds.
    Ejected,
}

/// One target as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetStatus {
    /// The VM of the target.
    #[schemars(with = "String")]
    pub vm: VmId,
    /// Where the VM stands.
    #[schemars(with = "String")]
    pub data_centre: DataCentre,
    /// TCP address of the gate for HTTP/2 between nodes.
    #[schemars(with = "String")]
    pub peer: SocketAddr,
    /// Whether the target is picked for calls.
    pub state: TargetState,
    /// Calls from this node that are in flight at the target.
    pub in_flight: u32,
    /// The last load report heard; absent before the first.
    pub load: Option<LoadStatus>,
    /// Attempts sent to the target since this node started.
    pub attempts: u64,
    /// Attempts that failed since this node started.
    pub failures: u64,
}

/// The last load report heard from a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LoadStatus {
    /// Calls running in the target, from all entries.
    pub in_flight: u32,
    /// Calls waiting in the gate.
    pub queued: u32,
    /// The gate's concurrency limit.
    pub limit: u32,
    /// Smoothed service time of the target in microseconds.
    pub service_time_us: u32,
    /// Time since the report reached this node.
    #[schemars(with = "u64")]
    pub load_age_ms: Millis,
}

/// What a node spent of a service's budgets since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct BudgetStatus {
    /// Probes sent to its gates; on a node of this service, also the health
    /// checks of its own target.
    pub probes_sent: u64,
    /// Retries sent.
    pub retries_spent: u64,
    /// Hedges sent.
    pub hedges_spent: u64,
    /// First attempts, of which retries and hedges are a share.
    pub first_attempts: u64,
}

/// The gate of the target beside this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct GateStatus {
    /// Calls running in the target.
    pub in_flight: u32,
    /// Calls waiting for a slot.
    pub queued: u32,
    /// The present concurrency limit.
    pub limit: u32,
    /// Records of non-idempotent calls held.
    pub records: u32,
    /// Bytes of answers stored with records.
    pub stored_bytes: u64,
    /// Calls refused since the node started.
    pub refused: u64,
    /// Calls run since the node started.
    pub ran: u64,
}

/// Whether a request is only suspected of crashing targets or convicted.
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
    /// Was in flight in one crash; runs alone until it is cleared.
    #[default]
    Suspected,
    /// Was in flight in a second crash; refused everywhere.
    Convicted,
}

/// Requests suspected of crashing targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct SuspectStatus {
    /// How many this node knows, those beyond the list included.
    pub count: u64,
    /// The first of them.
    pub list: Vec<Suspect>,
}

/// One request suspected of crashing targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Suspect {
    /// Fingerprint of the request, as 16 hexadecimal digits.
    pub fingerprint: String,
    /// Suspected or convicted.
    pub state: SuspectState,
}

/// Traffic between nodes for control since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ControlCounters {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received, malformed ones included.
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

/// Writes an incarnation as 16 hexadecimal digits.
///
/// An incarnation fills all 64 bits, while many JSON readers keep numbers as
/// doubles of 53 bits; two lives could then read as one.
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
