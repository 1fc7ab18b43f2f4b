//! An HTTP/1.1 server whose connections can be reset and whose port can be
//! closed and reopened at any time, to simulate a crashing process.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};

use futures_util::future::BoxFuture;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

use crate::prelude::*;

mod answers;
mod control;
mod requests;
mod stream;

pub use answers::{Answer, AnswerBody, BodyCut, json_answer, text_answer, whole_body};
pub use control::{CommandReceiver, ServerControl, control_channel};
pub use requests::{
    MAX_REQUEST_BYTES, header_number, header_text, query_value, read_body, read_json,
};

use control::Command;
use stream::ResettableStream;

const BIND_ATTEMPTS: u32 = 200;
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Returned by a handler to end the connection without an answer.
#[derive(Clone, Copy, Debug)]
pub struct DropConnection;

impl fmt::Display for DropConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was dropped on request")
    }
}

impl std::error::Error for DropConnection {}

/// The connection on which a request was received.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Address of the client.
    pub peer: SocketAddr,
    reset_on_drop: Arc<AtomicBool>,
}

impl Connection {
    /// Makes the connection end with a TCP reset instead of a graceful close.
    pub fn reset_when_dropped(&self) {
        self.reset_on_drop.store(true, Ordering::Relaxed);
    }
}

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request, or drops its connection.
    ///
    /// The future is dropped when the client closes the connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Connection,
    ) -> BoxFuture<'static, Result<Answer, DropConnection>>;
}

/// A running server, which stops when this value is dropped.
pub struct HttpServer {
    addr: SocketAddr,
    supervisor: AbortHandle,
}

impl HttpServer {
    /// Binds the address and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound within two seconds.
    pub async fn start(
        addr: SocketAddr,
        handler: Arc<dyn Handler>,
        end: CommandReceiver,
    ) -> Result<Self> {
        let listener = bind_with_retries(addr).await?;
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

    /// Returns the bound address.
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

/// Binds an address; retries for two seconds, because the previous owner of the
/// port may not have released it yet.
async fn bind_with_retries(addr: SocketAddr) -> Result<TcpListener> {
    let mut attempt = 0;
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return Ok(listener),
            Err(error) if attempt >= BIND_ATTEMPTS => {
                return Err(error).wrap_err_with(|| format!("cannot bind {addr}"));
            }
            Err(_) => sleep(BIND_RETRY_DELAY).await,
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
                        sleep(BIND_RETRY_DELAY).await;
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
        match bind_with_retries(self.addr).await {
            Ok(listener) => Some(listener),
            Err(error) => {
                log::error!("the stand-in cannot listen again: {error:#}");
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
        log::debug!("a connection failed: {error}");
    }
}
