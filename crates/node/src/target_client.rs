//! HTTP/1.1 connections from the gate to its own target.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::body::NodeBody;
use crate::peers::SendFailure;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A connection that was idle for longer is not used, because the target may be
/// closing it.
const MAX_IDLE: Duration = Duration::from_secs(20);
/// Ticketed calls only use connections that were idle briefly. If the target
/// closes the connection at the moment of sending, the call ends as "outcome
/// unknown" although it did not run. A new connection costs about a
/// millisecond.
const MAX_IDLE_TICKETED: Duration = Duration::from_millis(500);

/// Highest status that has a meaning (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

type Sender = http1::SendRequest<NodeBody>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    since: Instant,
}

/// A connection in use. Return it with [`TargetClient::put_back`] once its
/// answer has been read to the end. Dropping it closes the connection, which
/// cancels the run.
#[derive(Debug)]
pub struct InUse {
    sender: Sender,
}

/// The connections to this node's target.
#[derive(Debug)]
pub struct TargetClient {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

impl TargetClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Returns the target's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The failure states whether the request may have reached the target.
    pub async fn send(
        &self,
        request: Request<NodeBody>,
        ticketed: bool,
    ) -> Result<(Response<Incoming>, InUse), SendFailure> {
        let mut request = request;
        let max_idle = if ticketed {
            MAX_IDLE_TICKETED
        } else {
            MAX_IDLE
        };
        while let Some(sender) = self.take_idle(max_idle) {
            match attempt(sender, request).await {
                Attempt::Done(answer) => return answer,
                Attempt::Unsent(unsent) => request = *unsent,
            }
        }
        let sender = self.connect().await?;
        match attempt(sender, request).await {
            Attempt::Done(answer) => answer,
            Attempt::Unsent(_) => Err(SendFailure::NotSent(
                "the target closed a new connection at once".to_owned(),
            )),
        }
    }

    /// Returns a connection to the pool after its answer has been read to the
    /// end.
    pub fn put_back(&self, connection: InUse) {
        if connection.sender.is_closed() {
            return;
        }
        self.idle.lock().push(IdleConnection {
            sender: connection.sender,
            since: Instant::now(),
        });
    }

    /// Checks whether the target accepts a connection now. A refused connection
    /// right after a broken run distinguishes a crash from a single broken
    /// connection.
    ///
    /// The new connection is put into the pool for the next call, which needs
    /// one in place of the broken one. If it were opened for the check alone,
    /// each broken run would cost the target a connection that no probe budget
    /// limits.
    pub async fn accepts_connections(&self) -> bool {
        match self.connect().await {
            Ok(sender) => {
                self.put_back(InUse { sender });
                true
            }
            Err(_) => false,
        }
    }

    /// Takes the most recently used connection, so that surplus ones expire.
    fn take_idle(&self, max_idle: Duration) -> Option<Sender> {
        let mut idle = self.idle.lock();
        idle.retain(|conn| conn.since.elapsed() < MAX_IDLE && !conn.sender.is_closed());
        let newest = idle.last()?;
        if newest.since.elapsed() >= max_idle {
            return None;
        }
        idle.pop().map(|conn| conn.sender)
    }

    async fn connect(&self) -> Result<Sender, SendFailure> {
        let connecting = TcpStream::connect(self.address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent(error)),
            Err(_) => return Err(not_sent("connect: timed out")),
        };
        stream.set_nodelay(true).map_err(not_sent)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(not_sent)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the target ended: {error}");
            }
        });
        Ok(sender)
    }
}

enum Attempt {
    Done(Result<(Response<Incoming>, InUse), SendFailure>),
    /// The request was not sent. It is boxed because it is much larger than the
    /// other variant.
    Unsent(Box<Request<NodeBody>>),
}

async fn attempt(mut sender: Sender, request: Request<NodeBody>) -> Attempt {
    if sender.ready().await.is_err() {
        return Attempt::Unsent(Box::new(request));
    }
    match sender.try_send_request(request).await {
        // The library accepts any status from 100 to 999.
        Ok(answer) if answer.status().as_u16() > MAX_STATUS => Attempt::Done(Err(
            SendFailure::MaybeSent(format!("{} is no status", answer.status().as_u16())),
        )),
        Ok(answer) => Attempt::Done(Ok((answer, InUse { sender }))),
        Err(mut error) => match error.take_message() {
            Some(unsent) => Attempt::Unsent(Box::new(unsent)),
            None => Attempt::Done(Err(SendFailure::MaybeSent(error.into_error().to_string()))),
        },
    }
}

fn not_sent(error: impl std::fmt::Display) -> SendFailure {
    SendFailure::NotSent(error.to_string())
}
