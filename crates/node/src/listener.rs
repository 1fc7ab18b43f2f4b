//! Listening sockets and the HTTP servers on them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use eyre::{Context, Result};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};

use crate::body::NodeBody;

const BACKLOG: i32 = 1_024;
/// Delay after a failed accept, for example for lack of file descriptors.
/// Without it the loop would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A graceful HTTP/2 shutdown waits for the peer's answer to a ping. A frozen
/// or partitioned peer never answers, and the node would hang in its drain
/// without any work left. Its connection is closed after the interval plus the
/// timeout.
const PING_INTERVAL: Duration = Duration::from_secs(3);
const PING_TIMEOUT: Duration = Duration::from_secs(3);
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of concurrent connections; further ones wait in the
    /// backlog.
    pub max_connections: usize,
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum number of headers of an HTTP/1.1 request.
    pub header_count: usize,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Maximum number of concurrent HTTP/2 streams per connection.
    pub max_streams: u32,
}

/// Binds a listening socket such that a restarted process can bind its address
/// again at once.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this VM.
pub fn bind_std(address: SocketAddr) -> Result<std::net::TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // Without this option, connections of the previous process in TIME_WAIT
    // would keep a restarted node from binding its own address for a minute.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket
        .bind(&address.into())
        .wrap_err_with(|| format!("cannot bind {address}"))?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl HttpServer {
    /// Serves HTTP/1.1 and HTTP/2 on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be registered with the runtime.
    pub fn start<S, F>(
        listener: std::net::TcpListener,
        limits: ServerLimits,
        serve: S,
    ) -> Result<Self>
    where
        S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<Response<NodeBody>, Infallible>> + Send + 'static,
    {
        let listener = TcpListener::from_std(listener)?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, limits, serve, stopped));
        Ok(Self { stop, task })
    }

    /// Stops accepting connections, closes each connection once its requests in
    /// flight are finished, and waits until all are closed.
    pub async fn shut_down(self) {
        let _ = self.stop.send(true);
        if let Err(error) = self.task.await {
            log::error!("a server task failed: {error}");
        }
    }
}

async fn accept<S, F>(
    listener: TcpListener,
    limits: ServerLimits,
    serve: S,
    mut stopped: watch::Receiver<bool>,
) where
    S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<NodeBody>, Infallible>> + Send + 'static,
{
    let builder = Arc::new(builder(&limits));
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    // Every connection holds a sender, so the receiver ends when the last
    // connection is closed.
    let (open, mut all_closed) = mpsc::channel::<Infallible>(1);
    loop {
        let accepting = async {
            let permit = Arc::clone(&permits).acquire_owned().await;
            let permit = permit.expect("the semaphore is never closed");
            (listener.accept().await, permit)
        };
        // Connections in the backlog are still accepted when the server stops:
        // closing the listener would reset callers that have already connected
        // and sent a request. `biased` gives accepting priority.
        let (accepted, permit) = tokio::select! {
            biased;
            accepted = accepting => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let connection = Connection {
            builder: Arc::clone(&builder),
            idle_timeout: limits.idle_timeout,
            stopped: stopped.clone(),
            activity: Arc::new(Activity::default()),
        };
        let serve = serve.clone();
        let open = open.clone();
        tokio::spawn(async move {
            connection.run(stream, serve).await;
            drop((permit, open));
        });
    }
    drop((listener, open));
    let _ = all_closed.recv().await;
}

/// Request counters of one connection.
#[derive(Debug, Default)]
struct Activity {
    in_flight: AtomicUsize,
    served: AtomicU64,
}

impl Activity {
    fn is_idle_since(&self, served_before: u64) -> bool {
        let served = self.served.load(Ordering::Acquire);
        served == served_before && self.in_flight.load(Ordering::Acquire) == 0
    }
}

/// Guard that counts a request as in flight until it is dropped.
struct InFlight(Arc<Activity>);

impl InFlight {
    fn enter(activity: &Arc<Activity>) -> Self {
        activity.in_flight.fetch_add(1, Ordering::AcqRel);
        activity.served.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(activity))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves one connection from its first byte to its last.
struct Connection {
    builder: Arc<auto::Builder<TokioExecutor>>,
    idle_timeout: Duration,
    stopped: watch::Receiver<bool>,
    activity: Arc<Activity>,
}

impl Connection {
    /// Serves until the peer closes the connection, the connection is idle for
    /// too long, or the server stops. In the last two cases the connection is
    /// shut down gracefully: requests in flight are finished, and the peer is
    /// asked to send no more.
    async fn run<S, F>(self, stream: TcpStream, serve: S)
    where
        S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<Response<NodeBody>, Infallible>> + Send + 'static,
    {
        let mut stopped = self.stopped;
        let activity = Arc::clone(&self.activity);
        let service = service_fn(move |request| {
            let in_flight = InFlight::enter(&activity);
            // The future of a call takes several kilobytes. Boxing it avoids
            // copying it each time a future around it is moved.
            let serving = Box::pin(serve(request));
            async move {
                let response = serving.await;
                drop(in_flight);
                response
            }
        });
        let builder = Arc::clone(&self.builder);
        let serving = builder.serve_connection(TokioIo::new(stream), service);
        let mut serving = pin!(serving);
        let mut is_ending = false;
        loop {
            let served_before = self.activity.served.load(Ordering::Acquire);
            tokio::select! {
                ended = serving.as_mut() => {
                    if let Err(error) = ended {
                        log::debug!("a connection failed: {error}");
                    }
                    return;
                }
                _ = stopped.wait_for(|stopped| *stopped), if !is_ending => {
                    is_ending = true;
                    serving.as_mut().graceful_shutdown();
                }
                () = tokio::time::sleep(self.idle_timeout), if !is_ending => {
                    if self.activity.is_idle_since(served_before) {
                        is_ending = true;
                        serving.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }
}

fn builder(limits: &ServerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.header_count)
        .max_buf_size(limits.header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .max_concurrent_streams(limits.max_streams)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    builder
}
