//! Helpers to read request bodies, query parameters and headers.

use http_body_util::{BodyExt, Limited};

use crate::prelude::*;

/// Largest request body that a stand-in accepts, in bytes.
pub const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// Reads a complete request body.
///
/// # Errors
///
/// Fails when the body is cut or exceeds [`MAX_REQUEST_BYTES`].
pub async fn read_body(body: Incoming) -> Result<Bytes> {
    let limited = Limited::new(body, MAX_REQUEST_BYTES);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(eyre!("request body: {error}")),
    }
}

/// Reads a JSON request body.
///
/// # Errors
///
/// Fails when the body is cut, exceeds [`MAX_REQUEST_BYTES`] or does not have the
/// expected structure.
pub async fn read_json<T: for<'a> Deserialize<'a>>(body: Incoming) -> Result<T> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).wrap_err("request body is not of the wanted form")
}

/// Returns the value of a query parameter, without percent-decoding.
#[must_use]
pub fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    for pair in query.unwrap_or_default().split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return Some(value);
        }
    }
    None
}

/// Returns the value of a header, if it is visible ASCII text.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the value of a header, if it is a number.
#[must_use]
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).and_then(|value| value.trim().parse().ok())
}
