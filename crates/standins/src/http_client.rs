//! A small HTTP client that reads complete answers and classifies failures.

use std::fmt;

use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

use crate::prelude::*;

const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const ADMIN_TIMEOUT: Duration = Duration::from_secs(10);

/// An answer with its complete body.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl WholeAnswer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the status is not a success or the body does not have the
    /// expected structure.
    pub fn json<T: for<'a> Deserialize<'a>>(&self) -> Result<T> {
        ensure!(
            self.status.is_success(),
            "status {}: {}",
            self.status,
            String::from_utf8_lossy(&self.body)
        );
        serde_json::from_slice(&self.body)
            .wrap_err("the answer does not have the expected JSON structure")
    }
}

/// Why no complete answer was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFault {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The connection broke after it was established; the request may have arrived.
    Broken,
    /// No complete answer arrived in time.
    TimedOut,
}

impl fmt::Display for SendFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotConnected => "no connection",
            Self::Broken => "connection broke",
            Self::TimedOut => "timed out",
        })
    }
}

impl std::error::Error for SendFault {}

/// HTTP version that a client uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HttpVersion {
    /// HTTP/1.1, with one request at a time on each connection.
    #[default]
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// A client with a connection pool.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client; it connects on demand.
    #[must_use]
    pub fn new(version: HttpVersion) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .http2_only(version == HttpVersion::Http2)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads the complete answer, within `bound`.
    ///
    /// # Errors
    ///
    /// Distinguishes a connection that was never established, one that broke, and
    /// a timeout.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        bound: Duration,
    ) -> Result<WholeAnswer, SendFault> {
        match timeout(bound, self.send_unbounded(request)).await {
            Ok(result) => result,
            Err(_) => Err(SendFault::TimedOut),
        }
    }

    async fn send_unbounded(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<WholeAnswer, SendFault> {
        let answer = match self.client.request(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Err(SendFault::NotConnected),
            Err(_) => return Err(SendFault::Broken),
        };
        let (head, body) = answer.into_parts();
        let Ok(collected) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
            return Err(SendFault::Broken);
        };
        Ok(WholeAnswer {
            status: head.status,
            headers: head.headers,
            body: collected.to_bytes(),
        })
    }

    /// Sends a `GET` request to a stand-in or a node, with a timeout of ten seconds.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer arrives. An answer with any status is a
    /// success.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<WholeAnswer> {
        let request = Request::get(format!("http://{addr}{path}")).body(Full::default())?;
        let answer = self.send(request, ADMIN_TIMEOUT).await;
        answer.wrap_err_with(|| format!("GET http://{addr}{path}"))
    }

    /// Sends JSON to a stand-in in a `POST` request, with a timeout of ten seconds.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer arrives or its status is not a success.
    pub async fn post_json<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<WholeAnswer> {
        let body = Bytes::from(serde_json::to_vec(value)?);
        self.post(addr, path, body).await
    }

    /// Sends bytes to a stand-in in a `POST` request, with a timeout of ten seconds.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer arrives or its status is not a success.
    pub async fn post(&self, addr: SocketAddr, path: &str, body: Bytes) -> Result<WholeAnswer> {
        let request = Request::post(format!("http://{addr}{path}")).body(Full::new(body))?;
        let answer = self.send(request, ADMIN_TIMEOUT).await;
        let answer = answer.wrap_err_with(|| format!("POST http://{addr}{path}"))?;
        ensure!(
            answer.status.is_success(),
            "POST http://{addr}{path}: status {}: {}",
            answer.status,
            String::from_utf8_lossy(&answer.body)
        );
        Ok(answer)
    }
}
