//! Free ports from the kernel.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};

use crate::prelude::*;

const TRIES: usize = 200;

/// Finds loopback addresses that are free for both TCP and UDP.
///
/// All are held until the last is found, so that they differ; then they are
/// released. Another process can take one before it is used: whoever binds it
/// must be ready for that.
///
/// # Errors
///
/// Fails when the kernel has no more ports.
pub fn reserve(count: usize) -> Result<Vec<SocketAddr>> {
    let mut held = Vec::new();
    let mut addrs = Vec::new();
    for _ in 0..TRIES + count {
        if addrs.len() == count {
            return Ok(addrs);
        }
        let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).wrap_err("no TCP port")?;
        let addr = tcp.local_addr()?;
        let Ok(udp) = UdpSocket::bind(addr) else {
            continue;
        };
        held.push((tcp, udp));
        addrs.push(addr);
    }
    bail!("no {count} ports that are free for TCP and UDP");
}
