//! Options of TCP sockets that every connection of a node shares.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

/// Sent data that is not acknowledged for this long ends the connection. A VM
/// that lost power answers nothing, and its connections would hang for minutes.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A silent connection is asked after this span, as often as this, and given up
/// after two questions without an answer: about as long as above.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// After a failed accept (out of descriptors, say) the next is not tried at
/// once, or the loop would spin.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connects and sets the options.
///
/// # Errors
///
/// No connection within `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting.await??;
    prepare(&stream);
    Ok(stream)
}

/// Sets the options of a connection. One that does not take them still works,
/// and is found dead only by the timeouts above it.
pub fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_RETRIES);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
    ];
    for result in results {
        if let Err(error) = result {
            log::debug!("a socket option was not taken: {error}");
        }
    }
}

/// Serves each connection of a listener for as long as the process lives; `what`
/// names the other side in the log.
pub async fn accept_all(listener: TcpListener, what: &str, serve: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                prepare(&stream);
                serve(stream);
            }
            Err(error) => {
                log::warn!("cannot accept {what}: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Whether a connection at rest can carry another request: it is open, and no
/// byte lies unread that would be taken for the next answer.
#[must_use]
pub fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit(); 1];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(_) => false,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}
