//! Answer bodies that callers can recompute from their requests.

use std::fmt::Write;

use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::prelude::*;

/// Largest answer body that a request can ask for, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

const FILLER_CHARS: usize = 16;

/// The parts of a request from which the answer body is derived.
#[derive(Clone, Copy, Debug)]
pub struct EchoRequest<'a> {
    /// The caller's identifier of the call.
    pub nonce: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query as the target receives them.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
    /// Minimum size of the answer body, in bytes.
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

/// Returns the only correct body of an answer: a line of JSON that describes the
/// request, followed by filler that depends on the nonce.
///
/// # Panics
///
/// Never, because the JSON line is plain data.
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
    let head_bytes = text.len();
    let wanted = request.answer_bytes.min(MAX_ANSWER_BYTES);
    push_filler(&mut text, request.nonce, wanted);
    text.truncate(wanted.max(head_bytes));
    Bytes::from(text)
}

/// Extends a text to at least `wanted_bytes` with filler derived from the nonce.
///
/// Each step hashes only the previous hash. Hashing the whole text in each step
/// would take seconds for an upload.
pub fn push_filler(text: &mut String, nonce: &str, wanted_bytes: usize) {
    let mut filler = xxh3_64(nonce.as_bytes());
    text.reserve(wanted_bytes.saturating_sub(text.len()) + FILLER_CHARS);
    while text.len() < wanted_bytes {
        filler = xxh3_64(&filler.to_le_bytes());
        let _ = write!(text, "{filler:016x}");
    }
}

/// Returns the hash of a body in the form used in headers.
#[must_use]
pub fn digest(body: &[u8]) -> String {
    format!("{:032x}", xxh3_128(body))
}
