//! Configuration of a stand-in for a target.

use std::net::Ipv4Addr;
use std::path::PathBuf;

use crate::prelude::*;

use super::behaviour::Behaviour;
use super::service_time::ServiceTime;
use super::slots::Overflow;

/// Default text that crashes a target when it occurs in a path or body.
pub const DEFAULT_CRASH_MARK: &str = "standin-crash-mark";

/// Settings that stay fixed while a stand-in runs, and its initial behaviour.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetConfig {
    /// Address to bind; port 0 selects a free port.
    pub addr: SocketAddr,
    /// Name in answers and in the journal.
    pub name: String,
    /// Maximum number of concurrent runs.
    pub slots: u32,
    /// Handling of requests that find no free slot.
    pub overflow: Overflow,
    /// Distribution of service times.
    pub service_time: ServiceTime,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Duration of the cold start, over which the target is slower.
    pub cold_start_ms: u64,
    /// Factor on service times right after a start; it falls linearly to 1 over
    /// the cold start.
    pub cold_factor: f64,
    /// Text that crashes the target when it occurs in a path or body; an empty
    /// text matches nothing.
    pub crash_mark: String,
    /// Time from the start of a run with the crash mark to the crash.
    pub crash_after_ms: u64,
    /// Time from a crash to the next start.
    pub restart_ms: u64,
    /// The node through which the target calls other services.
    pub node: Option<SocketAddr>,
    /// File to which the journal is written as JSON lines.
    pub journal: Option<PathBuf>,
    /// The initial behaviour.
    #[serde(rename = "mood")]
    pub behaviour: Behaviour,
}

impl Default for TargetConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: "target".to_owned(),
            slots: 12,
            overflow: Overflow::Queue { limit: 1_000 },
            service_time: ServiceTime::Fixed { us: 0 },
            seed: 1,
            cold_start_ms: 0,
            cold_factor: 4.0,
            crash_mark: DEFAULT_CRASH_MARK.to_owned(),
            crash_after_ms: 0,
            restart_ms: 200,
            node: None,
            journal: None,
            behaviour: Behaviour::default(),
        }
    }
}
