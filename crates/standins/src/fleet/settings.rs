//! The settings file of a node, as the fleet writes it.

use crate::prelude::*;

/// Settings of `hornbeamhitch-node`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeSettings {
    /// Name of the deployment; nodes ignore those of others.
    pub deployment: String,
    /// Name of the VM.
    pub vm: String,
    /// Service of the target.
    pub service: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// HTTP for callers.
    pub callers_address: SocketAddr,
    /// HTTP/2 between nodes.
    pub peer_address: SocketAddr,
    /// Control messages, UDP and TCP.
    pub control_address: SocketAddr,
    /// HTTP for operators.
    pub operators_address: SocketAddr,
    /// The target.
    pub target_address: SocketAddr,
    /// The platform.
    pub platform_address: SocketAddr,
    /// Bound on a graceful shutdown, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Logs.
    pub log: LogSettings,
}

/// What a node logs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}
