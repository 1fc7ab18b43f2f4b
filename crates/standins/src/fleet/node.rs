//! What a node is, and where it listens.

use crate::prelude::*;

use super::ports::{self, HeldPort};

const PORTS_PER_NODE: usize = 4;

/// One node to be.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeSpec {
    /// Name of its VM.
    pub vm: String,
    /// Service of its target.
    pub service: String,
    /// Data centre of its VM.
    pub data_centre: String,
    /// Address of its target.
    pub target: SocketAddr,
}

/// Where a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP/2 between nodes.
    pub peer: SocketAddr,
    /// Control messages, UDP and TCP.
    pub control: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
}

/// Addresses that nobody else gets until their ports are let go.
#[derive(Debug)]
pub struct ReservedAddresses {
    /// The addresses.
    pub addresses: NodeAddresses,
    /// Their ports, to be dropped when the node is started.
    pub ports: Vec<HeldPort>,
}

impl ReservedAddresses {
    /// Takes free ports for all four.
    ///
    /// # Errors
    ///
    /// Fails when the kernel has no more ports.
    pub fn take() -> Result<Self> {
        let ports = ports::reserve(PORTS_PER_NODE)?;
        let [callers, peer, control, operators] = &ports[..] else {
            bail!("asked for {PORTS_PER_NODE} ports and got {}", ports.len());
        };
        let addresses = NodeAddresses {
            callers: callers.addr(),
            peer: peer.addr(),
            control: control.addr(),
            operators: operators.addr(),
        };
        Ok(Self { addresses, ports })
    }
}
