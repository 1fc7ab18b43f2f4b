//! The gate: admits calls from other nodes and runs them in this node's target.

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

/// Retry delay in the final answer to a call that the gate refuses because it
/// has no policy yet. An entry that retries does not wait for it: another
/// target is the better choice, so it retries there at once, within its budget.
const NO_POLICY_RETRY_MS: Millis = Millis(250);
/// Time without an answer after which the target's health is checked.
const HEALTH_CHECK_AFTER_MS: Millis = Millis(1_000);

/// The dependencies of a [`GateServer`].
#[derive(Debug)]
pub struct GateParts {
    /// This node's VM.
    pub vm: VmId,
    /// The target's service.
    pub service: ServiceName,
    /// The gate's decisions.
    pub board: Arc<GateBoard>,
    /// The target's address.
    pub target: SocketAddr,
    /// The process's clock.
    pub clock: ProcessClock,
    /// Handle to the control thread.
    pub control: ControlHandle,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Limits on uploads.
    pub uploads: UploadLimits,
}

/// The target's state as observed by the gate.
#[derive(Debug)]
struct TargetState {
    draining: bool,
    reachable: bool,
    /// When an answer of the target last requested draining.
    draining_answer_at: Option<Millis>,
    /// When the target last answered a request.
    answered_at: Option<Millis>,
}

/// Serves requests from other nodes.
#[derive(Debug)]
pub struct GateServer {
    /// This node's VM.
    vm: VmId,
    /// The target's service.
    service: ServiceName,
    /// The gate's decisions.
    pub board: Arc<GateBoard>,
    /// Connections to the target.
    pub target: TargetClient,
    /// The process's clock.
    clock: ProcessClock,
    /// Limits on uploads.
    uploads: UploadLimits,
    /// Handle to the control thread.
    control: ControlHandle,
    /// Counters and histograms.
    metrics: Arc<Metrics>,
    /// The observed state of the target.
    target_state: Mutex<TargetState>,
    /// Number of health checks sent to the target.
    probes: AtomicU64,
    /// Whether the process is shutting down.
    shutting_down: AtomicBool,
    /// Number of ticketed runs, which do not depend on a connection.
    tracked_runs: AtomicUsize,
    /// Notifies tasks that wait for the tracked runs to end.
    tracked_ended: Notify,
}

impl GateServer {
    /// Creates a gate in front of the target at `parts.target`.
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
                draining_answer_at: None,
                answered_at: None,
            }),
            probes: AtomicU64::new(0),
            shutting_down: AtomicBool::new(false),
            tracked_runs: AtomicUsize::new(0),
            tracked_ended: Notify::new(),
        }
    }

    /// Serves one request from another node.
    ///
    /// # Errors
    ///
    /// Never fails; the HTTP server requires a `Result`.
    pub async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<NodeBody>, Infallible> {
        let mut response = self
            .dispatch(request.map(|body| self.uploads.with_idle_timeout(body)))
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
        // This check must come first: the process knows nothing about a ticket
        // of another gate or incarnation, so it must not report "not run" for
        // any reason.
        if ticket
            .as_ref()
            .is_some_and(|ticket| !self.is_issued_here(ticket))
        {
            return answer::from_refusal(&Refusal::fixed(ResultCode::WrongGate));
        }
        let Some(policy) = self.board.policy() else {
            let code = match ticket {
                Some(_) => ResultCode::GateUnreachable,
                None => ResultCode::NoConfiguration,
            };
            return answer::from_refusal(&Refusal::retry_after(code, NO_POLICY_RETRY_MS));
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
        // The entry's policy may be older than this gate's. The stricter of the
        // two applies: a call that needs a ticket here never runs without one.
        let is_idempotent = call.policy.is_idempotent(method, path);
        match ticket {
            Some(ticket) => recorded::serve(self, call, &ticket, request).await,
            None if is_idempotent => streamed::serve(self, call, request).await,
            None => answer::from_code(ResultCode::TicketNeeded, "this call needs a ticket"),
        }
    }

    fn is_issued_here(&self, ticket: &Ticket) -> bool {
        ticket.gate == self.vm
            && ticket.service == self.service
            && ticket.incarnation == self.board.incarnation()
    }

    /// Builds the request that is sent to the target.
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
        let remaining_ms = call.deadline_at.since(self.clock.now());
        headers.insert(header::DEADLINE_MS, HeaderValue::from(remaining_ms.0));
        headers.insert(header::DEPTH, HeaderValue::from(call.depth));
        headers.remove(header::KEY);
        if let Some(ticket) = ticket {
            let key = HeaderValue::from_str(&ticket.key.to_string()).expect("a key is hex");
            headers.insert(header::KEY, key);
        }
        Request::from_parts(parts, body)
    }

    /// Updates the target's state from an answer, which may request draining.
    fn note_target_state(&self, headers: &HeaderMap) {
        let now = self.clock.now();
        let draining = answer::text(headers, header::STATE) == Some(header::STATE_DRAINING);
        let mut state = self.target_state.lock();
        state.answered_at = Some(now);
        if draining {
            state.draining_answer_at = Some(now);
        }
        drop(state);
        if draining {
            self.set_target_draining(true);
        }
    }

    /// Records that the target has begun or ended draining. Only the health
    /// endpoint can end it; a single answer without the header proves nothing.
    pub fn set_target_draining(&self, draining: bool) {
        self.change_target_state(|state| state.draining = draining);
    }

    /// Records whether the target accepts connections.
    pub fn set_target_reachable(&self, reachable: bool) {
        self.change_target_state(|state| state.reachable = reachable);
    }

    /// Whether to check the target's health: the target is draining, is
    /// unreachable, or has not answered recently.
    #[must_use]
    pub fn needs_health_check(&self) -> bool {
        let now = self.clock.now();
        let state = self.target_state.lock();
        if state.draining || !state.reachable {
            return true;
        }
        state
            .answered_at
            .is_none_or(|at| now.since(at) >= HEALTH_CHECK_AFTER_MS)
    }

    /// Returns the time since an answer last requested draining; `Millis::MAX`
    /// if none has.
    #[must_use]
    pub fn draining_answer_age_ms(&self, now: Millis) -> Millis {
        match self.target_state.lock().draining_answer_at {
            Some(at) => now.since(at),
            None => Millis::MAX,
        }
    }

    /// Counts a health check.
    pub fn note_probe(&self) {
        self.probes.fetch_add(1, Ordering::Relaxed);
        self.metrics.probe_sent(self.service.as_str());
    }

    /// Returns the number of health checks sent to the target since the process
    /// started.
    #[must_use]
    pub fn probes(&self) -> u64 {
        self.probes.load(Ordering::Relaxed)
    }

    /// Begins the shutdown: the gate refuses new work from now on, whatever the
    /// target's state.
    pub fn start_leaving(&self) {
        self.shutting_down.store(true, Ordering::Release);
        self.board.set_leaving(true);
    }

    /// Whether the process is shutting down.
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
        log::info!(
            "the target's state has changed: draining {}, reachable {}",
            after.0,
            after.1
        );
        let leaving = after.0 || self.shutting_down.load(Ordering::Acquire);
        self.board.set_leaving(leaving);
        self.control.target_state(after.0, after.1);
    }

    /// Reports the sending entry to the control thread, so that this node's
    /// leaving is announced to recent senders first.
    fn note_sender(&self, headers: &HeaderMap) {
        let Some(entry) = answer::text(headers, header::ENTRY) else {
            return;
        };
        let Ok(address) = entry.parse::<SocketAddr>() else {
            return;
        };
        self.control.received_from(address);
    }

    /// Handles a broken run. If the target also refuses new connections, it has
    /// crashed, and the requests in flight become crash suspects.
    ///
    /// Must be called before the broken run is ended: all runs of the same
    /// crash then still count as in flight, whichever of them detects it first.
    async fn handle_broken_run(&self) {
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

    /// Accepts an entry's report that an earlier attempt of a request broke,
    /// and spreads the suspicion: the gate of that attempt may have gone down
    /// with its target.
    fn report_suspect(&self, fingerprint: u64) {
        if let Some(entry) = self.board.report_suspect(fingerprint) {
            self.control.suspicion(entry);
        }
    }

    /// Records the latency that the gate added to a call, including its queue.
    fn note_added_latency(&self, arrived_at: Instant, run: Duration) {
        let added = arrived_at.elapsed().saturating_sub(run);
        let added_us = u64::try_from(added.as_micros()).unwrap_or(u64::MAX);
        self.metrics.latency_added(Side::Gate, added_us);
    }

    /// Expires queued calls and reports the requests that the gate has cleared
    /// of suspicion.
    pub fn tick(&self) {
        self.board.tick();
        for entry in self.board.take_cleared() {
            self.control.suspicion(entry);
        }
    }

    /// Spawns a run that may outlive its connection. The drain waits for it.
    fn spawn_tracked(self: &Arc<Self>, run: impl Future<Output = ()> + Send + 'static) {
        self.tracked_runs.fetch_add(1, Ordering::AcqRel);
        let tracked = TrackedRun(Arc::clone(self));
        tokio::spawn(async move {
            run.await;
            drop(tracked);
        });
    }

    /// Waits until no call is queued or running.
    pub async fn drained(&self) {
        const POLL: Millis = Millis(10);
        loop {
            let is_empty = self.board.active_calls() == 0;
            if is_empty && self.tracked_runs.load(Ordering::Acquire) == 0 {
                return;
            }
            // Streamed calls end without a notification, so this also polls.
            let _ = tokio::time::timeout(POLL.to_duration(), self.tracked_ended.notified()).await;
        }
    }

    /// Returns the VM of this gate.
    #[must_use]
    pub fn vm(&self) -> &VmId {
        &self.vm
    }
}

/// Guard that counts a tracked run until it is dropped, even if the run panics.
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

/// Whether the target states that it did not run the request.
fn is_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(header::NOT_RUN)
}

/// Whether only the close of the connection ends the answer's body.
///
/// Such an answer looks complete if the target crashes in the middle of it. It
/// is refused, so that a truncated body never reaches a caller as complete.
fn ends_by_close<B: http_body::Body>(response: &Response<B>) -> bool {
    if response.body().is_end_stream() || response.body().size_hint().exact().is_some() {
        return false;
    }
    !response
        .headers()
        .contains_key(http::header::TRANSFER_ENCODING)
}
