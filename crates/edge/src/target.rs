//! HTTP/1.1 connections to this VM's target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::http1::{self, Encoded, Framing, HttpReader, ReadFault, ResponseHead};
use crate::prelude::*;
use crate::resources::{ChargedBody, Patience, Resources};
use crate::sockets::{self, PeerKind};

/// Limit on connecting to the target.
///
/// The target runs on the same VM, so connecting takes microseconds unless the
/// target's accept queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// How long an answer waits for memory. The target waits meanwhile, since nothing more is
/// read from its connection.
const MEMORY_PATIENCE: Patience = Patience::Until(Duration::from_secs(2));
/// Idle timeout of a connection when the target does not state one.
const DEFAULT_IDLE_MS: Millis = Millis(4_000);
/// Share of the target's keep-alive timeout during which a connection is reused.
/// Near the end of the timeout, a request could cross with the target's close.
const IDLE_TIMEOUT_PERCENT: u64 = 70;
/// Limit on the idle time of a connection that a non-idempotent request uses.
///
/// A target may drop an idle connection without notice. The next request on it is
/// reset, and a payment would end with an unknown outcome although nothing ran. A
/// new connection costs the target about a millisecond.
const MAX_IDLE_NON_IDEMPOTENT_MS: Millis = Millis(250);
/// Limit on answers to other requests that are skipped before the expected one.
const MAX_MISMATCHED_ANSWERS: u32 = 3;

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFault {
    /// No connection could be opened in time. Nothing was sent.
    Unreachable,
    /// Nothing listens at the target's address. Nothing was sent.
    Refused,
    /// The request was sent at least in part, but no valid answer arrived.
    Broken(&'static str),
}

/// An encoded request and the values that its answer is matched by.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Method.
    pub method: String,
    /// Id that the answer must echo, or `None` for a health check.
    pub request_id: Option<String>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Encoded head and body.
    pub encoded: Encoded,
}

/// A complete answer of the target.
#[derive(Clone, Debug)]
pub struct TargetAnswer {
    /// The head as received.
    pub head: ResponseHead,
    /// The whole body.
    pub body: Bytes,
}

#[derive(Debug)]
struct Connection {
    reader: HttpReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Millis,
    until: Millis,
}

/// Client with a pool of connections to the one target of this VM.
#[derive(Debug)]
pub struct TargetClient {
    address: SocketAddr,
    dialect: Arc<dyn Dialect>,
    clock: ProcessClock,
    resources: Arc<Resources>,
    idle: Mutex<Vec<IdleConnection>>,
}

impl TargetClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        dialect: Arc<dyn Dialect>,
        clock: ProcessClock,
        resources: Arc<Resources>,
    ) -> Self {
        Self {
            address,
            dialect,
            clock,
            resources,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Returns what the process holds for its peers.
    #[must_use]
    pub const fn resources(&self) -> &Arc<Resources> {
        &self.resources
    }

    /// Sends a request and reads the whole answer. Calls `on_sent` when the request was
    /// written, or can no longer be.
    ///
    /// Dropping the future closes the connection, which stops the target's work on
    /// the request.
    ///
    /// # Errors
    ///
    /// No answer was received; the fault says whether anything was sent.
    pub async fn exchange(
        &self,
        exchange: &Exchange,
        on_sent: impl FnOnce(),
    ) -> Result<TargetAnswer, ExchangeFault> {
        let mut connection = match self.take_idle(exchange.is_idempotent) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let (answer, is_reusable) = connection.exchange(exchange, self, on_sent).await?;
        if is_reusable {
            self.release(connection, &answer.head);
        }
        Ok(answer)
    }

    /// Whether the target accepts a connection now. The connection is pooled for the
    /// next request, where it replaces the broken one.
    pub async fn accepts_connections(&self) -> bool {
        match self.connect().await {
            Ok(connection) => {
                self.add_idle(connection, DEFAULT_IDLE_MS);
                true
            }
            Err(_) => false,
        }
    }

    /// Closes the idle connections, for use when they lead to an earlier incarnation
    /// of the target.
    pub fn close_idle(&self) {
        self.idle.lock().clear();
    }

    /// Takes the most recently used idle connection, so that surplus ones expire.
    fn take_idle(&self, is_idempotent: bool) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        idle.retain(|pooled| now < pooled.until);
        let newest = idle.last()?;
        if !is_idempotent && now.since(newest.since) > MAX_IDLE_NON_IDEMPOTENT_MS {
            return None;
        }
        while let Some(pooled) = idle.pop() {
            if pooled.connection.is_idle() {
                return Some(pooled.connection);
            }
        }
        None
    }

    fn release(&self, connection: Connection, head: &ResponseHead) {
        let idle_ms = match keep_alive_timeout(head) {
            Some(timeout) => Millis(timeout.0 * IDLE_TIMEOUT_PERCENT / 100),
            None => DEFAULT_IDLE_MS,
        };
        self.add_idle(connection, idle_ms);
    }

    fn add_idle(&self, connection: Connection, idle_ms: Millis) {
        let since = self.clock.now();
        self.idle.lock().push(IdleConnection {
            connection,
            since,
            until: since + idle_ms,
        });
    }

    async fn connect(&self) -> Result<Connection, ExchangeFault> {
        match sockets::connect(self.address, PeerKind::Client, CONNECT_TIMEOUT).await {
            Ok(stream) => {
                let (reader, writer) = stream.into_split();
                Ok(Connection {
                    reader: HttpReader::new(reader),
                    writer,
                })
            }
            Err(error) => {
                log::debug!("the target cannot be reached: {error}");
                match error.kind() {
                    std::io::ErrorKind::ConnectionRefused => Err(ExchangeFault::Refused),
                    _ => Err(ExchangeFault::Unreachable),
                }
            }
        }
    }
}

impl Connection {
    fn is_idle(&self) -> bool {
        !self.reader.has_buffered_bytes() && sockets::is_idle(self.reader.get_ref().as_ref())
    }

    /// Returns the answer and whether the connection can be reused.
    ///
    /// A target may answer before it has read a long body. The answer is used, but
    /// the rest of the body is still unsent, so the connection is not reused.
    async fn exchange(
        &mut self,
        exchange: &Exchange,
        client: &TargetClient,
        on_sent: impl FnOnce(),
    ) -> Result<(TargetAnswer, bool), ExchangeFault> {
        let (answer, framing, is_request_written) =
            self.write_and_read(exchange, client, on_sent).await?;
        let is_reusable = is_request_written
            && framing != Framing::UntilClose
            && answer.head.keeps_connection()
            && self.is_idle();
        Ok((answer, is_reusable))
    }

    /// Returns the answer, its framing, and whether the whole request was written
    /// before the answer was complete.
    async fn write_and_read(
        &mut self,
        exchange: &Exchange,
        client: &TargetClient,
        on_sent: impl FnOnce(),
    ) -> Result<(TargetAnswer, Framing, bool), ExchangeFault> {
        let Self { reader, writer } = self;
        let mut on_sent = Some(on_sent);
        let mut encoded = exchange.encoded.clone().into_buf();
        let mut writing = std::pin::pin!(writer.write_all_buf(&mut encoded));
        let mut reading = std::pin::pin!(read_answer(reader, exchange, client));
        let mut written = None;
        loop {
            tokio::select! {
                biased;
                result = &mut writing, if written.is_none() => {
                    if let Some(on_sent) = on_sent.take() {
                        on_sent();
                    }
                    // When writing fails, the target may have answered early.
                    if let Err(error) = &result {
                        log::debug!("writing to the target failed: {error}");
                    }
                    written = Some(result.is_ok());
                }
                read = &mut reading => {
                    let (answer, framing) = read?;
                    let is_request_written = written == Some(true);
                    // The kernel reports a reset once. If a write gets it, the read that
                    // follows sees a plain end of the connection.
                    if framing == Framing::UntilClose && !is_request_written {
                        return Err(ExchangeFault::Broken(
                            "the connection ended before the request was written",
                        ));
                    }
                    return Ok((answer, framing, is_request_written));
                }
            }
        }
    }
}

/// Reads the answer to this request.
///
/// On a reused connection, a late duplicate answer to an earlier request may arrive
/// first. It is recognised by its request id and skipped. Answers are read whole, so that
/// a truncated one is never forwarded.
async fn read_answer(
    reader: &mut HttpReader<OwnedReadHalf>,
    exchange: &Exchange,
    client: &TargetClient,
) -> Result<(TargetAnswer, Framing), ExchangeFault> {
    for _ in 0..=MAX_MISMATCHED_ANSWERS {
        let head = reader
            .response_head(MAX_HEAD_BYTES)
            .await
            .map_err(to_exchange_fault)?;
        let framing = head
            .framing(&exchange.method)
            .map_err(|_| ExchangeFault::Broken("the framing of the answer is ambiguous"))?;
        let memory = ChargedBody::new(&client.resources, MEMORY_PATIENCE);
        let body = reader.body_within(framing, u64::MAX, memory).await;
        let body = body.map_err(to_exchange_fault)?;
        let echoed = http1::field(&head.fields, client.dialect.names().request_id);
        let is_mismatched = match (&exchange.request_id, echoed) {
            (Some(expected), Some(echoed)) => expected != echoed,
            (Some(_), None) => is_success(head.status),
            (None, echoed) => echoed.is_some(),
        };
        if !is_mismatched {
            return Ok((TargetAnswer { head, body }, framing));
        }
        log::warn!("skipped an answer to another request");
    }
    Err(ExchangeFault::Broken("only answers to other requests"))
}

/// Whether a status code is in the 2xx range.
#[must_use]
pub const fn is_success(status: u16) -> bool {
    status >= 200 && status < 300
}

/// Whether a status code is 500 or higher.
#[must_use]
pub const fn is_server_error(status: u16) -> bool {
    status >= 500
}

fn to_exchange_fault(fault: ReadFault) -> ExchangeFault {
    ExchangeFault::Broken(match fault {
        ReadFault::Closed => "the connection was closed without an answer",
        ReadFault::Truncated => "the connection was closed within the answer",
        ReadFault::Head(_) => "the answer is not valid HTTP/1",
        ReadFault::BodyTooLarge | ReadFault::NoRoom => "no memory is left for the answer",
        ReadFault::Io(_) => "the connection failed",
    })
}

/// The timeout of a `Keep-Alive: timeout=N` header field.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Millis> {
    let value = http1::field(&head.fields, "keep-alive")?;
    for part in value.split(',') {
        let Some((name, seconds)) = part.split_once('=') else {
            continue;
        };
        if name.trim().eq_ignore_ascii_case("timeout") {
            return seconds.trim().parse().ok().map(Millis::from_secs);
        }
    }
    None
}
