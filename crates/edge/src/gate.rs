//! The gate: admits calls to this VM's target and runs each attempt at most once.

mod confirmation;
mod guards;
mod health;
mod lives;
mod load;
mod records;
mod request;
mod run;
mod running;
mod speed;
mod statements;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use hornbeamhitch_dispatch::faults::crashes::{AllowedTargets, CrashLevel, TrialDenied};
use hornbeamhitch_dispatch::gate::admission::{
    Admission, GateCall, QueuePosition, Refused, Verdict,
};
use hornbeamhitch_dispatch::gate::departure::Departure;
use hornbeamhitch_dispatch::gate::idleness::TargetIdleness;
use hornbeamhitch_dispatch::gate::room::RoomMeter;
use hornbeamhitch_dispatch::gate::warm_up::WarmUpTolerance;
use hornbeamhitch_dispatch::knowledge::waits::Waits;
use hornbeamhitch_dispatch::resources::limits::ORDINARY_BODY_BYTES;
use hornbeamhitch_node::metrics::{GateLevels, Metrics};
use hornbeamhitch_types::status::SuspectState;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::prelude::*;
use crate::resources::{Patience, Resources};
use crate::silence::Silence;
use crate::source::SharedSource;
use crate::suspicion::{Suspicion, TrialGuard};
use crate::target::TargetClient;
use guards::{QueueGuard, SlotGuard};
pub use load::LoadReports;
use records::{FenceResult, Records};
pub use request::{
    CallContent, CallGuard, DeferredCall, EventSink, GateEvent, GateRequest, WholeCall,
};
use run::Run;
use running::RunningCalls;
use speed::SpeedProbe;

/// Everything that [`Gate::new`] needs.
#[derive(Debug)]
pub struct GateParts {
    /// Service of the target.
    pub service: ServiceName,
    /// Connections to the target.
    pub target: TargetClient,
    /// Routes and targets in force.
    pub directory: SharedDirectory,
    /// Header names of the deployment.
    pub dialect: Arc<dyn Dialect>,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Address under which the target is listed.
    pub listed_address: std::net::SocketAddr,
    /// Requests that are suspected of crashing targets.
    pub suspicion: Arc<Suspicion>,
    /// Metrics of this node.
    pub metrics: Arc<Metrics>,
    /// Source in which the gate looks up its target's entry.
    pub source: SharedSource,
    /// Intervals and time limits.
    pub waits: Waits,
    /// How far the requests to a cold target may exceed its admission rate.
    pub warm_up_tolerance: WarmUpTolerance,
}

/// Admits calls to this VM's target and runs them.
#[derive(Debug)]
pub struct Gate {
    service: ServiceName,
    target: TargetClient,
    listed_address: std::net::SocketAddr,
    directory: SharedDirectory,
    dialect: Arc<dyn Dialect>,
    clock: ProcessClock,
    state: Mutex<GateState>,
    /// Wakes queued calls after a slot was freed, or the queue, the limit or the speed
    /// changed.
    changed: Notify,
    speed: SpeedProbe,
    suspicion: Arc<Suspicion>,
    metrics: Arc<Metrics>,
    source: SharedSource,
    waits: Waits,
    departure: Mutex<Departure>,
    silence: Arc<Silence>,
}

#[derive(Debug)]
struct GateState {
    running: RunningCalls,
    idleness: TargetIdleness,
    admission: Admission,
    room: RoomMeter,
    records: Records,
    /// Incarnations of the target that the target itself has said are over.
    ended_incarnations: VecDeque<TargetIncarnation>,
    /// Incarnation of the target that was last seen in the list.
    incarnation: Option<TargetIncarnation>,
}

impl GateState {
    fn new(admission: Admission, max_recorded_bytes: u64, started_at: Millis) -> Self {
        Self {
            running: RunningCalls::default(),
            idleness: TargetIdleness::new(started_at),
            admission,
            room: RoomMeter::new(started_at),
            records: Records::new(max_recorded_bytes),
            ended_incarnations: VecDeque::new(),
            incarnation: None,
        }
    }
}

impl Gate {
    /// Creates the gate for a target.
    #[must_use]
    pub fn new(parts: GateParts) -> Self {
        let started_at = parts.clock.now();
        let max_recorded_bytes = parts.target.resources().limits().recorded_bytes();
        let mut admission = Admission::new(started_at);
        admission.warm_up().set_tolerance(parts.warm_up_tolerance);
        Self {
            service: parts.service,
            target: parts.target,
            listed_address: parts.listed_address,
            directory: parts.directory,
            dialect: parts.dialect,
            clock: parts.clock,
            state: Mutex::new(GateState::new(admission, max_recorded_bytes, started_at)),
            changed: Notify::new(),
            speed: SpeedProbe::default(),
            suspicion: parts.suspicion,
            metrics: parts.metrics,
            source: parts.source,
            waits: parts.waits,
            departure: Mutex::new(Departure::new(parts.waits)),
            silence: Arc::new(Silence::new(parts.clock, parts.listed_address.ip())),
        }
    }

    /// Returns what the process holds for its peers.
    #[must_use]
    pub const fn resources(&self) -> &Arc<Resources> {
        self.target.resources()
    }

    /// Returns the silent VMs that this node knows of. Its entry and its links share them.
    #[must_use]
    pub const fn silence(&self) -> &Arc<Silence> {
        &self.silence
    }

    /// Accepts a call and reports its events to `sink`. Dropping the returned guard
    /// cancels the call.
    pub fn submit(self: &Arc<Self>, request: GateRequest, sink: EventSink) -> CallGuard {
        let (guard, caller_left) = watch::channel(());
        let gate = Arc::clone(self);
        tokio::spawn(async move { gate.serve(request, &sink, caller_left).await });
        CallGuard(guard)
    }

    /// Reports the outcome of the call with this key to `sink`. A call that has not
    /// started is fenced: it never will.
    pub fn fence(&self, key: CallKey, sink: EventSink) {
        let now = self.clock.now();
        let sink = Arc::new(sink);
        let result = self.state.lock().records.fence(key, &sink, now);
        match result {
            FenceResult::NeverStarts => sink(GateEvent::Ended(CallEnd::Fenced)),
            FenceResult::Ended(event) => sink(event),
            FenceResult::Running => {}
        }
    }

    /// Refuses all new calls from now on. Running calls continue.
    pub fn stop_admitting(&self) {
        self.state.lock().admission.set_leaving(true);
        self.changed.notify_waiters();
    }

    /// Replaces the tolerance of cold targets after a reload.
    pub fn set_warm_up_tolerance(&self, tolerance: WarmUpTolerance) {
        let mut state = self.state.lock();
        state.admission.warm_up().set_tolerance(tolerance);
    }

    /// Returns the mean share of the running calls that repeats earlier runs, in
    /// percent. A call that the target makes now belongs to such a run with this
    /// probability.
    #[must_use]
    pub fn repeated_percent(&self) -> u8 {
        self.state.lock().running.repeated_percent()
    }

    /// Whether no call is queued or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let state = self.state.lock();
        state.admission.in_flight() == 0 && state.admission.queued() == 0
    }

    /// Whether the target certainly runs nothing: no call is queued or running, and the
    /// target has finished the runs that ended without an answer. A call that arrives at
    /// this node now was not made by a run of the target.
    #[must_use]
    pub fn is_target_idle(&self) -> bool {
        let now = self.clock.now();
        let state = self.state.lock();
        let calls = state.admission.in_flight() as usize + state.admission.queued();
        state.idleness.is_idle(calls, now)
    }

    /// Updates the gauges of running and queued calls and of the target's warm-up.
    pub fn refresh_gauges(&self) {
        let now = self.clock.now();
        self.metrics.silent_vms(self.silence.count());
        let mut state = self.state.lock();
        let is_cold = state.admission.warm_up().is_cold(now);
        self.metrics.target_warming_up(is_cold);
        for (state, level) in [
            (SuspectState::Suspected, CrashLevel::Trial),
            (SuspectState::Convicted, CrashLevel::Refused),
        ] {
            let count = self.suspicion.requests_at(level);
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            self.metrics.suspects(state, count);
        }
        let limit = state.admission.stated_limit().per_1000_s();
        self.metrics.target_request_limit(limit);
        self.metrics.gate_levels(&GateLevels {
            in_flight: state.admission.in_flight(),
            queued: u32::try_from(state.admission.queued()).unwrap_or(u32::MAX),
            limit: state.admission.limit(),
            records: u32::try_from(state.records.len()).unwrap_or(u32::MAX),
            // Answers are kept within their records and not counted separately.
            stored_bytes: 0,
        });
    }

    async fn serve(
        self: &Arc<Self>,
        request: GateRequest,
        sink: &EventSink,
        mut caller_left: watch::Receiver<()>,
    ) {
        let GateRequest { terms, content } = request;
        let arrived = self.clock.now();
        let call = GateCall {
            priority: terms.priority,
            work_ms: terms.work_ms,
            queue_until: arrived + terms.max_queue_ms,
            objective_at: arrived + terms.objective_ms,
            whole_objective_ms: terms.whole_objective_ms,
            slow_from: arrived + terms.slow_after_ms,
            deadline_at: arrived + terms.deadline_ms,
        };
        let mut queued = QueueGuard {
            gate: self,
            position: Some(self.enqueue(&call, &terms)),
        };
        let admitting = async {
            let slowness_percent = self.admit(&call, &mut queued, &terms).await?;
            let slot = SlotGuard::new(self);
            let whole = self
                .receive_whole_call(content, sink, call.deadline_at)
                .await?;
            Ok((slowness_percent, slot, whole))
        };
        // Checks for cancellation first. A process that was paused may resume with both
        // a call and its cancellation pending, and must not start the call.
        let admitted = tokio::select! {
            biased;
            _ = caller_left.changed() => return,
            admitted = self.confirming(admitting, sink) => admitted,
        };
        let (slowness_percent, slot, whole) = match admitted {
            Ok(admitted) => admitted,
            Err(end) => return self.refuse(end, sink),
        };
        let trial = match self.begin_trial_if_due(&terms) {
            Ok(trial) => trial,
            Err(end) => return self.refuse(end, sink),
        };
        if !terms.idempotent && !self.record_start(&terms) {
            return self.refuse(CallEnd::Fenced, sink);
        }
        sink(GateEvent::Started { slowness_percent });
        let started = self.clock.now();
        let run = Run {
            slot: &slot,
            terms: &terms,
            head: &whole.head,
            body: &whole.body,
            deadline_at: call.deadline_at,
            slowness_percent,
            running: self.state.lock().admission.in_flight(),
            waited_ms: started.since(arrived),
            started,
            is_trial: trial.is_some(),
        };
        if terms.idempotent {
            self.run_until_cancelled(&run, sink, caller_left).await;
        } else {
            self.run_to_completion(&run, sink).await;
        }
        drop(slot);
    }

    fn refuse(&self, end: CallEnd, sink: &EventSink) {
        self.metrics.gate_refused(code_of(end));
        sink(GateEvent::Ended(end));
    }

    /// Runs an idempotent call and cancels it if its caller leaves.
    async fn run_until_cancelled(
        &self,
        run: &Run<'_>,
        sink: &EventSink,
        mut caller_left: watch::Receiver<()>,
    ) {
        let event = tokio::select! {
            event = self.run(run) => Some(event),
            _ = caller_left.changed() => None,
        };
        self.note_run(run, event.as_ref());
        if let Some(event) = event {
            sink(event);
        }
    }

    /// Runs a non-idempotent call to completion even if its caller leaves, and records
    /// its outcome for entries that query it.
    async fn run_to_completion(&self, run: &Run<'_>, sink: &EventSink) {
        let event = self.run(run).await;
        self.note_run(run, Some(&event));
        let key = run.terms.key;
        let watchers = self.state.lock().records.end(key, event.clone());
        for watcher in watchers {
            watcher(event.clone());
        }
        sink(event);
    }

    fn enqueue(&self, call: &GateCall, terms: &CallTerms) -> QueuePosition {
        let directory = self.directory.load();
        let listed = directory.members.at_address(self.listed_address);
        let routes = directory.routes.as_ref();
        let warm_up = routes.and_then(|routes| routes.warm_up(&self.service));
        let mut state = self.state.lock();
        state.admission.warm_up().set_warm_up(warm_up);
        if let Some(member) = listed {
            state.admission.set_slots(member.slots);
            self.note_incarnation(&mut state, member);
        }
        if listed.is_none_or(|member| member.id.as_str() == terms.target_id) {
            self.note_entry_notice(&mut state, &terms.notice);
        }
        state.admission.enqueue(call, self.clock.now())
    }

    /// Waits until the call may start and takes a slot. Returns the target's slowness
    /// in percent of its usual run time.
    async fn admit(
        self: &Arc<Self>,
        call: &GateCall,
        queued: &mut QueueGuard<'_>,
        terms: &CallTerms,
    ) -> Result<u32, CallEnd> {
        let position = queued.position.expect("the call was just queued");
        loop {
            if self.rejects_new_work(terms) {
                return Err(CallEnd::Leaving);
            }
            if !self.may_run(terms) {
                return Err(CallEnd::Convicted);
            }
            let mut changed = std::pin::pin!(self.changed.notified());
            // Registers before the decision, so that a slot freed in between is not
            // missed.
            changed.as_mut().enable();
            let now = self.clock.now();
            let verdict = self.state.lock().decide(position, call, now);
            match verdict {
                Verdict::Start if self.departure.lock().health_is_due(now) => {
                    self.read_speed().await;
                }
                Verdict::Start => return Ok(self.take_slot(queued, now)),
                Verdict::Refuse(refused) => return Err(end_of(refused, now)),
                Verdict::ReadSpeed => self.read_speed().await,
                Verdict::Wait(until) => {
                    let until = self.clock.to_instant(until.max(now + Millis(1)));
                    tokio::select! {
                        () = changed => {}
                        () = tokio::time::sleep_until(until) => {}
                    }
                }
            }
        }
    }

    /// Whether a request that was in flight in crashes may run in this target.
    fn may_run(&self, terms: &CallTerms) -> bool {
        let directory = self.directory.load();
        let available = directory.members.available(&self.service);
        match self.suspicion.allowed_targets(terms.fingerprint, available) {
            AllowedTargets::Any => true,
            AllowedTargets::Only(target) => target.id.as_str() == terms.target_id,
            AllowedTargets::None => false,
        }
    }

    /// Starts a trial if the request runs only as one.
    fn begin_trial_if_due(&self, terms: &CallTerms) -> Result<Option<TrialGuard>, CallEnd> {
        if self.suspicion.level(terms.fingerprint) < CrashLevel::Trial {
            return Ok(None);
        }
        if !self.may_run(terms) {
            return Err(CallEnd::Convicted);
        }
        match self.suspicion.begin_trial(terms.fingerprint) {
            Ok(trial) => Ok(Some(trial)),
            Err(TrialDenied) => Err(CallEnd::Convicted),
        }
    }

    fn take_slot(&self, queued: &mut QueueGuard<'_>, now: Millis) -> u32 {
        queued.start();
        let state = self.state.lock();
        let speed = state.admission.fresh_speed(now);
        speed.map_or(100, |speed| speed.slowness_percent)
    }

    /// Returns the call's head and body, and requests them from the entry if they were
    /// deferred. A long body is requested only if there is memory for it.
    async fn receive_whole_call(
        &self,
        content: CallContent,
        sink: &EventSink,
        deadline_at: Millis,
    ) -> Result<WholeCall, CallEnd> {
        let deferred = match content {
            CallContent::Whole(whole) => return Ok(whole),
            CallContent::Deferred(deferred) => deferred,
        };
        let DeferredCall {
            body_bytes,
            permit,
            whole,
        } = deferred;
        let mut charge = None;
        if body_bytes > ORDINARY_BODY_BYTES {
            let holding = self.resources().hold_body(body_bytes, Patience::Relief);
            charge = Some(holding.await.ok_or(CallEnd::Busy)?);
        }
        permit(charge);
        sink(GateEvent::WantsContent);
        let deadline = self.clock.to_instant(deadline_at);
        match tokio::time::timeout_at(deadline, whole).await {
            Ok(Ok(whole)) => Ok(whole),
            // The link was lost, or the deadline has passed.
            Ok(Err(_)) | Err(_) => Err(CallEnd::Late),
        }
    }

    /// Records the start of a non-idempotent call; returns false if it was fenced in
    /// the meantime.
    fn record_start(&self, terms: &CallTerms) -> bool {
        let now = self.clock.now();
        let deadline_at = now + terms.deadline_ms;
        self.state.lock().records.start(terms.key, deadline_at, now)
    }

    /// Waits until no call is queued or running.
    pub async fn drained(&self) {
        /// Interval of polling, since the end of a run is not signalled to this function.
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        while !self.is_idle() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the result code under which a gate's refusal is counted.
const fn code_of(end: CallEnd) -> ResultCode {
    match end {
        CallEnd::Leaving => ResultCode::Leaving,
        CallEnd::Down => ResultCode::NoTarget,
        CallEnd::Late => ResultCode::DeadlineTooShort,
        CallEnd::Convicted => ResultCode::CrashSuspect,
        CallEnd::Fenced => ResultCode::Fenced,
        _ => ResultCode::Overloaded,
    }
}

const fn end_of(refused: Refused, now: Millis) -> CallEnd {
    match refused {
        Refused::Leaving => CallEnd::Leaving,
        Refused::Down => CallEnd::Down,
        Refused::Slow => CallEnd::Slow,
        Refused::Busy => CallEnd::Busy,
        Refused::Late => CallEnd::Late,
        Refused::WarmingUp { free_at } => CallEnd::WarmingUp {
            free_in_ms: free_at.since(now),
        },
        Refused::RateLimited { free_at } => CallEnd::RateLimited {
            free_in_ms: free_at.since(now),
        },
    }
}
