//! A small HTTP client that reads whole answers and tells faults apart.

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

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The body up to its announced end.
    pub body: Bytes,
}

impl WholeAnswer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails on a status that is no success, and on another form.
    pub fn json<T: for<'a> Deserialize<'a>>(&self) -> Result<T> {
        ensure!(
            self.status.is_success(),
            "status {}: {}",
            self.status,
            String::from_utf8_lossy(&self.body)
        );
        serde_json::from_slice(&self.body).wrap_err("answer is not of the wanted form")
    }
}

/// Why no whole answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFault {
    /// No connection could be had: nothing was sent.
    NotConnected,
    /// The connection broke after it was made; the request may have arrived.
    Broken,
    /// No whole answer within the time allowed.
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

/// How a client speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HttpVersion {
    /// HTTP/1.1, one request a connection at a time.
    #[default]
    Http1,
    /// HTTP/2 without negotiation.
    Http2,
}

/// A client with a connection pool.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client without connections yet.
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

    /// Sends and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Tells a connection that was never made from one that broke.
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

    /// Fetches from a stand-in or a node, within ten seconds.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes; any status is an answer.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<WholeAnswer> {
        let request = Request::get(format!("http://{addr}{path}")).body(Full::default())?;
        let answer = self.send(request, ADMIN_TIMEOUT).await;
        answer.wrap_err_with(|| format!("GET http://{addr}{path}"))
    }

    /// Posts JSON to a stand-in, within ten seconds.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes or its status is no success.
    pub async fn post_json<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<WholeAnswer> {
        let body = Bytes::from(serde_json::to_vec(value)?);
        self.post(addr, path, body).await
    }

    /// Posts bytes to a stand-in, within ten seconds.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes or its status is no success.
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
