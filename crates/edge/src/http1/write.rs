//! Encoding of requests and responses.

use bytes::buf::Chain;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hornbeamhitch_wire::link::HeaderField;

/// Longest body that is copied behind its head, so that both are written at once.
const COPIED_BODY_BYTES: usize = 16 * 1024;

/// An encoded message.
#[derive(Clone, Debug)]
pub struct Encoded {
    /// The head, and the body if it is short.
    head: Bytes,
    /// The body if it is long, which is not copied.
    body: Bytes,
}

impl Encoded {
    /// Returns the bytes to write.
    #[must_use]
    pub fn into_buf(self) -> Chain<Bytes, Bytes> {
        self.head.chain(self.body)
    }
}

/// Encodes a request. `Content-Length` is left out only for an empty body with a
/// method that usually has none.
#[must_use]
pub fn request(method: &str, path: &str, fields: &[HeaderField], body: Bytes) -> Encoded {
    let mut bytes = BytesMut::with_capacity(512 + copied_bytes(&body));
    bytes.put_slice(method.as_bytes());
    bytes.put_u8(b' ');
    bytes.put_slice(path.as_bytes());
    bytes.put_slice(b" HTTP/1.1\r\n");
    put_fields(&mut bytes, fields);
    let may_lack_length = matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS");
    if !body.is_empty() || !may_lack_length {
        put_length(&mut bytes, body.len());
    }
    bytes.put_slice(b"\r\n");
    join(bytes, body)
}

/// Encodes a response. `Content-Length` is set if there is a body, except for 204 and
/// 304; `closes` adds `Connection: close`.
#[must_use]
pub fn response(status: u16, fields: &[HeaderField], body: Option<Bytes>, closes: bool) -> Encoded {
    let mut bytes = BytesMut::with_capacity(512 + body.as_ref().map_or(0, copied_bytes));
    bytes.put_slice(b"HTTP/1.1 ");
    bytes.put_slice(status.to_string().as_bytes());
    bytes.put_u8(b' ');
    bytes.put_slice(reason(status).as_bytes());
    bytes.put_slice(b"\r\n");
    put_fields(&mut bytes, fields);
    if let Some(body) = &body
        && !matches!(status, 204 | 304)
    {
        put_length(&mut bytes, body.len());
    }
    if closes {
        bytes.put_slice(b"Connection: close\r\n");
    }
    bytes.put_slice(b"\r\n");
    join(bytes, body.unwrap_or_default())
}

const fn is_copied(body: &Bytes) -> bool {
    body.len() <= COPIED_BODY_BYTES
}

const fn copied_bytes(body: &Bytes) -> usize {
    if is_copied(body) { body.len() } else { 0 }
}

fn join(mut head: BytesMut, body: Bytes) -> Encoded {
    if !is_copied(&body) {
        let head = head.freeze();
        return Encoded { head, body };
    }
    head.put_slice(&body);
    Encoded {
        head: head.freeze(),
        body: Bytes::new(),
    }
}

fn put_fields(bytes: &mut BytesMut, fields: &[HeaderField]) {
    for field in fields {
        bytes.put_slice(field.name.as_bytes());
        bytes.put_slice(b": ");
        bytes.put_slice(&field.value);
        bytes.put_slice(b"\r\n");
    }
}

fn put_length(bytes: &mut BytesMut, length: usize) {
    bytes.put_slice(b"Content-Length: ");
    bytes.put_slice(length.to_string().as_bytes());
    bytes.put_slice(b"\r\n");
}

/// Returns the reason phrase. It has no meaning, but some clients reject a status
/// line without one.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
