//! Statements of nodes about themselves and each other, and the entries of the VM list.

use std::net::SocketAddr;

use hornbeamhitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::load::LoadReport;

/// The platform's version number of the VM list. It only increases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ListVersion(pub u64);

/// One entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// The service of its target.
    pub service: ServiceName,
    /// The platform is removing the VM.
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
    /// Calls queued in the gate.
    pub queued: u32,
    /// The current concurrency limit of the gate.
    pub limit: u32,
    /// Smoothed service time of the target in microseconds.
    pub service_time_us: u32,
    /// The gate's clock at the time of the report.
    pub gate_clock_ms: Millis,
}

/// A node's statement about itself, which others relay unchanged.
///
/// Two statements of one VM are ordered by incarnation and then by clock, so a repeated
/// or late statement never reverts a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The VM of the node.
    pub vm: VmId,
    /// The service of its target.
    pub service: ServiceName,
    /// The data centre of the node.
    pub data_centre: DataCentre,
    /// TCP address for HTTP/2 between nodes.
    pub peer: SocketAddr,
    /// UDP and bulk TCP address for control messages.
    pub control: SocketAddr,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The node's own clock at the time of the statement, which serves as its heartbeat
    /// counter.
    pub clock_ms: Millis,
    /// The node or its target accepts no new work.
    pub leaving: bool,
    /// The load of its gate, once the gate has reported it.
    pub load: Option<LoadDigest>,
}

/// A statement of one node, relayed by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNote {
    /// The statement.
    pub digest: MemberDigest,
    /// Age of the statement as known to the relaying node.
    pub age_ms: Millis,
}

impl LoadDigest {
    /// Returns the digest of a report, without the fields that the member digest already
    /// contains.
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
    /// Returns the complete load report of the gate.
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
