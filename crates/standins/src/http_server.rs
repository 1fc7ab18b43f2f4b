//! An HTTP/1.1 server whose connections can be reset and whose port can be
//! closed and reopened at any moment, as a crashing process does.

use std::collections::HashMap;
use std::convert::Infallible;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};

use futures_util::future::BoxFuture;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::prelude::*;

mod stream;

use stream::ResettableStream;

/// A body in the making can fail, which cuts the answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyCut>;

/// A whole answer.
pub type Answer = Response<AnswerBody>;

/// Largest request body that a stand-in takes, in bytes.
pub const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

const BIND_ATTEMPTS: u32 = 200;
const BIND_PAUSE: Duration = Duration::from_millis(10);
const COMMAND_BOUND: Duration = Duration::from_secs(5);
const COMMANDS: usize = 16;

/// The reason for which an answer ends before its end.
#[derive(Clone, Copy, Debug)]
pub struct BodyCut;

impl fmt::Display for BodyCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was cut on command")
    }
}

impl std::error::Error for BodyCut {}

/// A handler's wish to end the connection without an answer.
#[derive(Clone, Copy, Debug)]
pub struct DropConnection;

impl fmt::Display for DropConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was dropped on command")
    }
}

impl std::error::Error for DropConnection {}

/// The connection on which a request came.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Address of the client.
    pub peer: SocketAddr,
    reset_on_drop: Arc<AtomicBool>,
}

impl Connection {
    /// Makes the connection end with a TCP reset instead of an orderly close.
    pub fn reset_when_dropped(&self) {
        self.reset_on_drop.store(true, Ordering::Relaxed);
    }
}

/// What a server does with its requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request, or drops its connection.
    ///
    /// The future is dropped when the client closes the connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Connection,
    ) -> BoxFuture<'static, Result<Answer, DropConnection>>;
}

enum Command {
    Reset {
        down: Duration,
        done: oneshot::Sender<()>,
    },
    Close {
        done: oneshot::Sender<()>,
    },
    Open,
    Stop {
        done: oneshot::Sender<()>,
    },
}

/// Lets handlers and owners crash, close and stop the server.
#[derive(Clone)]
pub struct ServerControl {
    commands: mpsc::Sender<Command>,
}

impl ServerControl {
    /// Resets all connections at once and listens again after `down`.
    ///
    /// Returns when the connections are gone. A handler must not wait for it,
    /// because its own future ends with its connection.
    pub async fn crash(&self, down: Duration) {
        self.command(|done| Command::Reset { down, done }).await;
    }

    /// Resets all connections and refuses new ones.
    pub async fn close(&self) {
        self.command(|done| Command::Close { done }).await;
    }

    /// Listens again on the same port.
    pub async fn open(&self) {
        let _ = self.commands.send(Command::Open).await;
    }

    /// Resets all connections and frees the port.
    pub async fn stop(&self) {
        self.command(|done| Command::Stop { done }).await;
    }

    async fn command(&self, command: impl FnOnce(oneshot::Sender<()>) -> Command) {
        let (done, obeyed) = oneshot::channel();
        if self.commands.send(command(done)).await.is_err() {
            return;
        }
        let _ = timeout(COMMAND_BOUND, obeyed).await;
    }
}

/// A control and the end to hand to [`HttpServer::start`].
#[must_use]
pub fn control() -> (ServerControl, ControlEnd) {
    let (commands, receiver) = mpsc::channel(COMMANDS);
    (ServerControl { commands }, ControlEnd(receiver))
}

/// Receives what a [`ServerControl`] commands.
pub struct ControlEnd(mpsc::Receiver<Command>);

/// A running server; it ends when this value is dropped.
pub struct HttpServer {
    addr: SocketAddr,
    supervisor: AbortHandle,
}

impl HttpServer {
    /// Binds and serves.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound within two seconds.
    pub async fn start(
        addr: SocketAddr,
        handler: Arc<dyn Handler>,
        end: ControlEnd,
    ) -> Result<Self> {
        let listener = bind_with_patience(addr).await?;
        let addr = listener.local_addr().wrap_err("no local address")?;
        let supervisor = Supervisor {
            addr,
            handler,
            commands: end.0,
            connections: JoinSet::new(),
            resets: HashMap::new(),
        };
        let task = tokio::spawn(supervisor.run(listener));
        Ok(Self {
            addr,
            supervisor: task.abort_handle(),
        })
    }

    /// The address that was bound.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.supervisor.abort();
    }
}

/// Binds, waiting for a port that its last owner has not quite freed.
async fn bind_with_patience(addr: SocketAddr) -> Result<TcpListener> {
    let mut attempt = 0;
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return Ok(listener),
            Err(error) if attempt >= BIND_ATTEMPTS => {
                return Err(error).wrap_err_with(|| format!("cannot bind {addr}"));
            }
            Err(_) => sleep(BIND_PAUSE).await,
        }
        attempt += 1;
    }
}

struct Supervisor {
    addr: SocketAddr,
    handler: Arc<dyn Handler>,
    commands: mpsc::Receiver<Command>,
    connections: JoinSet<()>,
    resets: HashMap<tokio::task::Id, Arc<AtomicBool>>,
}

impl Supervisor {
    async fn run(mut self, first: TcpListener) {
        let mut listener = Some(first);
        let mut reopen_at = None;
        loop {
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(Command::Reset { down, done }) => {
                        drop(listener.take());
                        self.reset_all().await;
                        let _ = done.send(());
                        reopen_at = Some(Instant::now() + down);
                    }
                    Some(Command::Close { done }) => {
                        drop(listener.take());
                        self.reset_all().await;
                        let _ = done.send(());
                        reopen_at = None;
                    }
                    Some(Command::Open) => {
                        reopen_at = None;
                        if listener.is_none() {
                            listener = self.reopen().await;
                        }
                    }
                    Some(Command::Stop { done }) => {
                        drop(listener.take());
                        self.reset_all().await;
                        let _ = done.send(());
                        return;
                    }
                    None => return,
                },
                () = sleep_until(reopen_at.unwrap_or_else(Instant::now)), if reopen_at.is_some() => {
                    reopen_at = None;
                    listener = self.reopen().await;
                }
                accepted = accept(listener.as_ref()) => {
                    let Ok((stream, peer)) = accepted else {
                        sleep(BIND_PAUSE).await;
                        continue;
                    };
                    self.serve(stream, peer);
                }
                Some(ended) = self.connections.join_next_with_id() => {
                    let id = match ended {
                        Ok((id, ())) => id,
                        Err(error) => error.id(),
                    };
                    self.resets.remove(&id);
                }
            }
        }
    }

    async fn reopen(&self) -> Option<TcpListener> {
        match bind_with_patience(self.addr).await {
            Ok(listener) => Some(listener),
            Err(error) => {
                log::error!("stand-in cannot listen again: {error:#}");
                None
            }
        }
    }

    async fn reset_all(&mut self) {
        for flag in self.resets.values() {
            flag.store(true, Ordering::Relaxed);
        }
        self.connections.shutdown().await;
        self.resets.clear();
    }

    fn serve(&mut self, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let flag = Arc::new(AtomicBool::new(false));
        let connection = Connection {
            peer,
            reset_on_drop: Arc::clone(&flag),
        };
        let stream = ResettableStream::new(stream, Arc::clone(&flag));
        let handler = Arc::clone(&self.handler);
        let task = self
            .connections
            .spawn(serve_connection(stream, handler, connection));
        self.resets.insert(task.id(), flag);
    }
}

async fn accept(listener: Option<&TcpListener>) -> std::io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

async fn serve_connection(
    stream: ResettableStream,
    handler: Arc<dyn Handler>,
    connection: Connection,
) {
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        handler.handle(request, connection.clone())
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection ended: {error}");
    }
}

/// An answer with a text body.
#[must_use]
pub fn text_answer(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(whole_body(text.into()));
    *answer.status_mut() = status;
    answer
}

/// An answer with a JSON body.
#[must_use]
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let text = serde_json::to_vec(value).expect("stand-ins answer with plain data");
    let mut answer = text_answer(status, text);
    let json = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    answer
}

/// A body that is sent whole.
#[must_use]
pub fn whole_body(bytes: Bytes) -> AnswerBody {
    let never = |error: Infallible| match error {};
    UnsyncBoxBody::new(Full::new(bytes).map_err(never))
}

/// Reads a whole request body.
///
/// # Errors
///
/// Fails when the body is cut or exceeds [`MAX_REQUEST_BYTES`].
pub async fn read_body(body: Incoming) -> Result<Bytes> {
    let limited = Limited::new(body, MAX_REQUEST_BYTES);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(eyre!("request body: {error}")),
    }
}

/// Reads a JSON request body.
///
/// # Errors
///
/// Fails when the body is cut, too long, or not of the wanted form.
pub async fn read_json<T: for<'a> Deserialize<'a>>(body: Incoming) -> Result<T> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).wrap_err("request body is not of the wanted form")
}

/// The value of a query parameter, as it stands in the URL.
#[must_use]
pub fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    for pair in query.unwrap_or_default().split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return Some(value);
        }
    }
    None
}

/// A header's value, when it is readable text.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A header's value as a number.
#[must_use]
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).and_then(|value| value.trim().parse().ok())
}
