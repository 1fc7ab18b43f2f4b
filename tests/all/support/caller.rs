//! A caller that keeps to the documented contract, one request at a time.

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

/// Bound on one request; reached only when something is broken.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// One call that a test makes.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path with the service in front.
    pub path: String,
    /// Names the call; the answer is derived from it.
    pub nonce: String,
    /// Body.
    pub body: Bytes,
    /// Further headers.
    pub headers: HeaderMap,
}

impl Call {
    /// A payment of the test's usual service.
    pub fn charge(nonce: &str) -> Self {
        Self {
            method: Method::POST,
            path: "/cashier/charge".to_owned(),
            nonce: nonce.to_owned(),
            body: Bytes::from(format!("amount for {nonce}")),
            headers: HeaderMap::new(),
        }
    }

    /// A lookup of the test's usual service.
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

    /// Gives the call another body.
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

    /// The path as the target sees it.
    fn target_path(&self) -> &str {
        let rest = &self.path[1..];
        rest.find('/').map_or("/", |at| &rest[at..])
    }

    /// Whether an answer is the whole right one for this call.
    pub fn is_answered_by(&self, answer: &WholeAnswer) -> bool {
        digest(&answer.body) == digest(&self.expected_body())
    }

    /// The one right body of the answer.
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
    /// A caller over HTTP/1.1.
    pub fn new() -> Self {
        Self {
            client: HttpClient::new(HttpVersion::Http1),
        }
    }

    /// A caller whose requests share one HTTP/2 connection an entry.
    pub fn over_http2() -> Self {
        Self {
            client: HttpClient::new(HttpVersion::Http2),
        }
    }

    /// Sends a call as it is, without following anything.
    pub async fn send(&self, entry: SocketAddr, call: &Call) -> Result<WholeAnswer, SendFault> {
        self.send_to(entry, call, &call.path).await
    }

    /// Sends a call under a ticketed URL.
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

    /// Asks for a ticketed URL for a non-idempotent call.
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

/// What an answer makes certain.
pub fn certainty_of(answer: &WholeAnswer) -> Certainty {
    let code = code_of(answer);
    let code = code.unwrap_or_else(|| panic!("no code: {} {:?}", answer.status, answer.headers));
    let said = answer.headers.get(header::CERTAINTY);
    let said = said.and_then(|value| value.to_str().ok());
    let expected: &'static str = code.certainty().into();
    assert_eq!(said, Some(expected), "the certainty goes with its code");
    code.certainty()
}
