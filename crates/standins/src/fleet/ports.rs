//! Reservation of free ports.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, UdpSocket};

use tokio::net::TcpSocket;

use crate::prelude::*;

const MAX_REJECTED: usize = 200;
/// Beyond this many issued addresses, the record is cleared; the oldest ones belong
/// to fleets that ended long ago.
const MAX_ISSUED: usize = 12_000;

/// Addresses that this process has issued.
static ISSUED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// A TCP port that is reserved for a program until this value is dropped, also while
/// the program listens on it and across restarts of the program.
///
/// Without the reservation, a port that was found free and written to a node's
/// settings can be taken before the node binds it: the kernel assigns it to a
/// connection of another test, or a process that is just being started holds a copy
/// of the listener until its `exec`. The node then exits with "address in use".
///
/// The socket of the reservation is bound with `SO_REUSEADDR` and never listens. A
/// listener that sets the same option, as every node does, can bind the port beside
/// this socket and its copies, and the kernel assigns the port to nobody else.
#[derive(Debug)]
pub struct ReservedPort {
    addr: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or is not an address of this machine.
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

    /// Returns the reserved address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// A port that is reserved for TCP until this value is dropped, and for UDP until
/// [`Self::release_udp`].
///
/// Until the program listens on it, connections to the port are refused.
#[derive(Debug)]
pub struct ReservedPortPair {
    tcp: ReservedPort,
    udp: Option<UdpSocket>,
}

impl ReservedPortPair {
    /// Reserves an address; port 0 selects a free port. Returns `None` if the port is
    /// in use for UDP.
    fn take(wanted: SocketAddr) -> Result<Option<Self>> {
        let tcp = ReservedPort::take(wanted)
            .wrap_err_with(|| format!("cannot reserve the TCP address {wanted}"))?;
        let Ok(udp) = UdpSocket::bind(tcp.addr()) else {
            return Ok(None);
        };
        let udp = Some(udp);
        Ok(Some(Self { tcp, udp }))
    }

    /// Returns the reserved address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.tcp.addr()
    }

    /// Releases the UDP port, so that the program can bind it. Two UDP sockets cannot
    /// share the port, so from now on another process can take it.
    pub fn release_udp(&mut self) {
        self.udp = None;
    }
}

/// Reserves loopback addresses that are free for both TCP and UDP.
///
/// Between the release of a UDP port and its binding by the node, another process can
/// take it; callers must handle that.
///
/// No address is issued twice. Otherwise two fleets that start at the same time
/// could get the same address: nodes of one fleet would send their heartbeats to a
/// node of the other, which would accept them as its peers because their VMs have
/// the same names.
///
/// # Errors
///
/// Fails when not enough ports are free.
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
            // Stays reserved until the end, or the kernel would assign it again.
            already_issued.push(port);
        }
    }
    bail!("cannot find {count} ports that are free for TCP and UDP");
}

/// Reserves the given ports on a loopback address.
///
/// # Errors
///
/// Fails when one of them is in use.
pub fn reserve_at(ip: Ipv4Addr, ports: &[u16]) -> Result<Vec<ReservedPortPair>> {
    let mut reserved = Vec::new();
    for port in ports {
        let wanted = SocketAddr::from((ip, *port));
        let port = ReservedPortPair::take(wanted)?;
        reserved.push(port.ok_or_else(|| eyre!("{wanted} is already bound for UDP"))?);
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
