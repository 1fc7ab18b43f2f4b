//! Bulk messages between nodes: one request and one answer per TCP connection.
//!
//! A frame consists of its length as a big-endian `u32` and the message.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Context, Result, bail, eyre};
use hornbeamhitch_core::control::{ControlEvent, RequestId};
use hornbeamhitch_wire::control::MAX_BULK_BYTES;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};

use super::fleet_tag::FleetTag;

/// Time limit of one exchange, from connecting to the last byte.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept, for example for lack of file descriptors.
/// Without it the loop would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Limits on bulk transfers, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct BulkLimits {
    /// Maximum size of one message in either direction, in bytes.
    pub max_bytes: usize,
    /// The tag by which messages of other deployments are rejected.
    pub fleet: FleetTag,
    /// Maximum number of peers that are served concurrently; further ones wait.
    pub max_connections: usize,
}

impl BulkLimits {
    fn bytes(self) -> usize {
        self.max_bytes.min(MAX_BULK_BYTES)
    }
}

#[derive(Debug, Default)]
struct Pending {
    next: u64,
    answers: HashMap<RequestId, oneshot::Sender<Vec<u8>>>,
}

/// Serves peers' bulk requests.
#[derive(Debug)]
pub(super) struct BulkServer {
    events: mpsc::Sender<ControlEvent>,
    pending: Mutex<Pending>,
    permits: Arc<Semaphore>,
    limits: BulkLimits,
}

impl BulkServer {
    pub(super) fn new(events: mpsc::Sender<ControlEvent>, limits: BulkLimits) -> Arc<Self> {
        Arc::new(Self {
            events,
            pending: Mutex::default(),
            permits: Arc::new(Semaphore::new(limits.max_connections)),
            limits,
        })
    }

    /// Accepts peers until the process ends.
    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let permit = Arc::clone(&self.permits).acquire_owned().await;
            let permit = permit.expect("the semaphore is never closed");
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("cannot accept a bulk connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let server = Arc::clone(&self);
            tokio::task::spawn_local(async move {
                let served = tokio::time::timeout(EXCHANGE_TIMEOUT, server.serve(stream)).await;
                if let Ok(Err(error)) = served {
                    log::debug!("cannot serve a bulk request: {error:#}");
                }
                drop(permit);
            });
        }
    }

    /// Sends the core's answer to the connection that waits for it.
    pub(super) fn answer(&self, request: RequestId, message: Vec<u8>) {
        if let Some(waiting) = self.pending.lock().answers.remove(&request) {
            // A peer that has disconnected meanwhile repeats its request.
            let _ = waiting.send(message);
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> Result<()> {
        let message = read_frame(&mut stream, self.limits).await?;
        let (request, answer) = self.register();
        let event = ControlEvent::BulkRequested { request, message };
        let sent = self.events.send(event).await;
        let answered = match sent {
            Ok(()) => tokio::time::timeout(EXCHANGE_TIMEOUT, answer).await,
            Err(_) => bail!("the control thread has ended"),
        };
        self.pending.lock().answers.remove(&request);
        let message = answered
            .wrap_err("the core did not answer in time")?
            .wrap_err("the core dropped the request")?;
        write_frame(&mut stream, &message, self.limits).await
    }

    fn register(&self) -> (RequestId, oneshot::Receiver<Vec<u8>>) {
        let (sender, answer) = oneshot::channel();
        let mut pending = self.pending.lock();
        pending.next += 1;
        let request = RequestId(pending.next);
        pending.answers.insert(request, sender);
        (request, answer)
    }
}

/// Sends a request to a peer. The answer or the failure is delivered as an
/// event.
pub(super) fn request(
    peer: SocketAddr,
    message: Vec<u8>,
    limits: BulkLimits,
    events: mpsc::Sender<ControlEvent>,
) {
    tokio::task::spawn_local(async move {
        let exchange =
            tokio::time::timeout(EXCHANGE_TIMEOUT, exchange(peer, &message, limits)).await;
        let event = match exchange {
            Ok(Ok(message)) => ControlEvent::BulkAnswered { peer, message },
            Ok(Err(error)) => {
                log::debug!("bulk request to {peer} failed: {error:#}");
                ControlEvent::BulkFailed { peer }
            }
            Err(_) => ControlEvent::BulkFailed { peer },
        };
        let _ = events.send(event).await;
    });
}

async fn exchange(peer: SocketAddr, message: &[u8], limits: BulkLimits) -> Result<Vec<u8>> {
    let mut stream = TcpStream::connect(peer).await.wrap_err("cannot connect")?;
    write_frame(&mut stream, message, limits).await?;
    read_frame(&mut stream, limits).await
}

async fn read_frame(stream: &mut TcpStream, limits: BulkLimits) -> Result<Vec<u8>> {
    let limit = limits.bytes();
    let length = stream.read_u32().await.wrap_err("no frame was received")?;
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > limit {
        bail!("a frame of {length} bytes exceeds the limit of {limit}");
    }
    // The buffer grows as bytes arrive, so that a false length does not reserve
    // memory.
    let mut message = Vec::new();
    let limit = u64::try_from(length).unwrap_or(u64::MAX);
    stream.take(limit).read_to_end(&mut message).await?;
    if message.len() != length {
        bail!("a frame of {length} bytes ended after {}", message.len());
    }
    let own = limits.fleet.strip(&message);
    let own = own.ok_or_else(|| eyre!("a message of another deployment"))?;
    Ok(own.to_vec())
}

async fn write_frame(stream: &mut TcpStream, message: &[u8], limits: BulkLimits) -> Result<()> {
    let message = limits.fleet.prepend(message);
    let length = u32::try_from(message.len()).wrap_err("the message is too long for a frame")?;
    stream.write_u32(length).await?;
    stream.write_all(&message).await?;
    stream.flush().await?;
    Ok(())
}
