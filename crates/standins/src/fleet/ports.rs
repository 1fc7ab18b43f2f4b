//! Free ports from the kernel.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, UdpSocket};

use tokio::net::TcpSocket;

use crate::prelude::*;

const MAX_REJECTED: usize = 200;
/// Beyond this many, ports of fleets that have long ended are handed out again.
const MAX_ISSUED: usize = 12_000;

/// Addresses that this process has handed out.
static ISSUED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// A TCP port that is kept for a program until this value is dropped, also while the
/// program listens there, and between two of its lives.
///
/// Failure answered: a port is found free, let go, and named in a node's settings.
/// Before the node binds it, a connection of another test is given it, or a process
/// that is just being started holds a copy of the listener until it has replaced
/// itself. The node ends with "address in use", and its test waits in vain. This
/// socket is bound with `SO_REUSEADDR` and never listens: so a listener that sets the
/// option too, as every node does, may bind beside it and its copies, and the kernel
/// offers the port to nobody.
#[derive(Debug)]
pub struct ReservedPort {
    addr: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves an address, with any port where that is 0.
    ///
    /// # Errors
    ///
    /// Fails when it is taken, or not this VM's.
    pub fn take(wanted: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(wanted)?;
        let addr = socket.local_addr()?;
        Ok(Self {
            addr,
            _socket: socket,
        })
    }

    /// The address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// A port that is kept from everybody else, for TCP until this value is dropped and
/// for UDP until its program starts.
///
/// Nothing listens on it meanwhile: connections to it are refused.
#[derive(Debug)]
pub struct ReservedPortPair {
    tcp: ReservedPort,
    udp: Option<UdpSocket>,
}

impl ReservedPortPair {
    /// Holds an address, with any port where that is 0; `None` when the port that
    /// was found is taken for UDP.
    fn take(wanted: SocketAddr) -> Result<Option<Self>> {
        let tcp =
            ReservedPort::take(wanted).wrap_err_with(|| format!("no TCP port at {wanted}"))?;
        let Ok(udp) = UdpSocket::bind(tcp.addr()) else {
            return Ok(None);
        };
        let udp = Some(udp);
        Ok(Some(Self { tcp, udp }))
    }

    /// The address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.tcp.addr()
    }

    /// Lets its program bind the port. A UDP socket stands beside no other, so from
    /// now on another process can take that.
    pub fn release_udp(&mut self) {
        self.udp = None;
    }
}

/// Finds loopback addresses that are free for both TCP and UDP, and holds them.
///
/// Between the end of the hold for UDP and the node's own binding another process can
/// take one: whoever binds it must be ready for that.
///
/// No address is handed out twice. Otherwise two fleets that start at the same
/// time could get the same one: nodes of the one, told of it by their VM list,
/// would send their heartbeats to a node of the other, which would take the
/// strangers, whose VMs have the same names, for its own peers.
///
/// # Errors
///
/// Fails when the kernel has no more ports.
pub fn reserve(count: usize) -> Result<Vec<ReservedPortPair>> {
    let mut already_issued = Vec::new();
    let mut reserved = Vec::new();
    for _ in 0..MAX_REJECTED + count {
        if reserved.len() == count {
            return Ok(reserved);
        }
        let Some(port) = ReservedPortPair::take((Ipv4Addr::LOCALHOST, 0).into())? else {
            continue;
        };
        if is_new(port.addr()) {
            reserved.push(port);
        } else {
            // Held as well, or the kernel would offer it again.
            already_issued.push(port);
        }
    }
    bail!("no {count} ports that are free for TCP and UDP");
}

/// Holds the given ports of a loopback address.
///
/// # Errors
///
/// Fails when one of them is taken.
pub fn reserve_at(ip: Ipv4Addr, ports: &[u16]) -> Result<Vec<ReservedPortPair>> {
    let mut reserved = Vec::new();
    for port in ports {
        let wanted = SocketAddr::from((ip, *port));
        let port = ReservedPortPair::take(wanted)?;
        reserved.push(port.ok_or_else(|| eyre!("{wanted} is taken for UDP"))?);
    }
    Ok(reserved)
}

fn is_new(addr: SocketAddr) -> bool {
    let mut issued = ISSUED.lock();
    if issued.len() >= MAX_ISSUED {
        issued.clear();
    }
    issued.insert(addr)
}
