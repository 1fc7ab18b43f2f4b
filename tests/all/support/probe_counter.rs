//! A target that counts what reaches it, and answers as badly as it is told.

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

/// What becomes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionBehaviour {
    /// Requests are read and never answered.
    Silent,
    /// The connection is closed once a request has come.
    HangUp,
    /// The connection is closed at once.
    Flap,
    /// Health is answered well; the connection is closed once a call has come.
    BreakRuns,
}

#[derive(Default)]
struct Counts {
    connections: AtomicU64,
    probes: AtomicU64,
    calls: AtomicU64,
}

/// A running counter; it ends when this value is dropped.
pub struct ProbeCounter {
    addr: SocketAddr,
    counts: Arc<Counts>,
    accepting: AbortHandle,
}

impl ProbeCounter {
    /// Listens, and treats every connection alike.
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

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connections that it accepted.
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Ordering::Relaxed)
    }

    /// Requests to `/.health` and `/.load`.
    pub fn probes(&self) -> u64 {
        self.counts.probes.load(Ordering::Relaxed)
    }

    /// All other requests.
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
