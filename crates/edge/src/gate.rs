//! The gate: starts calls in this VM's target, one copy of each at most.

mod health;
mod lives;
mod places;
mod records;
mod request;
mod run;
mod speed;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use hornbeamhitch_dispatch::admission::{Admission, GateCall, QueuePosition, Refused, Verdict};
use hornbeamhitch_dispatch::departure::Departure;
use hornbeamhitch_dispatch::waits::Waits;
use hornbeamhitch_node::metrics::{GateLevels, Metrics};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::prelude::*;
use crate::source::SharedSource;
use crate::suspicion::Suspicion;
use crate::target::TargetClient;
use places::{InLine, Slot};
use records::{Fencing, Records};
pub use request::{CallContent, EventSink, GateEvent, GateRequest, Wanted, WholeCall};
use run::Run;
use speed::SpeedProbe;

/// What a gate is put together from.
#[derive(Debug)]
pub struct GateParts {
    /// Service of the target.
    pub service: ServiceName,
    /// Connections to the target.
    pub target: TargetClient,
    /// Facts in force.
    pub directory: SharedDirectory,
    /// Names of header fields.
    pub dialect: Arc<dyn Dialect>,
    /// The process's clock.
    pub clock: ProcessClock,
    /// The target's address.
    pub listed_address: std::net::SocketAddr,
    /// What is held against requests.
    pub suspicion: Arc<Suspicion>,
    /// Counts and histograms.
    pub metrics: Arc<Metrics>,
    /// Where the target's entry is looked up.
    pub source: SharedSource,
    /// How long what may take.
    pub waits: Waits,
}

/// The gate of this VM's target.
#[derive(Debug)]
pub struct Gate {
    service: ServiceName,
    target: TargetClient,
    listed_address: std::net::SocketAddr,
    directory: SharedDirectory,
    dialect: Arc<dyn Dialect>,
    clock: ProcessClock,
    state: Mutex<GateState>,
    /// A slot came free, or the line or the speed changed.
    changed: Notify,
    speed: SpeedProbe,
    suspicion: Arc<Suspicion>,
    metrics: Arc<Metrics>,
    source: SharedSource,
    waits: Waits,
    departure: Mutex<Departure>,
}

#[derive(Debug, Default)]
struct GateState {
    /// The calls that run in the target.
    running: Vec<RunningCall>,
    admission: Admission,
    records: Records,
    /// Lives of the target that it no longer is.
    ended_lives: VecDeque<TargetIncarnation>,
    /// The life of the target that was last seen in the list.
    life: Option<TargetIncarnation>,
}

/// What a gate needs to know of a call while it runs.
#[derive(Clone, Copy, Debug)]
struct RunningCall {
    fingerprint: u64,
    /// How much of it repeats an earlier run.
    repeated_percent: u8,
}

impl Gate {
    /// A gate in front of the target.
    #[must_use]
    pub fn new(parts: GateParts) -> Self {
        Self {
            service: parts.service,
            target: parts.target,
            listed_address: parts.listed_address,
            directory: parts.directory,
            dialect: parts.dialect,
            clock: parts.clock,
            state: Mutex::default(),
            changed: Notify::new(),
            speed: SpeedProbe::default(),
            suspicion: parts.suspicion,
            metrics: parts.metrics,
            source: parts.source,
            waits: parts.waits,
            departure: Mutex::new(Departure::new(parts.waits)),
        }
    }

    /// Takes in a call; what becomes of it goes to `sink`.
    pub fn submit(self: &Arc<Self>, request: GateRequest, sink: EventSink) -> Wanted {
        let (wanted, left) = watch::channel(());
        let gate = Arc::clone(self);
        tokio::spawn(async move { gate.serve(request, &sink, left).await });
        Wanted(wanted)
    }

    /// What became of a key? One that has not started never will.
    pub fn fence(&self, key: CallKey, sink: EventSink) {
        let now = self.clock.now();
        let sink = Arc::new(sink);
        let fencing = self.state.lock().records.fence(key, &sink, now);
        match fencing {
            Fencing::NeverStarts => sink(GateEvent::Ended(CallEnd::Fenced)),
            Fencing::Ended(event) => sink(event),
            Fencing::Running => {}
        }
    }

    /// From now on refuses new work; what runs is finished.
    pub fn leave(&self) {
        self.state.lock().admission.set_leaving(true);
        self.changed.notify_waiters();
    }

    /// How much of what runs in the target repeats earlier runs, in percent. A call
    /// that the target makes now is of such a run with this probability.
    #[must_use]
    pub fn repeated_percent(&self) -> u8 {
        let state = self.state.lock();
        let mut sum = 0;
        for call in &state.running {
            sum += usize::from(call.repeated_percent);
        }
        let mean = sum / state.running.len().max(1);
        u8::try_from(mean).unwrap_or(u8::MAX)
    }

    /// Whether nothing waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let state = self.state.lock();
        state.admission.in_flight() == 0 && state.admission.queued() == 0
    }

    /// Records how many calls run and wait.
    pub fn refresh_gauges(&self) {
        let state = self.state.lock();
        self.metrics.gate_levels(&GateLevels {
            in_flight: state.admission.in_flight(),
            queued: u32::try_from(state.admission.queued()).unwrap_or(u32::MAX),
            limit: state.admission.limit(),
            records: u32::try_from(state.records.len()).unwrap_or(u32::MAX),
            // Answers are kept with their records only until these are forgotten.
            stored_bytes: 0,
        });
    }

    async fn serve(
        self: &Arc<Self>,
        request: GateRequest,
        sink: &EventSink,
        mut left: watch::Receiver<()>,
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
        let mut in_line = InLine {
            gate: self,
            place: Some(self.enlist(&call)),
        };
        let admitting = async {
            let slowness_percent = self.admit(&call, &mut in_line, &terms).await?;
            let slot = Slot(self);
            let whole = self.whole_call(content, sink, call.deadline_at).await?;
            Ok((slowness_percent, slot, whole))
        };
        // The caller's leaving goes first: a process that was paused wakes with a
        // call and its withdrawal both in hand, and must not start it.
        let admitted = tokio::select! {
            biased;
            _ = left.changed() => return,
            admitted = admitting => admitted,
        };
        let (slowness_percent, slot, whole) = match admitted {
            Ok(admitted) => admitted,
            Err(end) => return self.refuse(end, sink),
        };
        if !terms.idempotent && !self.record_start(&terms) {
            return self.refuse(CallEnd::Fenced, sink);
        }
        sink(GateEvent::Started { slowness_percent });
        let started = self.clock.now();
        let run = Run {
            terms: &terms,
            head: &whole.head,
            body: &whole.body,
            deadline_at: call.deadline_at,
            slowness_percent,
            running: self.state.lock().admission.in_flight(),
            waited_ms: started.since(arrived),
            started,
        };
        if terms.idempotent {
            self.run_while_wanted(&run, sink, left).await;
        } else {
            self.run_to_its_end(&run, sink).await;
        }
        drop(slot);
    }

    fn refuse(&self, end: CallEnd, sink: &EventSink) {
        self.metrics.gate_refused(code_of(end));
        sink(GateEvent::Ended(end));
    }

    /// Runs a call that may be repeated; its caller's leaving stops the work.
    async fn run_while_wanted(
        &self,
        run: &Run<'_>,
        sink: &EventSink,
        mut left: watch::Receiver<()>,
    ) {
        let event = tokio::select! {
            event = self.run(run) => Some(event),
            _ = left.changed() => None,
        };
        self.note_run(run, event.as_ref());
        if let Some(event) = event {
            sink(event);
        }
    }

    /// Runs a call that may run only once, whoever has left meanwhile, and keeps
    /// its end for those who ask.
    async fn run_to_its_end(&self, run: &Run<'_>, sink: &EventSink) {
        let event = self.run(run).await;
        self.note_run(run, Some(&event));
        let key = run.terms.key;
        let watchers = self.state.lock().records.end(key, event.clone());
        for watcher in watchers {
            watcher(event.clone());
        }
        sink(event);
    }

    fn enlist(&self, call: &GateCall) -> QueuePosition {
        let directory = self.directory.load();
        let listed = directory.members.at_address(self.listed_address);
        let mut state = self.state.lock();
        if let Some(member) = listed {
            state.admission.set_slots(member.slots);
            self.note_life(&mut state, member);
        }
        state.admission.enqueue(call, self.clock.now())
    }

    /// Waits until the call may start, and starts it. Returns how slow the
    /// target was.
    async fn admit(
        self: &Arc<Self>,
        call: &GateCall,
        in_line: &mut InLine<'_>,
        terms: &CallTerms,
    ) -> Result<u32, CallEnd> {
        let place = in_line.place.expect("the call was just enlisted");
        loop {
            if self.takes_no_more(terms) {
                return Err(CallEnd::Leaving);
            }
            if self.suspicion.is_convicted(terms.fingerprint) {
                return Err(CallEnd::Convicted);
            }
            let mut changed = std::pin::pin!(self.changed.notified());
            // Registered before the decision, so that a slot which comes free
            // in between is not missed.
            changed.as_mut().enable();
            let now = self.clock.now();
            let verdict = self.state.lock().admission.decide(place, call, now);
            match verdict {
                Verdict::Start if self.departure.lock().health_is_due(now) => {
                    self.read_speed().await;
                }
                Verdict::Start => return Ok(self.take_slot(in_line, now)),
                Verdict::Refuse(refused) => return Err(end_of(refused)),
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

    fn take_slot(&self, in_line: &mut InLine<'_>, now: Millis) -> u32 {
        in_line.start();
        let state = self.state.lock();
        let speed = state.admission.fresh_speed(now);
        speed.map_or(100, |speed| speed.slowness_percent)
    }

    /// Fetches what was kept back of a call.
    async fn whole_call(
        &self,
        content: CallContent,
        sink: &EventSink,
        deadline_at: Millis,
    ) -> Result<WholeCall, CallEnd> {
        let coming = match content {
            CallContent::Whole(whole) => return Ok(whole),
            CallContent::Later(coming) => coming,
        };
        sink(GateEvent::WantsContent);
        let deadline = self.clock.to_instant(deadline_at);
        match tokio::time::timeout_at(deadline, coming).await {
            Ok(Ok(whole)) => Ok(whole),
            // The link has ended, or nothing is left of the deadline.
            Ok(Err(_)) | Err(_) => Err(CallEnd::Late),
        }
    }

    /// Notes that a call which may run only once starts; false when it was
    /// fenced meanwhile.
    fn record_start(&self, terms: &CallTerms) -> bool {
        let now = self.clock.now();
        let deadline_at = now + terms.deadline_ms;
        self.state.lock().records.start(terms.key, deadline_at, now)
    }

    /// Waits until nothing waits or runs.
    pub async fn drained(&self) {
        /// Runs end without a signal to wait for, so look again soon.
        const LOOK_AGAIN: Duration = Duration::from_millis(20);
        while !self.is_idle() {
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }
}

/// The code under which a gate's refusals are counted.
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

const fn end_of(refused: Refused) -> CallEnd {
    match refused {
        Refused::Leaving => CallEnd::Leaving,
        Refused::Down => CallEnd::Down,
        Refused::Slow => CallEnd::Slow,
        Refused::Busy => CallEnd::Busy,
        Refused::Late => CallEnd::Late,
    }
}
