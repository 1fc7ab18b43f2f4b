//! The entry: accepts requests from callers and sends them to gates.

mod call;
mod entries;
mod gate_clocks;
mod idempotent;
mod relay;
mod ticketed;
mod tickets;

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;

use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::header;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response};
use hyper::body::Incoming;
use tokio::sync::watch;

pub use entries::{Entry, EntryBoard, EntryCounts, SharedRoutes, TargetCounts};

use crate::answer;
use crate::body::NodeBody;
use crate::clock::ProcessClock;
use crate::control_loop::ControlHandle;
use crate::metrics::{CallSample, Metrics};
use crate::peers::PeerPool;
use crate::uploads::UploadLimits;
use call::{CallerCall, MAX_DEPTH, ServicePath};

/// How long a call waits for the routes of a service that this node does not
/// track yet.
const SERVICE_WAIT_MS: Millis = Millis(1_500);
const NO_CONFIGURATION_RETRY_MS: Millis = Millis(500);

/// Counters of the entry's calls, retries and hedges.
#[derive(Debug, Default)]
pub struct Traffic {
    in_flight: AtomicUsize,
    calls: AtomicU64,
    retries: AtomicU64,
    hedges: AtomicU64,
}

impl Traffic {
    fn note_retry(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    fn note_hedge(&self) {
        self.hedges.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Returns the number of calls since the process started.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of retries since the process started.
    #[must_use]
    pub fn retries(&self) -> u64 {
        self.retries.load(Ordering::Relaxed)
    }

    /// Returns the number of hedges since the process started.
    #[must_use]
    pub fn hedges(&self) -> u64 {
        self.hedges.load(Ordering::Relaxed)
    }
}

/// Guard that counts a call as in flight until it is dropped.
struct InFlight<'a>(&'a Traffic);

impl<'a> InFlight<'a> {
    fn enter(traffic: &'a Traffic) -> Self {
        traffic.in_flight.fetch_add(1, Ordering::AcqRel);
        traffic.calls.fetch_add(1, Ordering::Relaxed);
        Self(traffic)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The dependencies of a [`CallerServer`].
#[derive(Debug)]
pub struct CallerParts {
    /// Routing decisions, by service.
    pub board: EntryBoard,
    /// The process's clock.
    pub clock: ProcessClock,
    /// Handle to the control thread.
    pub control: ControlHandle,
    /// This node's control address, which it sends to gates.
    pub control_address: std::net::SocketAddr,
    /// Changes with each publication of routes.
    pub published: watch::Receiver<u64>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Limits on uploads.
    pub uploads: UploadLimits,
}

/// Serves requests from callers.
#[derive(Debug)]
pub struct CallerServer {
    /// Routing decisions, by service.
    pub board: EntryBoard,
    /// Connections to gates.
    pub peers: PeerPool,
    /// Counters of calls, retries and hedges.
    pub traffic: Traffic,
    clock: ProcessClock,
    uploads: UploadLimits,
    control: ControlHandle,
    /// Value of the entry header: this node's control address.
    entry_header: HeaderValue,
    /// Changes with each publication of routes.
    published: watch::Receiver<u64>,
    metrics: Arc<Metrics>,
}

impl CallerServer {
    /// Creates an entry that follows the published routes.
    #[must_use]
    pub fn new(parts: CallerParts) -> Self {
        let CallerParts {
            board,
            clock,
            control,
            control_address,
            published,
            metrics,
            uploads,
        } = parts;
        let address = control_address.to_string();
        Self {
            board,
            peers: PeerPool::default(),
            traffic: Traffic::default(),
            clock,
            uploads,
            control,
            entry_header: HeaderValue::from_str(&address).expect("an address is plain ASCII"),
            published,
            metrics,
        }
    }

    /// Serves one request from a caller.
    ///
    /// # Errors
    ///
    /// Never fails; the HTTP server requires a `Result`.
    pub async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<NodeBody>, Infallible> {
        let _in_flight = InFlight::enter(&self.traffic);
        let version = request.version();
        let response = self
            .dispatch(request.map(|body| self.uploads.with_idle_timeout(body)))
            .await;
        Ok(relay::fit_to_version(version, response))
    }

    async fn dispatch(self: &Arc<Self>, request: Request<NodeBody>) -> Response<NodeBody> {
        let path = request.uri().path_and_query();
        let path = path.map_or("/", |path| path.as_str()).to_owned();
        if let Some(rest) = path.strip_prefix(header::TICKETED_PREFIX) {
            return self.serve_ticketed(rest, request).await;
        }
        if let Some(rest) = path.strip_prefix(header::TICKETS_PREFIX) {
            let (parts, _) = request.into_parts();
            return self.serve_batch(rest, &parts).await;
        }
        if path.starts_with(header::RESERVED_PREFIX) {
            return bad_request("this path belongs to the system and names nothing");
        }
        let Some(to) = ServicePath::split(&path) else {
            return bad_request("the path names no service: /<service>/<path>");
        };
        self.serve_plain(to, request).await
    }

    async fn serve_plain(
        self: &Arc<Self>,
        to: ServicePath,
        request: Request<NodeBody>,
    ) -> Response<NodeBody> {
        let (entry, view) = match self.find_service(&to.service).await {
            Ok(found) => found,
            Err(refusal) => return self.refuse_unavailable(&to.service, &refusal),
        };
        let (parts, body) = request.into_parts();
        let call = CallerCall::read(&parts, to, Arc::clone(&view.policy), self.clock.now());
        if call.depth > MAX_DEPTH {
            return bad_request("the call is nested too deeply");
        }
        let sample = Sample::start(&call);
        let response = if call.idempotent {
            let request = Request::from_parts(parts, body);
            idempotent::serve(Arc::clone(self), entry, call, request).await
        } else {
            tickets::redirect(self, &entry, &call, &parts.headers, body).await
        };
        sample.record(&self.metrics, &response);
        response
    }

    async fn serve_ticketed(
        self: &Arc<Self>,
        rest: &str,
        request: Request<NodeBody>,
    ) -> Response<NodeBody> {
        let Some((ticket, path)) = rest.split_once('/') else {
            return bad_request("the path names no service behind the ticket");
        };
        let ticket = match Ticket::decode(ticket) {
            Ok(ticket) => ticket,
            Err(error) => return bad_request(&error.to_string()),
        };
        let Some(to) = ServicePath::split(&format!("/{path}")) else {
            return bad_request("the path names no service behind the ticket");
        };
        if to.service != ticket.service {
            return bad_request("the ticket was written for another service");
        }
        // An earlier send under this ticket may have run, and only the ticket's
        // gate knows whether it did. The entry itself must therefore never
        // report "not run" here.
        let Ok((entry, view)) = self.find_service(&to.service).await else {
            let wait = NO_CONFIGURATION_RETRY_MS;
            let refusal = Refusal::retry_after(ResultCode::GateUnreachable, wait);
            return self.refuse_unavailable(&to.service, &refusal);
        };
        let (parts, body) = request.into_parts();
        let call = CallerCall::read(&parts, to, Arc::clone(&view.policy), self.clock.now());
        let sample = Sample::start(&call);
        let request = Request::from_parts(parts, body);
        let response = ticketed::serve(self, &entry, call, &ticket, request).await;
        sample.record(&self.metrics, &response);
        response
    }

    async fn serve_batch(self: &Arc<Self>, rest: &str, request: &Parts) -> Response<NodeBody> {
        let (name, query) = match rest.split_once('?') {
            Some((name, query)) => (name, Some(query)),
            None => (rest, None),
        };
        if request.method != http::Method::POST {
            return bad_request("tickets are fetched with POST");
        }
        match self.find_service(&ServiceName::new(name)).await {
            Ok((entry, view)) => tickets::batch(&entry, &view.policy, &request.headers, query),
            Err(refusal) => answer::from_refusal(&refusal),
        }
    }

    /// Finds the entry of a service. If this node does not track the service
    /// yet, requests it from the control thread and waits for its routes.
    async fn find_service(
        &self,
        service: &ServiceName,
    ) -> Result<(Arc<Entry>, Arc<ServiceView>), Refusal> {
        if let Some(found) = self.board.entry(service.as_str()) {
            self.control.sent_to(service);
            return Ok(found);
        }
        let routes = self.board.routes();
        if routes.version.is_none() {
            return Err(Refusal::retry_after(
                ResultCode::NoConfiguration,
                NO_CONFIGURATION_RETRY_MS,
            ));
        }
        if !routes.service_names.contains(service) {
            return Err(Refusal::fixed(ResultCode::UnknownService));
        }
        self.control.service_requested(service);
        let give_up = self.clock.to_instant(self.clock.now() + SERVICE_WAIT_MS);
        let mut published = self.published.clone();
        loop {
            if let Some(found) = self.board.entry(service.as_str()) {
                return Ok(found);
            }
            match tokio::time::timeout_at(give_up, published.changed()).await {
                Ok(Ok(())) => {}
                _ => break,
            }
        }
        Err(Refusal::retry_after(
            ResultCode::NoTarget,
            NO_CONFIGURATION_RETRY_MS,
        ))
    }

    /// Refuses a call whose service is unavailable and counts it, so that an
    /// outage for lack of a configuration shows in the metrics.
    fn refuse_unavailable(&self, service: &ServiceName, refusal: &Refusal) -> Response<NodeBody> {
        self.metrics.call_ended(&CallSample {
            service: service.as_str(),
            class: CallClass::default(),
            tenant: "",
            code: refusal.code,
            latency_us: 0,
        });
        answer::from_refusal(refusal)
    }

    /// Forwards the load report of an answer to the control thread.
    fn report_load(&self, vm: &VmId, headers: &HeaderMap) {
        let Some(load) = answer::text(headers, header::LOAD) else {
            return;
        };
        if let Ok(report) = load.parse() {
            self.control.load_reported(vm, report);
        }
    }
}

/// Data of a call that is recorded in the metrics when the call ends.
struct Sample {
    service: ServiceName,
    class: CallClass,
    tenant: TenantName,
    started_at: Instant,
}

impl Sample {
    fn start(call: &CallerCall) -> Self {
        Self {
            service: call.to.service.clone(),
            class: call.class,
            tenant: call.tenant.clone(),
            started_at: Instant::now(),
        }
    }

    fn record(&self, metrics: &Metrics, response: &Response<NodeBody>) {
        let latency_us = self.started_at.elapsed().as_micros();
        metrics.call_ended(&CallSample {
            service: self.service.as_str(),
            class: self.class,
            tenant: self.tenant.as_str(),
            code: answer::code_of(response.headers()).unwrap_or(ResultCode::Answered),
            latency_us: u64::try_from(latency_us).unwrap_or(u64::MAX),
        });
    }
}

fn bad_request(reason: &str) -> Response<NodeBody> {
    answer::from_code(ResultCode::BadRequest, reason)
}
