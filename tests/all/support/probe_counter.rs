//! A faulty target that counts the connections and requests that reach it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use super::loopback;

const HEAD_END: &[u8] = b"\r\n\r\n";
const HEALTH: &[u8] = b"GET /.health ";
const LOAD: &[u8] = b"GET /.load ";

/// How the target treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionBehaviour {
    /// It reads requests and never answers them.
    Silent,
    /// It closes the connection after the first request.
    HangUp,
    /// It closes the connection immediately.
    Flap,
    /// It answers probes with status 200 and closes the connection on a call.
    BreakRuns,
}

#[derive(Default)]
struct Counts {
    connections: AtomicU64,
    probes: AtomicU64,
    calls: AtomicU64,
}

/// A running target. It stops accepting connections when it is dropped.
pub struct ProbeCounter {
    addr: SocketAddr,
    counts: Arc<Counts>,
    accepting: AbortHandle,
}

impl ProbeCounter {
    /// Starts a target that treats every connection in the same way.
    pub async fn start(behaviour: ConnectionBehaviour) -> Result<Self> {
        let listener = TcpListener::bind(loopback()).await?;
        let addr = listener.local_addr()?;
        let counts = Arc::new(Counts::default());
        let accepting = tokio::spawn(accept(listener, behaviour, Arc::clone(&counts)));
        Ok(Self {
            addr,
            counts,
            accepting: accepting.abort_handle(),
        })
    }

    /// Address at which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of accepted connections.
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Ordering::Relaxed)
    }

    /// Number of requests to `/.health` and `/.load`.
    pub fn probes(&self) -> u64 {
        self.counts.probes.load(Ordering::Relaxed)
    }

    /// Number of all other requests.
    pub fn calls(&self) -> u64 {
        self.counts.calls.load(Ordering::Relaxed)
    }
}

impl Drop for ProbeCounter {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, behaviour: ConnectionBehaviour, counts: Arc<Counts>) {
    while let Ok((stream, _)) = listener.accept().await {
        counts.connections.fetch_add(1, Ordering::Relaxed);
        if behaviour != ConnectionBehaviour::Flap {
            tokio::spawn(serve(stream, behaviour, Arc::clone(&counts)));
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    behaviour: ConnectionBehaviour,
    counts: Arc<Counts>,
) -> Result<()> {
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await? > 0 {
        if !received
            .windows(HEAD_END.len())
            .any(|part| part == HEAD_END)
        {
            continue;
        }
        let is_probe = received.starts_with(HEALTH) || received.starts_with(LOAD);
        let counter = if is_probe {
            &counts.probes
        } else {
            &counts.calls
        };
        counter.fetch_add(1, Ordering::Relaxed);
        received.clear();
        match behaviour {
            ConnectionBehaviour::Silent => {}
            ConnectionBehaviour::BreakRuns if is_probe => {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(answer).await?;
            }
            _ => return Ok(()),
        }
    }
    Ok(())
}
