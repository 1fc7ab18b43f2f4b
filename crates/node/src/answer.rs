//! Builds the node's own answers and removes headers that are not relayed.

use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::header;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use serde::Serialize;

use crate::body::{self, NodeBody};

const MILLIS_PER_SEC: u64 = 1_000;

/// Hop-by-hop headers, which apply to one connection and are never relayed.
const HOP_BY_HOP: [HeaderName; 7] = [
    http::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
    http::header::TE,
    http::header::TRAILER,
];

/// The JSON body of an answer that the node creates itself.
#[derive(Serialize)]
struct AnswerBody<'a> {
    code: u16,
    name: &'static str,
    certainty: &'static str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Builds the answer for a refusal, with its retry delay if it has one.
#[must_use]
pub fn from_refusal(refusal: &Refusal) -> Response<NodeBody> {
    with_message(refusal, message_of(refusal.code))
}

/// Builds the answer for a code that does not allow a retry of the unchanged
/// request.
#[must_use]
pub fn from_code(code: ResultCode, message: &str) -> Response<NodeBody> {
    with_message(&Refusal::fixed(code), message)
}

fn with_message(refusal: &Refusal, message: &str) -> Response<NodeBody> {
    let code = refusal.code;
    let content = AnswerBody {
        code: code.number(),
        name: code.into(),
        certainty: code.certainty().into(),
        message,
        retry_after_ms: refusal.retry_after_ms.map(|wait| wait.0),
    };
    let json = serde_json::to_vec(&content).expect("the answer's fields are plain values");
    let mut answer = Response::new(body::full(json));
    *answer.status_mut() = status_of(code);
    let headers = answer.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    mark(headers, code);
    if let Some(wait) = refusal.retry_after_ms {
        headers.insert(
            http::header::RETRY_AFTER,
            HeaderValue::from(wait.0.div_ceil(MILLIS_PER_SEC)),
        );
        headers.insert(header::RETRY_AFTER_MS, HeaderValue::from(wait.0));
    }
    answer
}

/// Sets the headers for a result code and its certainty.
pub fn mark(headers: &mut HeaderMap, code: ResultCode) {
    headers.insert(header::CODE, HeaderValue::from(code.number()));
    let certainty: &'static str = code.certainty().into();
    headers.insert(header::CERTAINTY, HeaderValue::from_static(certainty));
}

/// Reads the result code that a node set in an answer's headers.
#[must_use]
pub fn code_of(headers: &HeaderMap) -> Option<ResultCode> {
    ResultCode::from_number(number(headers, header::CODE)?)
}

/// Reads the refusal that a node set in an answer's headers.
#[must_use]
pub fn refusal_of(headers: &HeaderMap, code: ResultCode) -> Refusal {
    Refusal {
        code,
        retry_after_ms: number(headers, header::RETRY_AFTER_MS).map(Millis),
    }
}

/// Reads a numeric header. A value that is not a number counts as absent.
#[must_use]
pub fn number<N: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<N> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Reads a header as text; `None` if it is absent or not visible ASCII.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(http::header::CONNECTION) {
        let Ok(list) = value.to_str() else { continue };
        for name in list.split(',') {
            named.extend(HeaderName::from_bytes(name.trim().as_bytes()));
        }
    }
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

fn status_of(code: ResultCode) -> StatusCode {
    StatusCode::from_u16(code.http_status()).expect("every code maps to a valid HTTP status")
}

fn message_of(code: ResultCode) -> &'static str {
    match code.certainty() {
        Certainty::Answered => "the target answered",
        Certainty::NotRun => "the request did not run",
        Certainty::NotYet => "the request did not run; send it again under the same ticket",
        Certainty::TicketDead => {
            "this attempt did not run and its ticket is dead; if no send under it was answered \
             otherwise, take a new ticket"
        }
        Certainty::Pending => "the run goes on; the same ticket will fetch its answer",
        Certainty::Unknown => "nobody can tell whether the request ran",
    }
}
