//! What a node is, and where it listens.

use std::net::Ipv4Addr;

use crate::prelude::*;

use super::ports::{self, ReservedPortPair};

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
    pub ports: Vec<ReservedPortPair>,
}

/// Where the nodes of a fleet listen.
#[derive(Clone, Debug, Default)]
pub enum Addressing {
    /// All at 127.0.0.1, each with ports of its own.
    #[default]
    OneAddress,
    /// Each at a loopback address of its own and all with the same ports, as
    /// programs need it that know the ports of the others by their own.
    AddressPerNode(LoopbackNet),
}

impl Addressing {
    /// An address each, out of a net that no other fleet is likely to use.
    #[must_use]
    pub fn address_per_node() -> Self {
        Self::AddressPerNode(LoopbackNet {
            // Above the nets that tests name by hand, and below the broadcast.
            second_octet: rand::random_range(128..255),
            third_octet: rand::random(),
            ports: Vec::new(),
            nodes: 0,
        })
    }

    /// Takes free ports for the next node.
    ///
    /// # Errors
    ///
    /// Fails when the kernel has no more ports, or they are taken.
    pub fn take(&mut self) -> Result<ReservedAddresses> {
        match self {
            Self::OneAddress => ReservedAddresses::of(ports::reserve(PORTS_PER_NODE)?),
            Self::AddressPerNode(net) => ReservedAddresses::of(net.take()?),
        }
    }
}

/// A net 127.a.b.0, of which each node gets an address.
#[derive(Clone, Debug)]
pub struct LoopbackNet {
    second_octet: u8,
    third_octet: u8,
    /// The first node's, which all others take as well.
    ports: Vec<u16>,
    nodes: u8,
}

impl LoopbackNet {
    fn take(&mut self) -> Result<Vec<ReservedPortPair>> {
        if self.ports.is_empty() {
            for port in ports::reserve(PORTS_PER_NODE)? {
                self.ports.push(port.addr().port());
            }
        }
        self.nodes += 1;
        let ip = Ipv4Addr::new(127, self.second_octet, self.third_octet, self.nodes);
        ports::reserve_at(ip, &self.ports)
    }
}

impl ReservedAddresses {
    fn of(ports: Vec<ReservedPortPair>) -> Result<Self> {
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
