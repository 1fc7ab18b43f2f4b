//! Pool of HTTP/2 connections to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::body::NodeBody;

/// With two connections, two traffic threads can serve the streams of one peer.
const CONNECTIONS_PER_PEER: usize = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(750);
/// A peer behind a network partition is detected after this interval plus the
/// ping timeout.
const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(2);
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Why a request to a peer got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request was sent; this is certain.
    NotSent(String),
    /// The request may have reached the peer.
    MaybeSent(String),
}

type Sender = http2::SendRequest<NodeBody>;

#[derive(Debug, Default)]
struct Slot {
    /// The lock is held while connecting, so that a burst of requests opens
    /// only one connection.
    sender: tokio::sync::Mutex<Option<Sender>>,
}

#[derive(Debug, Default)]
struct Peer {
    slots: [Slot; CONNECTIONS_PER_PEER],
    next_slot: AtomicUsize,
}

/// Connections by peer address.
#[derive(Debug, Default)]
pub struct PeerPool {
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

impl PeerPool {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The failure states whether the request may have reached the peer. Only a
    /// request that the HTTP library returns unsent counts as not sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<NodeBody>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let peer = self.peer(address);
        let next_slot = peer.next_slot.fetch_add(1, Ordering::Relaxed) % CONNECTIONS_PER_PEER;
        let slot = &peer.slots[next_slot];
        let mut sender = slot.ready(address).await?;
        let mut refused = match sender.try_send_request(request).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        // The connection ended before the request was written, so a retry on a
        // new connection cannot cause a second run.
        let Some(unsent) = refused.take_message() else {
            return Err(SendFailure::MaybeSent(refused.into_error().to_string()));
        };
        slot.clear().await;
        let mut sender = slot.ready(address).await?;
        let mut refused = match sender.try_send_request(unsent).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        let was_sent = refused.take_message().is_none();
        let reason = refused.into_error().to_string();
        if was_sent {
            return Err(SendFailure::MaybeSent(reason));
        }
        Err(SendFailure::NotSent(reason))
    }

    /// Drops connections to peers that are no longer known.
    pub fn retain(&self, known: impl Fn(&SocketAddr) -> bool) {
        self.peers.lock().retain(|address, _| known(address));
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.peers.lock();
        Arc::clone(peers.entry(address).or_default())
    }
}

impl Slot {
    async fn ready(&self, address: SocketAddr) -> Result<Sender, SendFailure> {
        let mut current = self.sender.lock().await;
        if let Some(sender) = current.as_ref()
            && !sender.is_closed()
        {
            return Ok(sender.clone());
        }
        let sender = connect(address).await?;
        *current = Some(sender.clone());
        Ok(sender)
    }

    async fn clear(&self) {
        *self.sender.lock().await = None;
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, SendFailure> {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(SendFailure::NotSent(format!("connect: {error}"))),
        Err(_) => return Err(SendFailure::NotSent("connect: timed out".to_owned())),
    };
    stream.set_nodelay(true).map_err(not_sent)?;
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true);
    let handshake = builder.handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(not_sent)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to peer {address} ended: {error}");
        }
    });
    Ok(sender)
}

fn not_sent(error: impl std::fmt::Display) -> SendFailure {
    SendFailure::NotSent(error.to_string())
}
