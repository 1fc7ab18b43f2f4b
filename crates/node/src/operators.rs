//! The operators' server: status, readiness and metrics, all read-only.
//!
//! Operators control the system by the configuration text and not by this
//! server, so no request changes anything or has a body.

mod log_drain;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{
    ApiDescription, Body, BuildError, ClientErrorStatusCode, ConfigDropshot, HandlerTaskMode,
    HttpError, HttpResponseOk, HttpServer, Path, RequestContext, ServerBuilder, endpoint,
};
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_types::status::{NodeStatus, ServiceStatus};
use http::{Response, StatusCode, header};
use prometheus::TEXT_FORMAT;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::{Drain, Logger};

use self::log_drain::LogDrain;
use crate::metrics::Metrics;

/// No endpoint reads a body; larger bodies are rejected.
const MAX_BODY_BYTES: usize = 1024;
/// Requests are answered at once, so only a stalled client needs longer.
const CLOSE_TIMEOUT_MS: Millis = Millis(2_000);

/// The node's state as the operators' server needs it.
///
/// Both methods are called on an async thread, so they must not wait for the
/// control thread.
pub trait OperatorsSource: Send + Sync {
    /// Returns the current state of the node.
    fn status(&self) -> NodeStatus;

    /// Returns whether a configuration is in force and all listeners are up.
    fn is_ready(&self) -> bool;
}

/// Why the operators' server could not be started.
#[derive(Debug, thiserror::Error)]
pub enum OperatorsError {
    /// The address could not be bound.
    #[error("operators_address {address} cannot be bound")]
    Bind {
        /// The address in the settings.
        address: SocketAddr,
        /// The cause.
        #[source]
        error: std::io::Error,
    },
    /// The HTTP library rejected its setup.
    #[error("the operators' server cannot be set up: {0}")]
    Setup(String),
}

/// The running server. It stops when this value is closed or dropped.
pub struct OperatorsServer {
    server: HttpServer<Context>,
}

impl OperatorsServer {
    /// Returns the bound address, with the port that the kernel chose for
    /// port 0.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops accepting requests and waits up to two seconds for those in
    /// flight.
    pub async fn close(self) {
        let closed = self.server.close();
        match tokio::time::timeout(CLOSE_TIMEOUT_MS.to_duration(), closed).await {
            Ok(Ok(())) => {}
            Ok(Err(reason)) => log::warn!(reason; "the operators' server ended with an error"),
            Err(_) => log::warn!("closed the operators' server with a client still connected"),
        }
    }
}

/// Binds the address and serves it on the current tokio runtime.
///
/// # Errors
///
/// Fails if the address cannot be bound or the library rejects its setup.
///
/// # Panics
///
/// Panics outside a tokio runtime.
pub fn start(
    address: SocketAddr,
    source: Arc<dyn OperatorsSource>,
    metrics: Arc<Metrics>,
) -> Result<OperatorsServer, OperatorsError> {
    let api = describe().map_err(|error| OperatorsError::Setup(error.to_string()))?;
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let logger = Logger::root(LogDrain.fuse(), slog::o!());
    let server = ServerBuilder::new(api, Context { source, metrics }, logger)
        .config(config)
        .start()
        .map_err(|error| match error {
            BuildError::BindError { address, error } => OperatorsError::Bind { address, error },
            other => OperatorsError::Setup(other.to_string()),
        })?;
    Ok(OperatorsServer { server })
}

struct Context {
    source: Arc<dyn OperatorsSource>,
    metrics: Arc<Metrics>,
}

fn describe() -> Result<ApiDescription<Context>, dropshot::ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(get_status)?;
    api.register(get_ready)?;
    api.register(get_live)?;
    api.register(get_where)?;
    api.register(get_metrics)?;
    Ok(api)
}

/// Answer of `GET /v1/ready`.
#[derive(Serialize, JsonSchema)]
struct Ready {
    /// Always true; a node that is not ready answers 503.
    ready: bool,
}

/// Answer of `GET /v1/live`.
#[derive(Serialize, JsonSchema)]
struct Live {
    /// Always true; a node that is not alive does not answer.
    live: bool,
}

/// Path of `GET /v1/where/{service}`.
#[derive(Deserialize, JsonSchema)]
struct WherePath {
    /// Name of the service.
    service: String,
}

/// The node's state.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(
    request: RequestContext<Context>,
) -> Result<HttpResponseOk<NodeStatus>, HttpError> {
    Ok(HttpResponseOk(request.context().source.status()))
}

/// Whether the node serves calls.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn get_ready(request: RequestContext<Context>) -> Result<HttpResponseOk<Ready>, HttpError> {
    if request.context().source.is_ready() {
        return Ok(HttpResponseOk(Ready { ready: true }));
    }
    let reason = "no configuration is in force, or a listener is not up".to_owned();
    Err(HttpError::for_unavail(Some("NotReady".to_owned()), reason))
}

/// Whether the process runs at all.
#[endpoint { method = GET, path = "/v1/live" }]
async fn get_live(_request: RequestContext<Context>) -> Result<HttpResponseOk<Live>, HttpError> {
    Ok(HttpResponseOk(Live { live: true }))
}

/// The targets of one service as this node sees them.
#[endpoint { method = GET, path = "/v1/where/{service}" }]
async fn get_where(
    request: RequestContext<Context>,
    path: Path<WherePath>,
) -> Result<HttpResponseOk<ServiceStatus>, HttpError> {
    let wanted = path.into_inner().service;
    for service in request.context().source.status().services {
        if service.name.as_str() != wanted {
            continue;
        }
        return Ok(HttpResponseOk(service));
    }
    Err(HttpError::for_client_error(
        Some("UnknownService".to_owned()),
        ClientErrorStatusCode::NOT_FOUND,
        "this node holds no service of that name".to_owned(),
    ))
}

/// The metrics as Prometheus text.
#[endpoint { method = GET, path = "/metrics", unpublished = true }]
async fn get_metrics(request: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    let text = request
        .context()
        .metrics
        .render()
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    Ok(Response::builder()
        .status(StatusCode::OK)
        .header(header::CONTENT_TYPE, TEXT_FORMAT)
        .body(text.into())?)
}
