//! Specification and listening addresses of a node.

use std::net::Ipv4Addr;

use crate::prelude::*;

use super::ports::{self, ReservedPortPair};

const PORTS_PER_NODE: usize = 4;

/// Specification of a node.
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

/// Listening addresses of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddresses {
    /// Address of HTTP for callers.
    pub callers: SocketAddr,
    /// Address of HTTP/2 between nodes.
    pub peer: SocketAddr,
    /// Address of control messages, over UDP and TCP.
    pub control: SocketAddr,
    /// Address of HTTP for operators.
    pub operators: SocketAddr,
}

/// Addresses of a node with the reservations of their ports.
#[derive(Debug)]
pub struct ReservedAddresses {
    /// The addresses.
    pub addresses: NodeAddresses,
    /// Reservations of their ports, in the same order. Their UDP ports are released
    /// when the node is started.
    pub ports: Vec<ReservedPortPair>,
}

/// How listening addresses are assigned to the nodes of a fleet.
#[derive(Clone, Debug, Default)]
pub enum Addressing {
    /// All nodes listen on 127.0.0.1, each with its own ports.
    #[default]
    OneAddress,
    /// Each node listens on its own loopback address, and all on the same ports, for
    /// programs that derive the ports of other nodes from their own.
    AddressPerNode(LoopbackNet),
}

impl Addressing {
    /// Assigns an address per node from a random net, which no other fleet is likely
    /// to use.
    #[must_use]
    pub fn address_per_node() -> Self {
        Self::AddressPerNode(LoopbackNet {
            // Above the nets that tests use explicitly, and below the broadcast address.
            second_octet: rand::random_range(128..255),
            third_octet: rand::random(),
            ports: Vec::new(),
            nodes: 0,
        })
    }

    /// Reserves the ports of the next node.
    ///
    /// # Errors
    ///
    /// Fails when not enough ports are free.
    pub fn take(&mut self) -> Result<ReservedAddresses> {
        match self {
            Self::OneAddress => ReservedAddresses::of(ports::reserve(PORTS_PER_NODE)?),
            Self::AddressPerNode(net) => ReservedAddresses::of(net.take()?),
        }
    }
}

/// A net 127.a.b.0/24, from which each node gets an address.
#[derive(Clone, Debug)]
pub struct LoopbackNet {
    second_octet: u8,
    third_octet: u8,
    /// Ports of the first node, which all other nodes use too.
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
            bail!("expected {PORTS_PER_NODE} ports, got {}", ports.len());
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
