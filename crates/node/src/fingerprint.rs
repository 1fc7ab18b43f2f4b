//! What two sends of one idempotent request have in common, for crash
//! suspicion.

use http::{HeaderMap, HeaderValue, Method};
use xxhash_rust::xxh3::Xxh3;

/// Hashes method, path with query, and stated length. Entry and gate compute
/// it apart from each other and must agree, so both use this.
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
