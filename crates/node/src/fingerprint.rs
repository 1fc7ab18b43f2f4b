//! Fingerprints that identify repeated sends of one idempotent request, for
//! crash suspicion.

use http::{HeaderMap, HeaderValue, Method};
use xxhash_rust::xxh3::Xxh3;

/// Hashes the method, the path with its query, and the stated length. The entry
/// and the gate compute fingerprints independently and must agree, so both use
/// this function.
#[must_use]
pub fn of_request(method: &Method, path_and_query: &str, headers: &HeaderMap) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(method.as_str().as_bytes());
    hash.update(b"\0");
    hash.update(path_and_query.as_bytes());
    hash.update(b"\0");
    let length = headers.get(http::header::CONTENT_LENGTH);
    hash.update(length.map_or(&b""[..], HeaderValue::as_bytes));
    hash.digest()
}
