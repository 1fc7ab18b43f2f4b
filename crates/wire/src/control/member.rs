//! What nodes tell about themselves and each other, and what the VM list says.

use std::net::SocketAddr;

use hornbeamhitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::load::LoadReport;

/// The platform's version number of the VM list; it only goes up.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ListVersion(pub u64);

/// One line of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The service of its target.
    pub service: ServiceName,
    /// The platform is taking it away.
    pub leaving: bool,
    /// TCP address for HTTP/2 between nodes.
    pub peer: SocketAddr,
    /// UDP and bulk TCP address for control messages.
    pub control: SocketAddr,
}

/// The part of a load report that is not already in a [`MemberDigest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Calls running in the target.
    pub in_flight: u32,
    /// Calls waiting in the gate.
    pub queued: u32,
    /// The gate's present concurrency limit.
    pub limit: u32,
    /// Smoothed service time of the target in microseconds.
    pub service_time_us: u32,
    /// The gate's clock at the report.
    pub gate_clock_ms: Millis,
}

/// What a node states about itself; passed on by others unchanged.
///
/// Two statements of one VM are ordered by incarnation, then by clock: a
/// repeated or late one can never undo a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The VM of the node.
    pub vm: VmId,
    /// The service of its own target.
    pub service: ServiceName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// TCP address for HTTP/2 between nodes.
    pub peer: SocketAddr,
    /// UDP and bulk TCP address for control messages.
    pub control: SocketAddr,
    /// The life of the node.
    pub incarnation: Incarnation,
    /// The node's own clock at this statement; its heartbeat counter.
    pub clock_ms: Millis,
    /// The node or its target takes no new work.
    pub leaving: bool,
    /// Its gate's load, once the gate has reported.
    pub load: Option<LoadDigest>,
}

/// A statement of one node as passed on by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNote {
    /// The statement.
    pub digest: MemberDigest,
    /// How long ago it was made, as far as the teller knows.
    pub age_ms: Millis,
}

impl LoadDigest {
    /// Leaves out what the member digest says already.
    #[must_use]
    pub const fn of(report: &LoadReport) -> Self {
        Self {
            in_flight: report.in_flight,
            queued: report.queued,
            limit: report.limit,
            service_time_us: report.service_time_us,
            gate_clock_ms: report.gate_clock_ms,
        }
    }
}

impl MemberDigest {
    /// The gate's load report, made whole again.
    #[must_use]
    pub fn load_report(&self) -> Option<LoadReport> {
        let load = self.load?;
        Some(LoadReport {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            service_time_us: load.service_time_us,
            gate_clock_ms: load.gate_clock_ms,
            incarnation: self.incarnation,
            leaving: self.leaving,
        })
    }
}
