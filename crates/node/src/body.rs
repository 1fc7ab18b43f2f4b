//! The one body type of requests and answers inside the node.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use thiserror::Error;

/// Error of any body; its kind no longer matters once a stream is broken.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body that is relayed or made here.
pub type NodeBody = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body could not be taken in whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CollectError {
    /// It is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLarge,
    /// It ended before its end.
    #[error("the body was cut")]
    Truncated,
    /// The node holds too much already.
    #[error("no memory is left for the body")]
    BudgetExhausted,
}

/// A body without bytes.
#[must_use]
pub fn empty() -> NodeBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body whose bytes are in hand.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> NodeBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Wraps a body that comes in over a connection.
#[must_use]
pub fn wrap(body: Incoming) -> NodeBody {
    body.map_err(|error| -> BodyError { Box::new(error) })
        .boxed_unsync()
}

/// Breaks a stream that grows above `limit_bytes`.
#[must_use]
pub fn limit(body: NodeBody, limit_bytes: u64) -> NodeBody {
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    http_body_util::Limited::new(body, limit).boxed_unsync()
}

/// Takes in a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// A body that is too long, or whose stream ends early, is an error: a short
/// body must never pass for a whole one.
pub async fn collect(body: NodeBody, limit_bytes: u64) -> Result<Bytes, CollectError> {
    collect_while(body, limit_bytes, |_| true).await
}

/// Takes in a whole body as long as there is room for what has come so far.
///
/// # Errors
///
/// As [`collect`], and [`CollectError::BudgetExhausted`] when `has_room` says no.
pub async fn collect_while(
    body: NodeBody,
    limit_bytes: u64,
    mut has_room: impl FnMut(usize) -> bool,
) -> Result<Bytes, CollectError> {
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    let mut body = body;
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CollectError::Truncated)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len() + rest.len() + data.len() > limit {
            return Err(CollectError::TooLarge);
        }
        if !has_room(first.len() + rest.len() + data.len()) {
            return Err(CollectError::BudgetExhausted);
        }
        // Most bodies are one frame; it is passed on without a copy.
        if first.is_empty() && rest.is_empty() {
            first = data;
            continue;
        }
        if rest.is_empty() {
            rest.extend_from_slice(&first);
            first = Bytes::new();
        }
        rest.extend_from_slice(&data);
    }
    if rest.is_empty() {
        return Ok(first);
    }
    Ok(rest.freeze())
}

/// The beginning of a body whose length nobody has told.
#[derive(Debug)]
pub enum BodyPrefix {
    /// It ended within the limit.
    Whole(Bytes),
    /// It is longer; the rest is still in the stream.
    Partial(Bytes),
}

/// Takes in a body until it ends or exceeds `limit_bytes`.
///
/// # Errors
///
/// The stream ended early.
pub async fn read_prefix<B>(body: &mut B, limit_bytes: u64) -> Result<BodyPrefix, CollectError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CollectError::Truncated)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        received.extend_from_slice(&data);
        if received.len() > limit {
            return Ok(BodyPrefix::Partial(received.freeze()));
        }
    }
    Ok(BodyPrefix::Whole(received.freeze()))
}

/// Reads a body away, up to `limit_bytes`.
pub async fn discard(body: NodeBody, limit_bytes: u64) {
    let mut body = limit(body, limit_bytes);
    while let Some(Ok(_)) = body.frame().await {}
}
