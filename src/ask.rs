//! Queries the status of nodes over their operators' HTTP API.

use std::ops::RangeInclusive;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use hornbeamhitch_types::status::{NodeStatus, STATUS_PATH};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

/// Maximum size of a node's answer in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;

/// Range of the time limit for one node, in milliseconds.
const TIMEOUT_MS: RangeInclusive<u64> = 1..=60_000;

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// The answer of one node.
pub(crate) struct Answer {
    /// The node's address as given on the command line.
    pub(crate) node: String,
    /// The node's status, or the reason why it could not be fetched.
    pub(crate) status: Result<NodeStatus>,
}

/// Queries all nodes concurrently, each within the time limit, and returns their
/// answers in the order of `nodes`. A node that fails does not affect the answers
/// of the others.
///
/// # Errors
///
/// Fails if the time limit is out of range, no node is given, an address is
/// invalid, or the runtime cannot be started.
pub(crate) fn fetch_statuses(nodes: &[String], timeout_ms: u64) -> Result<Vec<Answer>> {
    if !TIMEOUT_MS.contains(&timeout_ms) {
        let (min, max) = (TIMEOUT_MS.start(), TIMEOUT_MS.end());
        bail!("--timeout-ms {timeout_ms} is out of range; allowed: {min} to {max}");
    }
    let limit = Duration::from_millis(timeout_ms);
    if nodes.is_empty() {
        bail!("no node is given; use --node http://IP:PORT, once for each node");
    }
    let mut uris = Vec::new();
    for node in nodes {
        uris.push(status_uri(node)?);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?;
    Ok(runtime.block_on(fetch_all(nodes, uris, limit)))
}

async fn fetch_all(nodes: &[String], uris: Vec<Uri>, limit: Duration) -> Vec<Answer> {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut running = Vec::new();
    for uri in uris {
        running.push(tokio::spawn(fetch_with_timeout(client.clone(), uri, limit)));
    }
    let mut answers = Vec::new();
    for (node, task) in nodes.iter().zip(running) {
        let status = task.await.unwrap_or_else(|error| Err(error.into()));
        answers.push(Answer {
            node: node.clone(),
            status,
        });
    }
    answers
}

async fn fetch_with_timeout(client: HttpClient, uri: Uri, limit: Duration) -> Result<NodeStatus> {
    match timeout(limit, fetch_status(client, uri)).await {
        Ok(status) => status,
        Err(_) => Err(eyre!("no answer within {} ms", limit.as_millis())),
    }
}

async fn fetch_status(client: HttpClient, uri: Uri) -> Result<NodeStatus> {
    let answer = client.get(uri).await.wrap_err("cannot be reached")?;
    let (head, body) = answer.into_parts();
    if head.status != StatusCode::OK {
        bail!("answered with HTTP status {}", head.status);
    }
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| eyre!("the answer could not be read completely: {error}"))?
        .to_bytes();
    serde_json::from_slice(&body).wrap_err("the answer is not a status")
}

/// Builds the URI of the status endpoint from `http://IP:PORT` or `IP:PORT`.
fn status_uri(node: &str) -> Result<Uri> {
    const SCHEME: &str = "http://";
    let authority = node
        .strip_prefix(SCHEME)
        .unwrap_or(node)
        .trim_end_matches('/');
    let uri: Uri = format!("{SCHEME}{authority}{STATUS_PATH}")
        .parse()
        .wrap_err_with(|| format!("{node:?} is not a node's address"))?;
    let plain = uri.path() == STATUS_PATH && uri.query().is_none();
    if !plain || uri.port_u16().is_none() {
        bail!("{node:?} is not a node's address, such as http://127.0.0.1:8480");
    }
    Ok(uri)
}
