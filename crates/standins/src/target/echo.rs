//! Answers that can be recomputed from their requests.

use std::fmt::Write;

use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::prelude::*;

/// Largest body that a request can ask for, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// What an answer is derived from.
#[derive(Clone, Copy, Debug)]
pub struct EchoRequest<'a> {
    /// The caller's name of the call.
    pub nonce: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query as the target sees them.
    pub path: &'a str,
    /// Body of the request.
    pub body: &'a [u8],
    /// Least size of the answer's body.
    pub answer_bytes: usize,
}

#[derive(Serialize)]
struct EchoHead<'a> {
    nonce: &'a str,
    method: &'a str,
    path: &'a str,
    request_bytes: usize,
    request_digest: String,
}

/// The one right body of an answer: a line of JSON about the request, then
/// filler that no other nonce shares.
///
/// # Panics
///
/// Never: the head is plain data.
#[must_use]
pub fn echo_body(request: &EchoRequest<'_>) -> Bytes {
    let head = EchoHead {
        nonce: request.nonce,
        method: request.method,
        path: request.path,
        request_bytes: request.body.len(),
        request_digest: digest(request.body),
    };
    let mut text = serde_json::to_string(&head).expect("the head is plain data");
    text.push('\n');
    let wanted = request.answer_bytes.min(MAX_ANSWER_BYTES);
    let mut filler = xxh3_64(request.nonce.as_bytes());
    while text.len() < wanted {
        filler = xxh3_64(&filler.to_le_bytes());
        let _ = write!(text, "{filler:016x}");
    }
    if wanted > 0 && text.len() > wanted && wanted > text.find('\n').unwrap_or(0) {
        text.truncate(wanted);
    }
    Bytes::from(text)
}

/// Hash of a body as headers carry it.
#[must_use]
pub fn digest(body: &[u8]) -> String {
    format!("{:032x}", xxh3_128(body))
}
