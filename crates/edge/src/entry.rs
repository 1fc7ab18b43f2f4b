//! The entry: routes each caller's request to a target.

mod answer;
mod call;
mod caller;
mod ended;
mod entering;
mod levels;
mod on_connection;
mod progress;
mod state;
mod trail;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use hornbeamhitch_dispatch::faults::crashes::CrashLevel;
use hornbeamhitch_dispatch::knowledge::waits::Waits;
use hornbeamhitch_dispatch::overload::entry_admission::Entering;
use hornbeamhitch_dispatch::overload::retry_budget::RetryLimit;
use hornbeamhitch_dispatch::overload::{OverloadPart, OverloadParts};
use hornbeamhitch_dispatch::routing::regions::Regions;
use hornbeamhitch_node::metrics::Metrics;
use parking_lot::Mutex;
use rand::RngExt;

use crate::directory::{Directory, RouteLookup};
use crate::gate::{Gate, LoadReports};
use crate::http1::{self, RequestHead};
use crate::link::LinkPool;
use crate::prelude::*;
use crate::resources::Resources;
use crate::silence::Silence;
use crate::suspicion::{self, Suspicion};
use answer::CallOutcome;
pub use answer::{AnsweredRequest, CallerAnswer, ServedAnswer};
use call::CallDriver;
use ended::{AbandonedCallLog, CallRecord};
use entering::Arrival;
pub use on_connection::{ConnectionCall, ConnectionCalls};
use state::EntryState;
use trail::Trail;

/// `Retry-After` of refusals while the node has no configuration. A reachable
/// store answers within milliseconds.
const NO_CONFIGURATION_RETRY_MS: Millis = Millis(300);
/// `Retry-After` of refusals while the configuration in force may be outdated. The
/// transfer of the newer one takes tenths of a second.
const OUTDATED_CONFIGURATION_RETRY_MS: Millis = Millis(300);
/// `Retry-After` of refusals while no memory is left. What fills the memory belongs to
/// calls that end within a second, or to slow peers that are closed after as long.
const MEMORY_RETRY_MS: Millis = Millis(500);
/// Reason under which the refusal of a call that no gate accepted is counted.
const NO_ROOM: &str = "no-room";
/// Upper limit on the deadline that a caller may request.
const MAX_DEADLINE_MS: Millis = Millis::from_secs(600);

/// A caller's request with its complete body.
#[derive(Debug)]
pub struct CallerRequest {
    /// The request head.
    pub head: RequestHead,
    /// The complete body.
    pub body: Bytes,
    /// When the first byte of the head arrived.
    pub arrived: Millis,
    /// Address from which the connection was opened.
    pub peer: std::net::IpAddr,
    /// Place of the call on its connection.
    pub on_connection: ConnectionCall,
}

/// Everything that [`Entry::new`] needs.
#[derive(Debug)]
pub struct EntryParts {
    /// Service on this VM, from which the requests originate.
    pub service: ServiceName,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Regions of the data centres.
    pub regions: Regions,
    /// Port on which the gates of all VMs listen.
    pub gate_port: u16,
    /// Listed address of this VM's own target.
    pub listed_address: std::net::SocketAddr,
    /// Gate of this VM's own target, called without a link.
    pub gate: Arc<Gate>,
    /// Routes and targets in force.
    pub directory: SharedDirectory,
    /// Header names of the deployment.
    pub dialect: Arc<dyn Dialect>,
    /// Times within which a configuration must be in force.
    pub waits: Waits,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Incarnation of this process, part of every call key.
    pub incarnation: Incarnation,
    /// Metrics of this node.
    pub metrics: Arc<Metrics>,
    /// Requests that are suspected of crashing targets.
    pub suspicion: Arc<Suspicion>,
    /// Limit on retries and hedges per service.
    pub retry_limit: RetryLimit,
    /// Parts of overload control that are switched off.
    pub overload_off: OverloadParts,
    /// Seed of the entry's random numbers.
    pub seed: u64,
}

/// Routes the requests of this VM's callers to targets.
#[derive(Debug)]
pub struct Entry {
    service: ServiceName,
    data_centre: DataCentre,
    regions: Regions,
    gate_port: u16,
    listed_address: std::net::SocketAddr,
    gate: Arc<Gate>,
    /// Reports of the own gate's load to this entry.
    own_load: Arc<LoadReports>,
    links: Arc<LinkPool>,
    silence: Arc<Silence>,
    directory: SharedDirectory,
    dialect: Arc<dyn Dialect>,
    waits: Waits,
    clock: ProcessClock,
    incarnation: Incarnation,
    metrics: Arc<Metrics>,
    suspicion: Arc<Suspicion>,
    state: Mutex<EntryState>,
    last_key: AtomicU64,
}

impl Entry {
    /// Creates an entry without any statistics about its targets.
    #[must_use]
    pub fn new(parts: EntryParts) -> Self {
        let silence = Arc::clone(parts.gate.silence());
        let resources = Arc::clone(parts.gate.resources());
        let state = EntryState::new(parts.seed, parts.retry_limit, parts.overload_off);
        silence.set_enabled(state.admission.has(OverloadPart::SilenceBound));
        Self {
            service: parts.service,
            data_centre: parts.data_centre,
            regions: parts.regions,
            gate_port: parts.gate_port,
            listed_address: parts.listed_address,
            own_load: Arc::new(LoadReports::new(Arc::clone(&parts.gate))),
            gate: parts.gate,
            links: Arc::new(LinkPool::new(
                Arc::clone(&parts.suspicion),
                Arc::clone(&parts.directory),
                Arc::clone(&silence),
                resources,
            )),
            silence,
            directory: parts.directory,
            dialect: parts.dialect,
            waits: parts.waits,
            clock: parts.clock,
            incarnation: parts.incarnation,
            metrics: parts.metrics,
            suspicion: parts.suspicion,
            state: Mutex::new(state),
            last_key: AtomicU64::new(0),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the configured limits on callers, or the defaults while the node has
    /// no configuration.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        let directory = self.directory.load();
        let routes = directory.routes.as_ref();
        routes.map_or_else(CallerLimits::default, |routes| *routes.limits())
    }

    /// Returns what the process holds for its peers.
    #[must_use]
    pub fn resources(&self) -> &Arc<Resources> {
        self.gate.resources()
    }

    /// Returns the refusal for a request that does not fit into memory. The request has
    /// not run.
    #[must_use]
    pub fn memory_exhausted(&self) -> CallerAnswer {
        CallOutcome::refused(ResultCode::Overloaded, MEMORY_RETRY_MS).answer
    }

    /// Returns how long the body may take to arrive: the caller's own deadline, or
    /// the idle timeout if the caller states none.
    #[must_use]
    pub fn body_timeout_ms(&self, head: &RequestHead) -> Millis {
        let requested = self.requested_deadline_ms(head);
        requested.unwrap_or(self.caller_limits().idle_timeout_ms)
    }

    /// Replaces the limit on retries and hedges after a reload.
    pub fn set_retry_limit(&self, limit: RetryLimit) {
        self.state.lock().set_retry_limit(limit);
    }

    /// Replaces the parts of overload control that are switched off after a reload.
    pub fn switch_overload_off(&self, parts: OverloadParts) {
        let mut state = self.state.lock();
        state.admission.switch_off(parts);
        let is_enabled = state.admission.has(OverloadPart::SilenceBound);
        self.silence.set_enabled(is_enabled);
    }

    /// Drops statistics and links of targets and routes that no longer exist.
    pub fn forget_departed(&self) {
        let directory = self.directory.load();
        let mut state = self.state.lock();
        state.retain(&directory, self.clock.now());
        drop(state);
        let vms = directory.members.vms();
        let port = self.gate_port;
        self.silence.retain(|vm| vms.contains(vm));
        self.links
            .retain(|gate| gate.port() == port && vms.contains(&gate.ip()));
    }

    /// Whether this node can no longer reach any other VM.
    #[must_use]
    pub fn is_partitioned(&self) -> bool {
        let others = self.other_vms().len();
        self.state
            .lock()
            .reachability
            .is_partitioned(others, self.clock.now())
    }

    /// Probes a random other VM while this node seems cut off. Its callers are then
    /// sent to other nodes, so no call would show that the network is back.
    pub async fn probe_other_vms(&self) {
        if !self.is_partitioned() {
            return;
        }
        let others = self.other_vms();
        if others.is_empty() {
            return;
        }
        let vm = self.state.lock().rng.random_range(0..others.len());
        let gate = std::net::SocketAddr::new(others[vm], self.gate_port);
        if self.links.is_reachable(gate).await {
            log::info!("another VM is reachable again");
            self.state
                .lock()
                .reachability
                .note_reached(self.clock.now());
        }
    }

    fn other_vms(&self) -> Vec<std::net::IpAddr> {
        let mut vms = self.directory.load().members.vms();
        vms.remove(&self.listed_address.ip());
        vms.into_iter().collect()
    }

    /// Serves one request and returns the answer for its caller.
    pub async fn serve(self: &Arc<Self>, request: CallerRequest) -> ServedAnswer {
        self.await_route(&request.head).await;
        let directory = self.directory.load_full();
        let routed = match self.resolve(&directory, &request) {
            Ok(routed) => routed,
            Err(outcome) => {
                let record = CallRecord::unrouted(&request, &directory, self.dialect.names());
                return ServedAnswer {
                    answer: self.log_call(&record, outcome),
                    request: AnsweredRequest {
                        request_id: record.request_id,
                        route: None,
                    },
                };
            }
        };
        let arrived = request.arrived;
        let timeout_ms = routed.route.timeout_ms;
        let requested_ms = self.requested_deadline_ms(&request.head);
        let requested_until = arrived + requested_ms.unwrap_or(timeout_ms);
        let deadline_ms = requested_ms.unwrap_or(timeout_ms).min(timeout_ms);
        let service = self.state.lock().splitter.choose(&routed.route);
        let first_arrived = self.first_arrived(routed.fingerprint, requested_until, arrived);
        let arrival = Arrival {
            route: &routed.route,
            service: &service,
            fingerprint: routed.fingerprint,
            requested_until,
        };
        let caller = caller::stated(
            &request.head.fields,
            request.peer,
            self.dialect.names(),
            self.listed_address.ip(),
        );
        let (outcome, trail) = match self.enter(&arrival, caller, &directory) {
            Entering::Refused { reason, retry_at } => {
                self.metrics.entry_refused(service.as_str(), reason.into());
                let retry_after_ms = retry_at.since(self.now());
                let outcome = CallOutcome::refused(ResultCode::Overloaded, retry_after_ms);
                (outcome.with_reason(reason.into()), Trail::default())
            }
            Entering::Admitted(admitted) => {
                let driver = CallDriver::new(
                    self,
                    call::CallParts {
                        route: Arc::clone(&routed.route),
                        service: service.clone(),
                        request_id: routed.request_id.clone(),
                        fingerprint: routed.fingerprint,
                        deadline_at: arrived + deadline_ms,
                        requested_until,
                        first_arrived,
                        admitted,
                        request,
                    },
                );
                let abandoned_log = AbandonedCallLog::arm(
                    &routed.request_id,
                    service.as_str(),
                    arrived,
                    self.clock,
                );
                let ended = driver.serve().await;
                abandoned_log.disarm();
                self.count_return(&service, &admitted, &ended.0);
                if ended.0.code == ResultCode::Overloaded {
                    self.metrics.entry_refused(service.as_str(), NO_ROOM);
                }
                ended
            }
        };
        if outcome.may_be_retried() {
            let mut state = self.state.lock();
            state.returning_callers.note_refused(
                routed.fingerprint,
                requested_until,
                first_arrived,
            );
        }
        let record = CallRecord {
            request_id: routed.request_id,
            service: service.as_str(),
            route: &routed.route.name,
            class: ended::class_of(&routed.route),
            config_version: routed.config_version,
            known_ms: directory.as_of.age_ms(arrived),
            routes_lag_ms: directory.routes_lag.lag_ms(arrived),
            arrived,
            trail,
        };
        ServedAnswer {
            answer: self.log_call(&record, outcome),
            request: AnsweredRequest {
                request_id: record.request_id,
                route: Some(Arc::clone(&routed.route)),
            },
        }
    }

    /// Waits for the parts of an overdue configuration that may contain the route of a request.
    async fn await_route(&self, head: &RequestHead) {
        if self.directory.load().pending.is_none() {
            return;
        }
        let host = http1::field(&head.fields, "host").unwrap_or_default();
        let max_wait_ms = self.waits.part_timeout_ms();
        let until = self.clock.now() + max_wait_ms;
        loop {
            let now = self.clock.now();
            let found = self
                .directory
                .load()
                .find(host, head.path_only(), &self.waits, now);
            match found {
                RouteLookup::Arriving { pending, part } if now < until => {
                    pending.parts.await_part(part, until.since(now)).await;
                }
                _ => return,
            }
        }
    }

    /// Finds the route of a request, or returns the refusal if it has none or must
    /// not run.
    fn resolve(
        &self,
        directory: &Directory,
        request: &CallerRequest,
    ) -> Result<RoutedRequest, CallOutcome> {
        let CallerRequest { head, body, .. } = request;
        let host = http1::field(&head.fields, "host").unwrap_or_default();
        let found = directory.find(host, head.path_only(), &self.waits, self.clock.now());
        let (route, config_version) = match found {
            RouteLookup::Found { route, version } => (route, version),
            RouteLookup::NoRoute => {
                return Err(CallOutcome::without_retry(ResultCode::UnknownService));
            }
            RouteLookup::Arriving { .. } | RouteLookup::Outdated => {
                return Err(CallOutcome::refused(
                    ResultCode::OutdatedConfiguration,
                    OUTDATED_CONFIGURATION_RETRY_MS,
                ));
            }
            RouteLookup::NoConfiguration => {
                return Err(CallOutcome::refused(
                    ResultCode::NoConfiguration,
                    NO_CONFIGURATION_RETRY_MS,
                ));
            }
        };
        let names = self.dialect.names();
        let Some(request_id) = http1::field(&head.fields, names.request_id) else {
            return Err(CallOutcome::without_retry(ResultCode::BadRequest));
        };
        let fingerprint = suspicion::fingerprint(host, &head.method, &head.path, body);
        if self.suspicion.level(fingerprint) == CrashLevel::Refused {
            return Err(CallOutcome::refused(
                ResultCode::CrashSuspect,
                self.suspicion.retry_after_ms(fingerprint),
            ));
        }
        Ok(RoutedRequest {
            route,
            config_version,
            request_id: request_id.to_owned(),
            fingerprint,
        })
    }

    /// Returns when the caller first sent this request. A retry of a refused request
    /// is recognised by its fingerprint and its deadline.
    fn first_arrived(&self, fingerprint: u64, requested_until: Millis, arrived: Millis) -> Millis {
        let state = self.state.lock();
        state
            .returning_callers
            .first_arrived(fingerprint, requested_until, arrived)
    }

    /// Returns how long the caller says it will wait, at most [`MAX_DEADLINE_MS`].
    fn requested_deadline_ms(&self, head: &RequestHead) -> Option<Millis> {
        let requested = http1::field(&head.fields, self.dialect.names().deadline_ms)?;
        let requested_ms = requested.parse().ok().map(Millis)?;
        Some(requested_ms.min(MAX_DEADLINE_MS))
    }

    /// Returns the key of the next attempt. Keys are unique across all processes,
    /// because they contain the incarnation.
    fn next_key(&self) -> CallKey {
        let number = self.last_key.fetch_add(1, Ordering::Relaxed) + 1;
        CallKey(u128::from(self.incarnation.0) << 64 | u128::from(number))
    }
}

/// A request that has a route.
struct RoutedRequest {
    route: Arc<Route>,
    config_version: u64,
    request_id: String,
    /// Identifies the request if it is suspected of crashing targets.
    fingerprint: u64,
}
