//! A caller that follows the documented contract and sends one request at a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, bail, eyre};
use hornbeamhitch_standins::http_client::{HttpClient, HttpVersion, SendFault, WholeAnswer};
use hornbeamhitch_standins::target::echo::{EchoRequest, digest, echo_body};
use hornbeamhitch_standins::target::headers;
use hornbeamhitch_types::prelude::*;
use hornbeamhitch_wire::header;
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::Full;

/// Timeout of one request; it expires only when something is broken.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A call of a test.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path that begins with the service's name.
    pub path: String,
    /// Identifies the call. The expected answer is derived from it.
    pub nonce: String,
    /// Request body.
    pub body: Bytes,
    /// Additional headers.
    pub headers: HeaderMap,
}

impl Call {
    /// A payment at the service `cashier`.
    pub fn charge(nonce: &str) -> Self {
        Self {
            method: Method::POST,
            path: "/cashier/charge".to_owned(),
            nonce: nonce.to_owned(),
            body: Bytes::from(format!("amount for {nonce}")),
            headers: HeaderMap::new(),
        }
    }

    /// A lookup at the service `cashier`.
    pub fn price(nonce: &str) -> Self {
        Self {
            method: Method::GET,
            path: format!("/cashier/price/{nonce}"),
            nonce: nonce.to_owned(),
            body: Bytes::new(),
            headers: HeaderMap::new(),
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        let value = HeaderValue::from_str(&value.to_string()).expect("a test's header is plain");
        self.headers.insert(name, value);
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    fn request(&self, entry: SocketAddr, path: &str) -> Result<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = format!("http://{entry}{path}").parse()?;
        *request.headers_mut() = self.headers.clone();
        let nonce = HeaderValue::from_str(&self.nonce)?;
        request.headers_mut().insert("standin-nonce", nonce.clone());
        request.headers_mut().insert(header::IDEMPOTENCY_KEY, nonce);
        Ok(request)
    }

    /// Path that the target receives.
    fn target_path(&self) -> &str {
        let rest = &self.path[1..];
        rest.find('/').map_or("/", |at| &rest[at..])
    }

    /// Whether an answer has the complete and correct body for this call.
    pub fn is_answered_by(&self, answer: &WholeAnswer) -> bool {
        digest(&answer.body) == digest(&self.expected_body())
    }

    /// Body of the correct answer.
    pub fn expected_body(&self) -> Bytes {
        let answer_bytes = self.headers.get(headers::ANSWER_BYTES);
        let answer_bytes = answer_bytes.and_then(|value| value.to_str().ok()?.parse().ok());
        echo_body(&EchoRequest {
            nonce: &self.nonce,
            method: self.method.as_str(),
            path: self.target_path(),
            body: &self.body,
            answer_bytes: answer_bytes.unwrap_or(0),
        })
    }
}

/// Sends calls to entries.
pub struct Caller {
    client: HttpClient,
}

impl Caller {
    /// Creates a caller that uses HTTP/1.1.
    pub fn new() -> Self {
        Self {
            client: HttpClient::new(HttpVersion::Http1),
        }
    }

    /// Creates a caller whose requests share one HTTP/2 connection per entry.
    pub fn over_http2() -> Self {
        Self {
            client: HttpClient::new(HttpVersion::Http2),
        }
    }

    /// Sends a call without following redirects.
    pub async fn send(&self, entry: SocketAddr, call: &Call) -> Result<WholeAnswer, SendFault> {
        self.send_to(entry, call, &call.path).await
    }

    /// Sends a call to another path, such as its ticketed path.
    pub async fn send_to(
        &self,
        entry: SocketAddr,
        call: &Call,
        path: &str,
    ) -> Result<WholeAnswer, SendFault> {
        let request = call.request(entry, path);
        let request = request.expect("a test's request is well formed");
        self.client.send(request, REQUEST_TIMEOUT).await
    }

    /// Requests the ticketed path for a non-idempotent call.
    pub async fn ticketed_path(&self, entry: SocketAddr, call: &Call) -> Result<String> {
        let answer = match self.send(entry, call).await {
            Ok(answer) => answer,
            Err(fault) => bail!("no ticket: {fault:?}"),
        };
        if code_of(&answer) != Some(ResultCode::TicketNeeded) {
            bail!("no ticket: {} {:?}", answer.status, answer.body);
        }
        let location = answer.headers.get(http::header::LOCATION);
        let location = location.ok_or_else(|| eyre!("a redirect without a location"))?;
        Ok(location.to_str()?.to_owned())
    }
}

/// The result code of an answer.
pub fn code_of(answer: &WholeAnswer) -> Option<ResultCode> {
    let number = answer.headers.get(header::CODE)?.to_str().ok()?;
    ResultCode::from_number(number.parse().ok()?)
}

/// Certainty that an answer states about the run of its call.
pub fn certainty_of(answer: &WholeAnswer) -> Certainty {
    let code = code_of(answer);
    let code = code.unwrap_or_else(|| panic!("no code: {} {:?}", answer.status, answer.headers));
    let stated = answer.headers.get(header::CERTAINTY);
    let stated = stated.and_then(|value| value.to_str().ok());
    let expected: &'static str = code.certainty().into();
    assert_eq!(
        stated,
        Some(expected),
        "the certainty header matches the code"
    );
    code.certainty()
}
