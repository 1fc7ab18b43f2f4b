//! The gate: what other nodes send to this node's target.

mod board;
mod call;
mod recorded;
mod streamed;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::header;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::Notify;

pub use board::GateBoard;

use crate::answer;
use crate::body::NodeBody;
use crate::clock::ProcessClock;
use crate::control_loop::ControlHandle;
use crate::metrics::{Metrics, Side};
use crate::target_client::TargetClient;
use crate::uploads::UploadLimits;
use call::GateCall;

/// After a target's own shedding, a caller does better elsewhere at once; the
/// entry retries within its budget, and a final answer waits this long.
const SHED_RETRY_MS: Millis = Millis(250);
/// A target that has answered nothing for this long is asked for its health.
const HEALTH_SILENCE_MS: Millis = Millis(1_000);

/// What a gate is put together from.
#[derive(Debug)]
pub struct GateParts {
    /// This node's VM.
    pub vm: VmId,
    /// The service of the target.
    pub service: ServiceName,
    /// The decisions.
    pub board: Arc<GateBoard>,
    /// The target's address.
    pub target: SocketAddr,
    /// The process's clock.
    pub clock: ProcessClock,
    /// The control thread.
    pub control: ControlHandle,
    /// Counts and histograms.
    pub metrics: Arc<Metrics>,
    /// Bounds on uploads.
    pub uploads: UploadLimits,
}

/// The target's own state as the gate has seen it.
#[derive(Debug)]
struct TargetState {
    draining: bool,
    reachable: bool,
    /// When an answer of the target last asked for draining.
    draining_word_at: Option<Millis>,
    /// When the target last answered anything.
    answered_at: Option<Millis>,
}

/// The gate's side of the daemon.
#[derive(Debug)]
pub struct GateServer {
    /// This node's VM.
    vm: VmId,
    /// The service of the target.
    service: ServiceName,
    /// The decisions.
    pub board: Arc<GateBoard>,
    /// Connections to the target.
    pub target: TargetClient,
    /// The process's clock.
    clock: ProcessClock,
    /// Bounds on uploads.
    uploads: UploadLimits,
    /// The control thread.
    control: ControlHandle,
    /// Counts and histograms.
    metrics: Arc<Metrics>,
    /// What is known of the target's own state.
    target_state: Mutex<TargetState>,
    /// Health checks sent to the target.
    probes: AtomicU64,
    /// The process was told to end.
    shutting_down: AtomicBool,
    /// Ticketed runs that go on apart from any connection.
    tracked_runs: AtomicUsize,
    /// Wakes who waits for the tracked runs to end.
    tracked_ended: Notify,
}

impl GateServer {
    /// A gate in front of the target at `target`.
    #[must_use]
    pub fn new(parts: GateParts) -> Self {
        let GateParts {
            vm,
            service,
            board,
            target,
            clock,
            control,
            metrics,
            uploads,
        } = parts;
        Self {
            vm,
            service,
            board,
            target: TargetClient::new(target),
            clock,
            uploads,
            control,
            metrics,
            target_state: Mutex::new(TargetState {
                draining: false,
                reachable: true,
                draining_word_at: None,
                answered_at: None,
            }),
            probes: AtomicU64::new(0),
            shutting_down: AtomicBool::new(false),
            tracked_runs: AtomicUsize::new(0),
            tracked_ended: Notify::new(),
        }
    }

    /// Answers one request of another node.
    ///
    /// # Errors
    ///
    /// Never; the type is what the HTTP server wants.
    pub async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<NodeBody>, Infallible> {
        let mut response = self
            .dispatch(request.map(|body| self.uploads.guard(body)))
            .await;
        if let Some(code) = answer::code_of(response.headers())
            && code.certainty() != Certainty::Answered
        {
            self.metrics.gate_refused(code);
        }
        let load = self.board.load().to_string();
        let load = HeaderValue::from_str(&load).expect("a load report is digits and commas");
        response.headers_mut().insert(header::LOAD, load);
        Ok(response)
    }

    async fn dispatch(self: &Arc<Self>, request: Request<NodeBody>) -> Response<NodeBody> {
        let headers = request.headers();
        let ticket = match read_ticket(headers) {
            Ok(ticket) => ticket,
            Err(reason) => return answer::from_code(ResultCode::BadRequest, &reason),
        };
        // Before anything else: about a ticket of another gate or life, this
        // process knows nothing, so it may not say "not run" for any reason.
        if ticket
            .as_ref()
            .is_some_and(|ticket| !self.is_named_by(ticket))
        {
            return answer::from_refusal(&Refusal::fixed(ResultCode::WrongGate));
        }
        let Some(policy) = self.board.policy() else {
            let code = match ticket {
                Some(_) => ResultCode::GateUnreachable,
                None => ResultCode::NoConfiguration,
            };
            return answer::from_refusal(&Refusal::retry_after(code, SHED_RETRY_MS));
        };
        if answer::text(headers, header::SERVICE) != Some(self.service.as_str()) {
            return answer::from_code(ResultCode::NoTarget, "this VM runs another service");
        }
        self.note_sender(headers);
        let path = request.uri().path();
        let method = request.method().as_str();
        let call = GateCall::read(policy, method, path, headers, self.clock.now());
        if path == header::FENCE_PATH {
            let Some(ticket) = ticket else {
                return answer::from_code(ResultCode::BadRequest, "a fence needs a ticket");
            };
            return recorded::serve_fence(self, &ticket, call.deadline_at).await;
        }
        // The entry's view of what is idempotent may be older than this one's.
        // The stricter of the two wins: a call that needs a ticket here is
        // never run without one.
        let is_idempotent = call.policy.is_idempotent(method, path);
        match ticket {
            Some(ticket) => recorded::serve(self, call, &ticket, request).await,
            None if is_idempotent => streamed::serve(self, call, request).await,
            None => answer::from_code(ResultCode::TicketNeeded, "this call needs a ticket"),
        }
    }

    fn is_named_by(&self, ticket: &Ticket) -> bool {
        ticket.gate == self.vm
            && ticket.service == self.service
            && ticket.incarnation == self.board.incarnation()
    }

    /// Builds the request that the target sees.
    fn request_for_target(
        &self,
        call: &GateCall,
        ticket: Option<&Ticket>,
        parts: Parts,
        body: NodeBody,
    ) -> Request<NodeBody> {
        let mut parts = parts;
        answer::strip_hop_by_hop(&mut parts.headers);
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        parts.uri = path
            .parse::<Uri>()
            .expect("a path that came over HTTP is valid");
        parts.version = http::Version::HTTP_11;
        let headers = &mut parts.headers;
        let host = self.target.address().to_string();
        let host = HeaderValue::from_str(&host).expect("an address is plain ASCII");
        headers.insert(http::header::HOST, host);
        headers.remove(header::TICKET);
        headers.remove(header::ENTRY);
        headers.remove(header::SUSPECT);
        headers.remove(header::GATE_DEADLINE_AT_MS);
        let left_ms = call.deadline_at.since(self.clock.now());
        headers.insert(header::DEADLINE_MS, HeaderValue::from(left_ms.0));
        headers.insert(header::DEPTH, HeaderValue::from(call.depth));
        headers.remove(header::KEY);
        if let Some(ticket) = ticket {
            let key = HeaderValue::from_str(&ticket.key.to_string()).expect("a key is hex");
            headers.insert(header::KEY, key);
        }
        Request::from_parts(parts, body)
    }

    /// Learns from an answer whether the target wants no new work.
    fn note_target_state(&self, headers: &HeaderMap) {
        let now = self.clock.now();
        let draining = answer::text(headers, header::STATE) == Some(header::STATE_DRAINING);
        let mut state = self.target_state.lock();
        state.answered_at = Some(now);
        if draining {
            state.draining_word_at = Some(now);
        }
        drop(state);
        if draining {
            self.set_target_draining(true);
        }
    }

    /// The target began or ended draining. Ending needs the health endpoint's
    /// word; a single answer without the header proves nothing.
    pub fn set_target_draining(&self, draining: bool) {
        self.change_target_state(|state| state.draining = draining);
    }

    /// Connections to the target can be had, or not.
    pub fn set_target_reachable(&self, reachable: bool) {
        self.change_target_state(|state| state.reachable = reachable);
    }

    /// Health is asked for while the target is in doubt, or silent.
    #[must_use]
    pub fn needs_health_check(&self) -> bool {
        let now = self.clock.now();
        let state = self.target_state.lock();
        if state.draining || !state.reachable {
            return true;
        }
        state
            .answered_at
            .is_none_or(|at| now.since(at) >= HEALTH_SILENCE_MS)
    }

    /// Time since an answer last asked for draining.
    #[must_use]
    pub fn draining_word_age_ms(&self, now: Millis) -> Millis {
        match self.target_state.lock().draining_word_at {
            Some(at) => now.since(at),
            None => Millis::MAX,
        }
    }

    /// Counts a health check.
    pub fn note_probe(&self) {
        self.probes.fetch_add(1, Ordering::Relaxed);
        self.metrics.probe_sent(self.service.as_str());
    }

    /// Health checks sent to the target since the start.
    #[must_use]
    pub fn probes(&self) -> u64 {
        self.probes.load(Ordering::Relaxed)
    }

    /// The process shuts down: refuses new work from now on, whatever the
    /// target's own state.
    pub fn start_leaving(&self) {
        self.shutting_down.store(true, Ordering::Release);
        self.board.set_leaving(true);
    }

    /// Whether the process was told to end.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Acquire)
    }

    fn change_target_state(&self, change: impl FnOnce(&mut TargetState)) {
        let mut state = self.target_state.lock();
        let before = (state.draining, state.reachable);
        change(&mut state);
        let after = (state.draining, state.reachable);
        if before == after {
            return;
        }
        log::info!("the target: draining {}, reachable {}", after.0, after.1);
        let leaving = after.0 || self.shutting_down.load(Ordering::Acquire);
        self.board.set_leaving(leaving);
        self.control.target_state(after.0, after.1);
    }

    /// Tells the control thread which entry sent work lately, so that leaving
    /// can be announced to it first.
    fn note_sender(&self, headers: &HeaderMap) {
        let Some(entry) = answer::text(headers, header::ENTRY) else {
            return;
        };
        let Ok(address) = entry.parse::<SocketAddr>() else {
            return;
        };
        self.control.received_from(address);
    }

    /// A run broke. When the target also refuses new connections it has
    /// crashed, and what was in flight is suspected.
    ///
    /// Called before the broken run is ended: all runs of the same crash are
    /// then still counted as in flight, whichever of them notices first.
    async fn notice_broken_run(&self) {
        if self.target.accepts_connections().await {
            return;
        }
        self.set_target_reachable(false);
        for entry in self.board.target_crashed() {
            log::warn!(
                "the target crashed with request {:016x} in flight",
                entry.fingerprint
            );
            self.control.suspicion(entry);
        }
    }

    /// Takes an entry's word that an earlier attempt of a request broke, and
    /// spreads it: the gate of that attempt may have gone down with its target.
    fn report_suspect(&self, fingerprint: u64) {
        if let Some(entry) = self.board.report_suspect(fingerprint) {
            self.control.suspicion(entry);
        }
    }

    /// Counts what the gate added to a call, its queue included.
    fn note_added(&self, arrived_at: Instant, run: Duration) {
        let added = arrived_at.elapsed().saturating_sub(run);
        let added_us = u64::try_from(added.as_micros()).unwrap_or(u64::MAX);
        self.metrics.added(Side::Gate, added_us);
    }

    /// Lets held calls expire, and passes on whom the gate has cleared.
    pub fn tick(&self) {
        self.board.tick();
        for entry in self.board.take_cleared() {
            self.control.suspicion(entry);
        }
    }

    /// Spawns a run that outlives its connection and is waited for at exit.
    fn spawn_tracked(self: &Arc<Self>, run: impl Future<Output = ()> + Send + 'static) {
        self.tracked_runs.fetch_add(1, Ordering::AcqRel);
        let tracked = TrackedRun(Arc::clone(self));
        tokio::spawn(async move {
            run.await;
            drop(tracked);
        });
    }

    /// Waits until nothing is held or running.
    pub async fn drained(&self) {
        const POLL: Millis = Millis(10);
        loop {
            let is_empty = self.board.active_calls() == 0;
            if is_empty && self.tracked_runs.load(Ordering::Acquire) == 0 {
                return;
            }
            // Streamed calls end without a notification, so look again soon.
            let _ = tokio::time::timeout(POLL.to_duration(), self.tracked_ended.notified()).await;
        }
    }

    /// The VM of this gate.
    #[must_use]
    pub fn vm(&self) -> &VmId {
        &self.vm
    }
}

/// Counts a tracked run until it is dropped, also when it panics.
struct TrackedRun(Arc<GateServer>);

impl Drop for TrackedRun {
    fn drop(&mut self) {
        self.0.tracked_runs.fetch_sub(1, Ordering::AcqRel);
        self.0.tracked_ended.notify_waiters();
    }
}

fn read_ticket(headers: &HeaderMap) -> Result<Option<Ticket>, String> {
    let Some(text) = headers.get(header::TICKET) else {
        return Ok(None);
    };
    let text = text.to_str().map_err(|error| error.to_string())?;
    let ticket = Ticket::decode(text).map_err(|error| error.to_string())?;
    Ok(Some(ticket))
}

/// A target's own statement that it did not run the request.
fn is_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(header::NOT_RUN)
}

/// Whether only the closing of the connection ends the answer's body.
///
/// Such an answer looks whole when the target dies in the middle of it. It is
/// refused, so that a short body can never reach a caller as a whole one.
fn ends_by_close<B: http_body::Body>(response: &Response<B>) -> bool {
    if response.body().is_end_stream() || response.body().size_hint().exact().is_some() {
        return false;
    }
    !response
        .headers()
        .contains_key(http::header::TRANSFER_ENCODING)
}
