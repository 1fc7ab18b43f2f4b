//! Parsing of request and response heads.

use bytes::Bytes;
use hornbeamhitch_wire::link::HeaderField;

use super::body::Framing;

/// Limit on the number of header fields of one head.
const MAX_FIELDS: usize = 128;

/// Hop-by-hop header fields, and `Content-Length`, which each hop sets itself.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Status of an answer without a body.
const NO_CONTENT: u16 = 204;
/// Status after which the connection no longer carries HTTP/1.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Why a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadFault {
    /// The bytes are not an HTTP/1 head, or the framing is ambiguous.
    #[error("malformed head: {0}")]
    Malformed(&'static str),
    /// The head exceeds a size limit.
    #[error("the head is too large")]
    TooLarge,
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Whether the version is HTTP/1.1 rather than HTTP/1.0.
    pub is_http11: bool,
    /// Header fields in their order.
    pub fields: Vec<HeaderField>,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Whether the version is HTTP/1.1 rather than HTTP/1.0.
    pub is_http11: bool,
    /// Header fields in their order.
    pub fields: Vec<HeaderField>,
}

/// Returns the trimmed value of the first field with this name, if it is UTF-8.
#[must_use]
pub fn field<'a>(fields: &'a [HeaderField], name: &str) -> Option<&'a str> {
    for field in fields {
        if field.name.eq_ignore_ascii_case(name) {
            return std::str::from_utf8(&field.value).ok().map(str::trim);
        }
    }
    None
}

/// Whether a comma-separated field contains the token, ignoring case.
#[must_use]
pub fn has_token(fields: &[HeaderField], name: &str, token: &str) -> bool {
    for field in fields {
        if !field.name.eq_ignore_ascii_case(name) {
            continue;
        }
        let Ok(value) = std::str::from_utf8(&field.value) else {
            continue;
        };
        for part in value.split(',') {
            if part.trim().eq_ignore_ascii_case(token) {
                return true;
            }
        }
    }
    false
}

/// Returns the trimmed values of all fields with this name.
fn values<'a>(fields: &'a [HeaderField], name: &str) -> Vec<&'a [u8]> {
    let mut found = Vec::new();
    for field in fields {
        if field.name.eq_ignore_ascii_case(name) {
            found.push(field.value.trim_ascii());
        }
    }
    found
}

/// Removes the hop-by-hop fields, including those that the `Connection` field names.
///
/// `Content-Length` is removed too, because each hop sets it for the body that it
/// sends.
pub fn strip_hop_by_hop(fields: &mut Vec<HeaderField>) {
    let mut named = Vec::new();
    for field in fields.iter() {
        if !field.name.eq_ignore_ascii_case("connection") {
            continue;
        }
        let Ok(value) = std::str::from_utf8(&field.value) else {
            continue;
        };
        for token in value.split(',') {
            named.push(token.trim().to_ascii_lowercase());
        }
    }
    fields.retain(|field| {
        let name = field.name.to_ascii_lowercase();
        !HOP_BY_HOP.contains(&name.as_str()) && !named.contains(&name)
    });
}

fn to_fields(headers: &[httparse::Header<'_>]) -> Vec<HeaderField> {
    let mut fields = Vec::with_capacity(headers.len());
    for header in headers {
        fields.push(HeaderField {
            name: header.name.to_owned(),
            value: Bytes::copy_from_slice(header.value),
        });
    }
    fields
}

/// Whether a line starts with white space, as in obsolete line folding.
///
/// Some parsers read a folded line as one field and others as two. `httparse`
/// accepts it in some modes only.
fn has_folded_line(bytes: &[u8]) -> bool {
    bytes
        .windows(2)
        .any(|pair| pair[0] == b'\n' && (pair[1] == b' ' || pair[1] == b'\t'))
}

impl RequestHead {
    /// Parses a head at the start of `bytes`. Returns the head and its length in bytes,
    /// or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// The head is malformed or has too many fields.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, HeadFault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(HeadFault::TooLarge),
            Err(_) => return Err(HeadFault::Malformed("not a request of HTTP/1")),
        };
        if has_folded_line(&bytes[..length]) {
            return Err(HeadFault::Malformed("a header field is folded"));
        }
        let path = request.path.unwrap_or_default();
        if !path.starts_with('/') {
            return Err(HeadFault::Malformed("the target is not a path"));
        }
        let head = Self {
            method: request.method.unwrap_or_default().to_owned(),
            path: path.to_owned(),
            is_http11: request.version == Some(1),
            fields: to_fields(request.headers),
        };
        head.check_host()?;
        Ok(Some((head, length)))
    }

    /// Returns the framing of the body.
    ///
    /// Ambiguous requests are rejected to prevent request smuggling: with both a
    /// length and chunks, or with two lengths, two parsers can disagree where the
    /// request ends, and one of them takes the rest for a request that nobody sent.
    ///
    /// # Errors
    ///
    /// The framing is ambiguous, or the transfer coding is not supported.
    pub fn framing(&self) -> Result<Framing, HeadFault> {
        let codings = values(&self.fields, "transfer-encoding");
        let lengths = values(&self.fields, "content-length");
        match (codings.as_slice(), lengths.as_slice()) {
            ([], []) => Ok(Framing::Length(0)),
            ([], [length]) => parse_length(length).map(Framing::Length),
            ([coding], []) if self.is_http11 && coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Framing::Chunked)
            }
            ([], _) => Err(HeadFault::Malformed("more than one length")),
            (_, []) => Err(HeadFault::Malformed("an unknown transfer coding")),
            _ => Err(HeadFault::Malformed("a length beside a transfer coding")),
        }
    }

    /// Whether the caller wants the connection kept after the answer.
    #[must_use]
    pub fn keeps_connection(&self) -> bool {
        if has_token(&self.fields, "connection", "close") {
            return false;
        }
        self.is_http11 || has_token(&self.fields, "connection", "keep-alive")
    }

    /// Whether the caller waits for `100 Continue` before it sends the body.
    #[must_use]
    pub fn expects_continue(&self) -> bool {
        has_token(&self.fields, "expect", "100-continue")
    }

    /// The path without its query.
    #[must_use]
    pub fn path_only(&self) -> &str {
        self.path.split('?').next().unwrap_or(&self.path)
    }

    fn check_host(&self) -> Result<(), HeadFault> {
        match values(&self.fields, "host").as_slice() {
            [_] => Ok(()),
            [] if !self.is_http11 => Ok(()),
            _ => Err(HeadFault::Malformed("not exactly one host")),
        }
    }
}

impl ResponseHead {
    /// Parses a head at the start of `bytes`. Returns the head and its length in bytes,
    /// or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// The head is malformed or has too many fields.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, HeadFault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(HeadFault::TooLarge),
            Err(_) => return Err(HeadFault::Malformed("not a response of HTTP/1")),
        };
        let status = response.code.unwrap_or_default();
        // A recipient may not give a meaning to any other status (RFC 9110, section 15). A
        // switch of protocols is never requested.
        if !(100..=599).contains(&status) || status == SWITCHING_PROTOCOLS {
            return Err(HeadFault::Malformed("the status is invalid"));
        }
        let head = Self {
            status,
            is_http11: response.version == Some(1),
            fields: to_fields(response.headers),
        };
        Ok(Some((head, length)))
    }

    /// Returns the framing of the body. `method` is the method of the request.
    ///
    /// # Errors
    ///
    /// The framing is ambiguous, or the transfer coding is not supported.
    pub fn framing(&self, method: &str) -> Result<Framing, HeadFault> {
        let stated = self.stated_framing()?;
        if method == "HEAD" || matches!(self.status, 100..=199 | 304) {
            return Ok(Framing::Length(0));
        }
        if self.status != NO_CONTENT {
            return Ok(stated);
        }
        match stated {
            Framing::Length(0) | Framing::UntilClose => Ok(Framing::Length(0)),
            _ => Err(HeadFault::Malformed("a body where there is none")),
        }
    }

    /// Returns the framing that the fields state, by the rules of requests
    /// ([`RequestHead::framing`]) except that a length may be repeated.
    fn stated_framing(&self) -> Result<Framing, HeadFault> {
        let codings = values(&self.fields, "transfer-encoding");
        let lengths = values(&self.fields, "content-length");
        match (codings.as_slice(), lengths.as_slice()) {
            ([], []) => Ok(Framing::UntilClose),
            ([], [length, others @ ..]) => {
                if others.iter().any(|other| other != length) {
                    return Err(HeadFault::Malformed("two different lengths"));
                }
                parse_length(length).map(Framing::Length)
            }
            ([coding], []) if self.is_http11 && coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Framing::Chunked)
            }
            _ => Err(HeadFault::Malformed("an unclear transfer coding")),
        }
    }

    /// Whether the sender keeps the connection after this response.
    #[must_use]
    pub fn keeps_connection(&self) -> bool {
        if has_token(&self.fields, "connection", "close") {
            return false;
        }
        self.is_http11 || has_token(&self.fields, "connection", "keep-alive")
    }
}

/// Parses a length of digits only. Other parsers read a sign or a list differently.
fn parse_length(value: &[u8]) -> Result<u64, HeadFault> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(HeadFault::Malformed("the length is no number"));
    }
    let text = std::str::from_utf8(value).map_err(|_| HeadFault::Malformed("length"))?;
    text.parse()
        .map_err(|_| HeadFault::Malformed("the length is too large"))
}
