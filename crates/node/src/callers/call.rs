//! Parses calls from callers and builds the requests to gates.

use std::sync::Arc;

use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::header;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Uri};

use crate::answer;
use crate::body::NodeBody;

/// The longest deadline that a caller may request.
const MAX_DEADLINE_MS: Millis = Millis::from_secs(600);
/// The maximum nesting depth of calls. Without it, a cycle of services would
/// never end.
pub const MAX_DEPTH: u32 = 16;

/// The service named by a request path, and the path that its target receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePath {
    /// The service, which is the first path segment.
    pub service: ServiceName,
    /// The rest of the path with its query; begins with `/`.
    pub path_and_query: String,
}

impl ServicePath {
    /// Splits `/service/rest?query`. Returns `None` if the first segment is
    /// empty.
    #[must_use]
    pub fn split(path_and_query: &str) -> Option<Self> {
        let rest = path_and_query.strip_prefix('/')?;
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (service, tail) = rest.split_at(end);
        if service.is_empty() {
            return None;
        }
        let path_and_query = match tail.chars().next() {
            Some('/') => tail.to_owned(),
            _ => format!("/{tail}"),
        };
        Some(Self {
            service: ServiceName::new(service),
            path_and_query,
        })
    }

    /// Returns the path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        match self.path_and_query.split_once('?') {
            Some((path, _)) => path,
            None => &self.path_and_query,
        }
    }
}

/// The parameters of one call.
#[derive(Clone, Debug)]
pub struct CallerCall {
    /// The called service and path.
    pub to: ServicePath,
    /// The service's policy at the time of arrival.
    pub policy: Arc<ServicePolicy>,
    /// Whether the call may safely run more than once.
    pub idempotent: bool,
    /// The call's class, which determines its priority and its histogram label.
    pub class: CallClass,
    /// The tenant that the call belongs to.
    pub tenant: TenantName,
    /// Nesting depth of the call; 0 for the outermost caller.
    pub depth: u32,
    /// The time by which the call must have ended.
    pub deadline_at: Millis,
}

impl CallerCall {
    /// Parses a call's headers and applies the defaults of the policy in force.
    #[must_use]
    pub fn read(parts: &Parts, to: ServicePath, policy: Arc<ServicePolicy>, now: Millis) -> Self {
        let method = parts.method.as_str();
        let kind = policy.call_for(method, to.path());
        let default_ms = kind.map_or(policy.deadline_ms, |call| call.deadline_ms);
        let requested_ms = answer::number(&parts.headers, header::DEADLINE_MS).map(Millis);
        let deadline_ms = requested_ms.unwrap_or(default_ms).min(MAX_DEADLINE_MS);
        Self {
            idempotent: policy.is_idempotent(method, to.path()),
            class: kind.map_or_else(CallClass::default, |call| call.class),
            tenant: tenant_of(&parts.headers),
            depth: answer::number(&parts.headers, header::DEPTH).unwrap_or(0),
            deadline_at: now + deadline_ms,
            to,
            policy,
        }
    }
}

/// Returns the tenant that a caller names, or an empty name if it names none.
#[must_use]
pub fn tenant_of(headers: &HeaderMap) -> TenantName {
    TenantName::new(answer::text(headers, header::TENANT).unwrap_or_default())
}

/// The parts of a request to a gate that are the same for every attempt.
#[derive(Clone, Debug)]
pub struct Outbound {
    method: http::Method,
    headers: HeaderMap,
    path_and_query: String,
}

impl Outbound {
    /// Builds the common parts from the caller's request: removes hop-by-hop
    /// and internal headers and adds those of the entry.
    #[must_use]
    pub fn prepare(parts: &Parts, call: &CallerCall, entry: &HeaderValue) -> Self {
        let mut headers = parts.headers.clone();
        answer::strip_hop_by_hop(&mut headers);
        headers.remove(http::header::HOST);
        headers.remove(http::header::EXPECT);
        for name in [
            header::TICKET,
            header::GATE_DEADLINE_AT_MS,
            header::KEY,
            header::LOAD,
            header::SUSPECT,
        ] {
            headers.remove(name);
        }
        let service = HeaderValue::from_str(call.to.service.as_str())
            .expect("a service name of the checked configuration is plain ASCII");
        headers.insert(header::SERVICE, service);
        headers.insert(header::ENTRY, entry.clone());
        headers.insert(header::DEPTH, HeaderValue::from(call.depth));
        Self {
            method: parts.method.clone(),
            headers,
            path_and_query: call.to.path_and_query.clone(),
        }
    }

    /// Adds the ticket under which the call runs.
    pub fn set_ticket(&mut self, ticket: &str) {
        let value = HeaderValue::from_str(ticket).expect("a ticket is URL-safe text");
        self.headers.insert(header::TICKET, value);
    }

    /// Tells the next gate that an earlier attempt broke during its run.
    pub fn set_suspect(&mut self) {
        let value = HeaderValue::from_static("1");
        self.headers.insert(header::SUSPECT, value);
    }

    /// Adds the deadline as a time of the gate's clock.
    ///
    /// A gate that only knows the remaining time counts it from the moment it
    /// reads the request. The deadline would move by the time that the request
    /// spends in the socket of a paused gate or in a bad network, and a payment
    /// could start long after its caller has given up. A time of the gate's own
    /// clock does not move.
    pub fn set_gate_deadline(&mut self, at: Millis) {
        let value = HeaderValue::from(at.0);
        self.headers.insert(header::GATE_DEADLINE_AT_MS, value);
    }

    /// Builds the request for one attempt.
    #[must_use]
    pub fn request(
        &self,
        peer: std::net::SocketAddr,
        attempt: u32,
        remaining_ms: Millis,
        body: NodeBody,
    ) -> Request<NodeBody> {
        let uri = format!("http://{peer}{}", self.path_and_query);
        let uri = uri
            .parse::<Uri>()
            .expect("an address and a path that came over HTTP form a valid URI");
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        headers.insert(header::ATTEMPT, HeaderValue::from(attempt));
        headers.insert(header::DEADLINE_MS, HeaderValue::from(remaining_ms.0));
        request
    }

    /// Builds the request that queries a gate about this call's key and thereby
    /// fences the key.
    #[must_use]
    pub fn fence_request(
        &self,
        peer: std::net::SocketAddr,
        remaining_ms: Millis,
    ) -> Request<NodeBody> {
        let mut request = Request::new(crate::body::empty());
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = format!("http://{peer}{}", header::FENCE_PATH)
            .parse::<Uri>()
            .expect("an address and a constant path form a valid URI");
        let headers = request.headers_mut();
        for name in [header::TICKET, header::SERVICE, header::ENTRY] {
            let Some(value) = self.headers.get(name) else {
                continue;
            };
            headers.insert(name, value.clone());
        }
        headers.insert(header::DEADLINE_MS, HeaderValue::from(remaining_ms.0));
        request
    }
}
