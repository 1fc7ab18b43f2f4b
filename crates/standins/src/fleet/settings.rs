//! The settings file of a node, as the fleet writes it.

use crate::prelude::*;

/// Settings of `hornbeamhitch-node`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeSettings {
    /// Name of the deployment; nodes ignore messages of other deployments.
    pub deployment: String,
    /// Name of the VM.
    pub vm: String,
    /// Service of the target.
    pub service: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address of HTTP for callers.
    pub callers_address: SocketAddr,
    /// Address of HTTP/2 between nodes.
    pub peer_address: SocketAddr,
    /// Address of control messages, over UDP and TCP.
    pub control_address: SocketAddr,
    /// Address of HTTP for operators.
    pub operators_address: SocketAddr,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Time limit of a graceful shutdown, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Log settings.
    pub log: LogSettings,
}

/// Log settings of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogSettings {
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}
