//! What a target's stand-in is made from.

use std::net::Ipv4Addr;
use std::path::PathBuf;

use crate::prelude::*;

use super::behaviour::Behaviour;
use super::service_time::ServiceTime;
use super::slots::Overflow;

/// Text that crashes a target when it stands in a path or body.
pub const DEFAULT_CRASH_MARK: &str = "standin-crash-mark";

/// Everything that is fixed for the life of a stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetConfig {
    /// Address to bind; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Name in answers and in the journal.
    pub name: String,
    /// Runs that it can have in progress.
    pub slots: u32,
    /// What becomes of requests above the slots.
    pub overflow: Overflow,
    /// Service times.
    pub service_time: ServiceTime,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Time after a start over which it is slower.
    pub cold_start_ms: u64,
    /// How many times slower it is right after a start.
    pub cold_factor: f64,
    /// Text that crashes it when it stands in a path or body.
    pub crash_mark: String,
    /// Time from the start of a marked run to the crash.
    pub crash_after_ms: u64,
    /// Time from a crash to the next start.
    pub restart_ms: u64,
    /// The node through which it calls other services.
    pub node: Option<SocketAddr>,
    /// File for the journal as JSON lines.
    pub journal: Option<PathBuf>,
    /// The mood to begin with.
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
