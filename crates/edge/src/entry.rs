//! The entry: finds a target for each request of a caller.

mod answer;
mod call;
mod progress;
mod state;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use hornbeamhitch_dispatch::retry_budget::RetryLimit;
use hornbeamhitch_node::metrics::{CallSample, Metrics};
use hornbeamhitch_types::prelude::CallClass;
use parking_lot::Mutex;

use crate::gate::Gate;
use crate::http1::{self, RequestHead};
use crate::link::LinkPool;
use crate::prelude::*;
pub use answer::CallerAnswer;
use answer::Given;
use call::CallRun;
use state::EntryState;

/// A node without a configuration asks to come back after this span: a store
/// that is reached answers within milliseconds.
const NO_CONFIGURATION_RETRY_MS: Millis = Millis(300);
/// Longest time that a caller may ask for.
const MAX_DEADLINE_MS: Millis = Millis::from_secs(600);

/// A request whose body is whole.
#[derive(Debug)]
pub struct CallerRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// When its head was read.
    pub arrived: Millis,
}

/// What an entry is put together from.
#[derive(Debug)]
pub struct EntryParts {
    /// Service beside which requests begin here.
    pub service: ServiceName,
    /// Where this VM stands.
    pub data_centre: DataCentre,
    /// Port at which gates listen on every VM.
    pub gate_port: u16,
    /// The target of this VM.
    pub target_address: std::net::SocketAddr,
    /// The gate of this VM.
    pub gate: Arc<Gate>,
    /// Facts in force.
    pub directory: SharedDirectory,
    /// Names of header fields.
    pub dialect: Arc<dyn Dialect>,
    /// The process's clock.
    pub clock: ProcessClock,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Counts and histograms.
    pub metrics: Arc<Metrics>,
    /// Limit on extra arrivals at a service.
    pub retry_limit: RetryLimit,
    /// Seed of all chance.
    pub seed: u64,
}

/// The entry of this VM.
#[derive(Debug)]
pub struct Entry {
    service: ServiceName,
    data_centre: DataCentre,
    gate_port: u16,
    target_address: std::net::SocketAddr,
    gate: Arc<Gate>,
    links: Arc<LinkPool>,
    directory: SharedDirectory,
    dialect: Arc<dyn Dialect>,
    clock: ProcessClock,
    incarnation: Incarnation,
    metrics: Arc<Metrics>,
    state: Mutex<EntryState>,
    last_key: AtomicU64,
}

impl Entry {
    /// An entry that knows nothing of its targets yet.
    #[must_use]
    pub fn new(parts: EntryParts) -> Self {
        Self {
            service: parts.service,
            data_centre: parts.data_centre,
            gate_port: parts.gate_port,
            target_address: parts.target_address,
            gate: parts.gate,
            links: Arc::default(),
            directory: parts.directory,
            dialect: parts.dialect,
            clock: parts.clock,
            incarnation: parts.incarnation,
            metrics: parts.metrics,
            state: Mutex::new(EntryState::new(parts.seed, parts.retry_limit)),
            last_key: AtomicU64::new(0),
        }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Bounds on callers, as configured.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        let directory = self.directory.load();
        let routes = directory.routes.as_ref();
        routes.map_or_else(CallerLimits::default, |routes| *routes.limits())
    }

    /// How long a body may take: as long as its caller waits at all.
    #[must_use]
    pub fn body_timeout_ms(&self, head: &RequestHead) -> Millis {
        let asked = self.asked_deadline_ms(head);
        asked.unwrap_or(self.caller_limits().idle_timeout_ms)
    }

    /// Takes over a changed limit on extra arrivals.
    pub fn set_retry_limit(&self, limit: RetryLimit) {
        self.state.lock().set_retry_limit(limit);
    }

    /// Forgets what belongs to targets and routes that are gone.
    pub fn forget_departed(&self) {
        let directory = self.directory.load();
        let mut state = self.state.lock();
        state.retain(&directory);
        drop(state);
        let members = Arc::clone(&directory.members);
        let port = self.gate_port;
        self.links
            .retain(|gate| gate.port() == port && members.has_vm(gate.ip()));
    }

    /// Answers one request.
    pub async fn serve(self: &Arc<Self>, request: CallerRequest) -> CallerAnswer {
        let arrived = request.arrived;
        let directory = self.directory.load_full();
        let Some(routes) = directory.routes.as_ref() else {
            let given = Given::refused(ResultCode::NoConfiguration, NO_CONFIGURATION_RETRY_MS);
            return self.record("", "", CallClass::default(), arrived, given);
        };
        let host = http1::field(&request.head.fields, "host").unwrap_or_default();
        let Some(route) = routes.find(host, request.head.path_only()) else {
            let given = Given::fixed(ResultCode::UnknownService);
            return self.record("", "", CallClass::default(), arrived, given);
        };
        let names = self.dialect.names();
        let Some(request_id) = http1::field(&request.head.fields, names.request_id) else {
            let given = Given::fixed(ResultCode::BadRequest);
            return self.record("", "", CallClass::default(), arrived, given);
        };
        let request_id = request_id.to_owned();
        let service = self.state.lock().splitter.choose(route);
        let asked_ms = self.asked_deadline_ms(&request.head);
        let deadline_ms = asked_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let run = CallRun::new(
            self,
            call::CallParts {
                route: Arc::clone(route),
                service: service.clone(),
                request_id: request_id.clone(),
                deadline_at: arrived + deadline_ms,
                request,
            },
        );
        let class = class_of(route);
        let given = run.serve().await;
        self.record(&request_id, service.as_str(), class, arrived, given)
    }

    /// What the caller says that it will wait.
    fn asked_deadline_ms(&self, head: &RequestHead) -> Option<Millis> {
        let asked = http1::field(&head.fields, self.dialect.names().deadline_ms)?;
        let asked_ms = asked.parse().ok().map(Millis)?;
        Some(asked_ms.min(MAX_DEADLINE_MS))
    }

    /// The key of one send; no two sends of any process share one.
    fn next_key(&self) -> CallKey {
        let number = self.last_key.fetch_add(1, Ordering::Relaxed) + 1;
        CallKey(u128::from(self.incarnation.0) << 64 | u128::from(number))
    }

    /// Writes down how a call ended.
    fn record(
        &self,
        request_id: &str,
        service: &str,
        class: CallClass,
        arrived: Millis,
        given: Given,
    ) -> CallerAnswer {
        let took_ms = self.clock.now().since(arrived);
        self.metrics.call_ended(&CallSample {
            service,
            class,
            tenant: "",
            code: given.code,
            latency_us: took_ms.0 * 1_000,
        });
        let code = given.code.number();
        let status = given.answer.status;
        if given.code == ResultCode::Answered {
            log::info!(request = request_id, service, code, status, took_ms = took_ms.0; "answered");
        } else {
            let reason = given.reason;
            log::warn!(
                request = request_id, service, code, status, took_ms = took_ms.0, reason;
                "not served: {}", given.code
            );
        }
        given.answer
    }
}

/// Rank of a route's calls in histograms.
fn class_of(route: &Route) -> CallClass {
    match route.kind {
        CallKind::Idempotent => CallClass::Interactive,
        CallKind::NonIdempotent => CallClass::Payment,
        CallKind::Upload => CallClass::Upload,
    }
}
