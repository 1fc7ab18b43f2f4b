//! The entry: finds a target for each request of a caller.

mod answer;
mod call;
mod ended;
mod progress;
mod state;
mod trail;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use hornbeamhitch_core::suspects::CONVICTED_RETRY_AFTER_MS;
use hornbeamhitch_dispatch::retry_budget::RetryLimit;
use hornbeamhitch_node::metrics::Metrics;
use hornbeamhitch_node::uploads::{Reservation, UploadLimits};
use parking_lot::Mutex;
use rand::RngExt;

use crate::directory::Directory;
use crate::gate::Gate;
use crate::http1::{self, RequestHead};
use crate::link::LinkPool;
use crate::prelude::*;
use crate::suspicion::{self, Suspicion};
pub use answer::CallerAnswer;
use answer::Given;
use call::CallRun;
use ended::{CallerLeaves, Ended};
use state::EntryState;

/// A node without a configuration asks to come back after this span: a store
/// that is reached answers within milliseconds.
const NO_CONFIGURATION_RETRY_MS: Millis = Millis(300);
/// Bodies that fill a node's memory belong to calls that end within a second.
const NO_ROOM_RETRY_MS: Millis = Millis(500);
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
    /// Memory for its body, held until its answer is known.
    pub reservation: Reservation,
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
    pub listed_address: std::net::SocketAddr,
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
    /// What is held against requests.
    pub suspicion: Arc<Suspicion>,
    /// Limit on extra arrivals at a service.
    pub retry_limit: RetryLimit,
    /// Bounds on bodies.
    pub uploads: UploadLimits,
    /// Seed of all chance.
    pub seed: u64,
}

/// The entry of this VM.
#[derive(Debug)]
pub struct Entry {
    service: ServiceName,
    data_centre: DataCentre,
    gate_port: u16,
    listed_address: std::net::SocketAddr,
    gate: Arc<Gate>,
    links: Arc<LinkPool>,
    directory: SharedDirectory,
    dialect: Arc<dyn Dialect>,
    clock: ProcessClock,
    incarnation: Incarnation,
    metrics: Arc<Metrics>,
    suspicion: Arc<Suspicion>,
    uploads: UploadLimits,
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
            listed_address: parts.listed_address,
            gate: parts.gate,
            links: Arc::new(LinkPool::new(
                Arc::clone(&parts.suspicion),
                Arc::clone(&parts.directory),
            )),
            directory: parts.directory,
            dialect: parts.dialect,
            clock: parts.clock,
            incarnation: parts.incarnation,
            metrics: parts.metrics,
            suspicion: parts.suspicion,
            uploads: parts.uploads,
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

    /// Memory for a body, to be grown as it arrives.
    #[must_use]
    pub fn reserve_body(&self) -> Reservation {
        self.uploads.reserve()
    }

    /// The answer where no memory is left for a body: it has not run.
    #[must_use]
    pub fn no_room(&self) -> CallerAnswer {
        Given::refused(ResultCode::Overloaded, NO_ROOM_RETRY_MS).answer
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
        state.retain(&directory, self.clock.now());
        drop(state);
        let vms = directory.members.vms();
        let port = self.gate_port;
        self.links
            .retain(|gate| gate.port() == port && vms.contains(&gate.ip()));
    }

    /// Whether this node reaches no other VM any more.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        let others = self.other_vms().len();
        self.state
            .lock()
            .reach
            .is_partitioned(others, self.clock.now())
    }

    /// Asks another VM whether it is there, while this node seems cut off: its
    /// callers are sent elsewhere, so no call would show that it is back.
    pub async fn look_for_others(&self) {
        if !self.is_cut_off() {
            return;
        }
        let others = self.other_vms();
        if others.is_empty() {
            return;
        }
        let vm = self.state.lock().rng.random_range(0..others.len());
        let gate = std::net::SocketAddr::new(others[vm], self.gate_port);
        if self.links.is_reachable(gate).await {
            log::info!("another VM is reached again");
            self.state.lock().reach.note_reached(self.clock.now());
        }
    }

    fn other_vms(&self) -> Vec<std::net::IpAddr> {
        let mut vms = self.directory.load().members.vms();
        vms.remove(&self.listed_address.ip());
        vms.into_iter().collect()
    }

    /// Answers one request.
    pub async fn serve(self: &Arc<Self>, request: CallerRequest) -> CallerAnswer {
        let directory = self.directory.load_full();
        let known = match self.identify(&directory, &request) {
            Ok(known) => known,
            Err(given) => {
                let ended = Ended::unrouted(&request, &directory, self.dialect.names());
                return self.record(&ended, given);
            }
        };
        let arrived = request.arrived;
        let timeout_ms = known.route.timeout_ms;
        let asked_ms = self.asked_deadline_ms(&request.head);
        let asked_until = arrived + asked_ms.unwrap_or(timeout_ms);
        let deadline_ms = asked_ms.unwrap_or(timeout_ms).min(timeout_ms);
        let service = self.state.lock().splitter.choose(known.route);
        let first_arrived = self.first_arrived(known.fingerprint, asked_until, arrived);
        let run = CallRun::new(
            self,
            call::CallParts {
                route: Arc::clone(known.route),
                service: service.clone(),
                request_id: known.request_id.clone(),
                fingerprint: known.fingerprint,
                deadline_at: arrived + deadline_ms,
                first_arrived,
                request,
            },
        );
        let leaving = CallerLeaves::watch(&known.request_id, service.as_str(), arrived, self.clock);
        let (given, trail) = run.serve().await;
        leaving.end_answered();
        if given.may_come_back() {
            let mut state = self.state.lock();
            state
                .returning
                .note_refused(known.fingerprint, asked_until, first_arrived);
        }
        let ended = Ended {
            request_id: known.request_id,
            service: service.as_str(),
            route: &known.route.name,
            class: ended::class_of(known.route),
            config_version: known.config_version,
            known_ms: directory.as_of.age_ms(arrived),
            arrived,
            trail,
        };
        self.record(&ended, given)
    }

    /// Finds the route of a request and what it is known by, or the answer to
    /// one that is sent nowhere.
    fn identify<'a>(
        &self,
        directory: &'a Directory,
        request: &CallerRequest,
    ) -> Result<Known<'a>, Given> {
        let CallerRequest { head, body, .. } = request;
        let Some(routes) = directory.routes.as_ref() else {
            return Err(Given::refused(
                ResultCode::NoConfiguration,
                NO_CONFIGURATION_RETRY_MS,
            ));
        };
        let host = http1::field(&head.fields, "host").unwrap_or_default();
        let Some(route) = routes.find(host, head.path_only()) else {
            return Err(Given::fixed(ResultCode::UnknownService));
        };
        let names = self.dialect.names();
        let Some(request_id) = http1::field(&head.fields, names.request_id) else {
            return Err(Given::fixed(ResultCode::BadRequest));
        };
        let fingerprint = suspicion::fingerprint(&head.method, &head.path, body, &self.service);
        if self.suspicion.is_convicted(fingerprint) {
            return Err(Given::refused(
                ResultCode::CrashSuspect,
                CONVICTED_RETRY_AFTER_MS,
            ));
        }
        Ok(Known {
            route,
            config_version: routes.version(),
            request_id: request_id.to_owned(),
            fingerprint,
        })
    }

    /// When the caller of a request first asked.
    fn first_arrived(&self, fingerprint: u64, asked_until: Millis, arrived: Millis) -> Millis {
        let state = self.state.lock();
        state
            .returning
            .first_arrived(fingerprint, asked_until, arrived)
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
}

/// What an entry knows of a request that it can send on.
struct Known<'a> {
    route: &'a Arc<Route>,
    config_version: u64,
    request_id: String,
    /// What requests that crash targets are recognised by.
    fingerprint: u64,
}
