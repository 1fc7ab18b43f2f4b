//! TCP socket options that all connections of a node share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeamhitch_dispatch::resources::limits::Listener;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

use crate::resources::{Registration, Resources};

/// `TCP_USER_TIMEOUT` between VMs: a connection ends when sent data stays unacknowledged for
/// this long. Without it, connections to a VM that lost power hang for minutes. It also ends
/// a connection whose peer only reads nothing for so long.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first TCP keepalive probe, and the interval between probes.
/// A connection ends after [`KEEPALIVE_RETRIES`] unanswered probes, which takes about
/// as long as [`USER_TIMEOUT`].
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// Delay before the next accept after a failed one, for example when the process is
/// out of file descriptors. Without it, the accept loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The peer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// A node or the store, which always reads. One that acknowledges nothing is down.
    Node,
    /// A caller or the target, which may pause in reading.
    Client,
}

impl PeerKind {
    const fn of(listener: Listener) -> Self {
        match listener {
            Listener::Links => Self::Node,
            Listener::Callers | Listener::Readiness | Listener::Metrics => Self::Client,
        }
    }
}

/// Connects and sets the socket options.
///
/// # Errors
///
/// The connection failed or was not established within `timeout`.
pub async fn connect(
    address: SocketAddr,
    peer: PeerKind,
    timeout: Duration,
) -> std::io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting.await??;
    prepare(&stream, peer);
    Ok(stream)
}

/// Sets the socket options of a connection.
///
/// A failure is only logged: the connection still works, but only the timeouts of
/// the layers above then detect that it is dead.
pub fn prepare(stream: &TcpStream, peer: PeerKind) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_RETRIES);
    let user_timeout = (peer == PeerKind::Node).then_some(USER_TIMEOUT);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(user_timeout),
    ];
    for result in results {
        if let Err(error) = result {
            log::debug!("cannot set a socket option: {error}");
        }
    }
}

/// Accepts connections until the process ends and passes each one to `serve`.
pub async fn accept_all(
    socket: TcpListener,
    listener: Listener,
    resources: Arc<Resources>,
    serve: impl Fn(TcpStream, Registration),
) {
    loop {
        if let Some((stream, _, registration)) = accept(&socket, listener, &resources).await {
            serve(stream, registration);
        }
    }
}

/// Accepts a connection. Returns `None` after a failure, and for a connection that is closed
/// at once since the listener has as many as it may have.
pub async fn accept(
    socket: &TcpListener,
    listener: Listener,
    resources: &Arc<Resources>,
) -> Option<(TcpStream, SocketAddr, Registration)> {
    let name: &str = listener.into();
    match socket.accept().await {
        Ok((stream, peer)) => {
            let Some(registration) = resources.open(listener) else {
                log::info!(listener = name; "closed a new connection, since too many are open");
                return None;
            };
            prepare(&stream, PeerKind::of(listener));
            Some((stream, peer, registration))
        }
        Err(error) => {
            log::warn!(listener = name; "cannot accept a connection: {error}");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Whether an idle connection can carry another request: it is open and has no
/// unread bytes, which would be taken for the next answer.
#[must_use]
pub fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit(); 1];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(_) => false,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}
