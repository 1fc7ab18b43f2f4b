//! The body type of all requests and answers inside the node.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use thiserror::Error;

/// The error of any body. Its kind does not matter, because the stream is
/// broken in any case.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body that the node relays or creates.
pub type NodeBody = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body could not be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CollectError {
    /// The body exceeds the limit.
    #[error("the body exceeds the limit")]
    TooLarge,
    /// The stream ended before the end of the body.
    #[error("the stream ended before the end of the body")]
    Truncated,
    /// The node's budget for buffered bodies is exhausted.
    #[error("the budget for buffered bodies is exhausted")]
    BudgetExhausted,
}

/// Creates an empty body.
#[must_use]
pub fn empty() -> NodeBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body from the given bytes.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> NodeBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Wraps a body that is received over a connection.
#[must_use]
pub fn wrap(body: Incoming) -> NodeBody {
    body.map_err(|error| -> BodyError { Box::new(error) })
        .boxed_unsync()
}

/// Wraps a body so that its stream fails once it exceeds `limit_bytes`.
#[must_use]
pub fn limit(body: NodeBody, limit_bytes: u64) -> NodeBody {
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    http_body_util::Limited::new(body, limit).boxed_unsync()
}

/// Reads a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// Fails if the body is too long or its stream ends early: a truncated body
/// must never pass for a complete one.
pub async fn collect(body: NodeBody, limit_bytes: u64) -> Result<Bytes, CollectError> {
    collect_while(body, limit_bytes, |_| true).await
}

/// Reads a whole body of at most `limit_bytes`, as long as `has_room` accepts
/// the number of bytes received so far.
///
/// # Errors
///
/// As [`collect`], and [`CollectError::BudgetExhausted`] if `has_room` returns
/// false.
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
        // Most bodies consist of one frame, which is returned without a copy.
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

/// The first part of a body whose length is unknown.
#[derive(Debug)]
pub enum BodyPrefix {
    /// The complete body, which is within the limit.
    Whole(Bytes),
    /// The bytes received so far of a body that exceeds the limit. The rest is
    /// still in the stream.
    Partial(Bytes),
}

/// Reads a body until it ends or exceeds `limit_bytes`.
///
/// # Errors
///
/// Fails if the stream ends early.
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

/// Reads and discards a body, up to `limit_bytes`.
pub async fn discard(body: NodeBody, limit_bytes: u64) {
    let mut body = limit(body, limit_bytes);
    while let Some(Ok(_)) = body.frame().await {}
}
