//! The gate's decision logic behind one lock, and the calls that wait for its
//! decisions.

mod permit;
mod waiting;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hornbeamhitch_core::gate::{
    Arrival, FenceAnswer, Gate, GateSettings, RunEnd, RunId, Settlement, StoredAnswer, Verdict,
};
use hornbeamhitch_core::prelude::*;
use hornbeamhitch_core::suspects::{SuspectEntry, SuspectSet};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::clock::ProcessClock;
use crate::metrics::Metrics;
pub use permit::{QueuedCall, RunPermit};
use waiting::{Waiting, release};

/// Retry delay while no configuration is known. An earlier retry would not
/// succeed, because a configuration takes this long to spread.
const NO_CONFIGURATION_RETRY_MS: Millis = Millis(500);

#[derive(Debug)]
struct State {
    /// `None` until a configuration contains the service.
    gate: Option<Gate>,
    policy: Option<Arc<ServicePolicy>>,
    /// Whether the target is draining or the process is shutting down.
    leaving: bool,
    /// Whether the control thread has found that this VM takes no new work.
    control_leaving: bool,
    waiting: Waiting,
}

impl State {
    fn refuses_new_work(&self) -> bool {
        self.leaving || self.control_leaving
    }

    fn update_gate_leaving(&mut self) {
        let leaving = self.refuses_new_work();
        if let Some(gate) = self.gate.as_mut() {
            gate.set_leaving(leaving);
        }
    }
}

/// The gate of this node: decides about calls and releases queued ones.
///
/// A decision and the registration of the call that waits for it happen under
/// one lock. Otherwise a call could be released before it is registered, and
/// would then wait forever.
#[derive(Debug)]
pub struct GateBoard {
    settings: GateSettings,
    clock: ProcessClock,
    state: Mutex<State>,
    /// Notifies that a call was queued.
    call_queued: Notify,
    started: AtomicU64,
    refused: AtomicU64,
    metrics: Arc<Metrics>,
}

/// The decision about a streamed call.
#[derive(Debug)]
pub enum Admission {
    /// The call runs now.
    Run(RunPermit),
    /// The call waits for a slot.
    Queued(QueuedCall),
    /// The call is refused at once.
    Refused(Refusal),
}

/// The decision about a ticketed call.
#[derive(Debug)]
pub enum RecordedAdmission {
    /// This arrival starts the run.
    First {
        /// Permission to run in the target, or a position in its queue.
        admission: Admission,
        /// Receives the settlement of the key.
        settled: oneshot::Receiver<Settlement>,
    },
    /// Another arrival runs the call; this receives the settlement too.
    Joined(oneshot::Receiver<Settlement>),
    /// The answer is replayed from the record.
    Replay(Arc<StoredAnswer>),
    /// The call is refused at once.
    Refused(Refusal),
}

/// The state of a key, as returned to a fence request.
#[derive(Debug)]
pub enum KeyState {
    /// The key has its final settlement.
    Settled(Settlement),
    /// The call is running; this receives its settlement.
    Running(oneshot::Receiver<Settlement>),
}

impl GateBoard {
    /// Creates a gate that refuses all calls until a policy is known.
    #[must_use]
    pub fn new(settings: GateSettings, clock: ProcessClock, metrics: Arc<Metrics>) -> Self {
        Self {
            settings,
            clock,
            state: Mutex::new(State {
                gate: None,
                policy: None,
                leaving: false,
                control_leaving: false,
                waiting: Waiting::default(),
            }),
            call_queued: Notify::new(),
            started: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            metrics,
        }
    }

    /// Applies the policy in force for the service.
    pub fn apply_policy(&self, policy: &Arc<ServicePolicy>) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let unchanged = state
            .policy
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, policy) || known == policy);
        if unchanged {
            return;
        }
        state.policy = Some(Arc::clone(policy));
        let state = &mut *state;
        if let Some(gate) = state.gate.as_mut() {
            gate.update(Arc::clone(policy), now);
            let wakes = gate.take_wakes();
            release(gate, &mut state.waiting, wakes, now);
            return;
        }
        let mut gate = Gate::new(self.settings.clone(), Arc::clone(policy), now);
        gate.set_leaving(state.refuses_new_work());
        state.gate = Some(gate);
    }

    /// Applies the fleet's set of crash suspects.
    pub fn apply_suspects(&self, suspects: &Arc<SuspectSet>) {
        if let Some(gate) = self.state.lock().gate.as_mut() {
            gate.update_suspects(Arc::clone(suspects));
        }
    }

    /// Returns the incarnation of this process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.settings.incarnation
    }

    /// Returns the service's policy; `None` until it is known.
    #[must_use]
    pub fn policy(&self) -> Option<Arc<ServicePolicy>> {
        self.state.lock().policy.clone()
    }

    /// Decides about a streamed call.
    pub fn arrive(self: &Arc<Self>, arrival: &Arrival<'_>) -> Admission {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(gate) = state.gate.as_mut() else {
            return Admission::Refused(no_configuration());
        };
        let admission = match gate.arrive(arrival, now) {
            Verdict::Run(run) => Admission::Run(self.permit(run, arrival.class)),
            Verdict::Wait(run) => {
                Admission::Queued(self.enqueue(&mut state.waiting, run, arrival.class))
            }
            Verdict::Refuse(refusal) => Admission::Refused(self.refuse(refusal)),
            Verdict::Join(_) | Verdict::Replay(_) => {
                unreachable!("only ticketed calls have records")
            }
        };
        let wakes = gate.take_wakes();
        release(gate, &mut state.waiting, wakes, now);
        admission
    }

    /// Decides about a ticketed call whose body is completely buffered.
    pub fn arrive_recorded(self: &Arc<Self>, arrival: &Arrival<'_>) -> RecordedAdmission {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(gate) = state.gate.as_mut() else {
            // Without a policy nothing is recorded and no key is fenced, so a
            // late duplicate may run once there is one. The refusal must not
            // state "not run".
            return RecordedAdmission::Refused(cannot_record());
        };
        let admission = match gate.arrive(arrival, now) {
            Verdict::Run(run) => RecordedAdmission::First {
                settled: state.waiting.join(run),
                admission: Admission::Run(self.permit(run, arrival.class)),
            },
            Verdict::Wait(run) => RecordedAdmission::First {
                settled: state.waiting.join(run),
                admission: Admission::Queued(self.enqueue(&mut state.waiting, run, arrival.class)),
            },
            Verdict::Join(run) => RecordedAdmission::Joined(state.waiting.join(run)),
            Verdict::Replay(answer) => RecordedAdmission::Replay(answer),
            Verdict::Refuse(refusal) => RecordedAdmission::Refused(self.refuse(refusal)),
        };
        let wakes = gate.take_wakes();
        release(gate, &mut state.waiting, wakes, now);
        admission
    }

    /// Returns the state of a key. A key that has not started is fenced, so it
    /// can never start.
    pub fn fence(&self, ticket: &Ticket) -> KeyState {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(gate) = state.gate.as_mut() else {
            return KeyState::Settled(Settlement::Refused(cannot_record()));
        };
        let key = match gate.fence(ticket, now) {
            FenceAnswer::Settled(settlement) => KeyState::Settled(settlement),
            FenceAnswer::Running(run) => KeyState::Running(state.waiting.join(run)),
        };
        let wakes = gate.take_wakes();
        release(gate, &mut state.waiting, wakes, now);
        key
    }

    /// Returns once a call is queued, immediately if one is queued already.
    pub async fn wait_for_queued_call(&self) {
        loop {
            // Created before the check, so that a call queued in between is not
            // missed.
            let queued = self.call_queued.notified();
            if !self.state.lock().waiting.queued.is_empty() {
                return;
            }
            queued.await;
        }
    }

    /// Expires calls that wait too long, and removes expired records. Must be
    /// called every few milliseconds while calls are queued, and occasionally
    /// otherwise.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(gate) = state.gate.as_mut() else {
            return;
        };
        let wakes = gate.tick(now);
        release(gate, &mut state.waiting, wakes, now);
    }

    /// Returns the load report for answers and control messages.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let now = self.clock.now();
        let state = self.state.lock();
        match state.gate.as_ref() {
            Some(gate) => gate.load(now),
            None => LoadReport {
                in_flight: 0,
                queued: 0,
                limit: 0,
                service_time_us: 0,
                gate_clock_ms: now,
                incarnation: self.settings.incarnation,
                leaving: state.refuses_new_work(),
            },
        }
    }

    /// Sets whether the gate refuses new work because its target drains or the
    /// process shuts down.
    pub fn set_leaving(&self, leaving: bool) {
        let mut state = self.state.lock();
        state.leaving = leaving;
        state.update_gate_leaving();
    }

    /// Sets whether the gate refuses new work because of what the control
    /// thread has learned, for example from the platform's VM list.
    ///
    /// Announcements to entries alone are not sufficient: an entry that misses
    /// them would send work here forever. The gate refuses such work.
    pub fn apply_leaving(&self, leaving: bool) {
        let mut state = self.state.lock();
        state.control_leaving = leaving;
        state.update_gate_leaving();
    }

    /// Whether new work is refused.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.state.lock().refuses_new_work()
    }

    /// Returns the number of calls that are queued or running.
    #[must_use]
    pub fn active_calls(&self) -> usize {
        match self.state.lock().gate.as_ref() {
            Some(gate) => gate.active_calls(),
            None => 0,
        }
    }

    /// Calls `read` with the gate, for status and metrics.
    pub fn inspect<T>(&self, read: impl FnOnce(Option<&Gate>) -> T) -> T {
        read(self.state.lock().gate.as_ref())
    }

    /// Records that the target has crashed and returns the new suspicions.
    pub fn target_crashed(&self) -> Vec<SuspectEntry> {
        let now = self.clock.now();
        match self.state.lock().gate.as_mut() {
            Some(gate) => gate.target_crashed(now).entries,
            None => Vec::new(),
        }
    }

    /// Records an entry's report that an earlier attempt of this request broke.
    /// Returns the suspicion to spread, if any.
    pub fn report_suspect(&self, fingerprint: u64) -> Option<SuspectEntry> {
        let now = self.clock.now();
        self.state
            .lock()
            .gate
            .as_mut()?
            .report_suspect(fingerprint, now)
    }

    /// Returns the requests that were cleared of suspicion since the previous
    /// call.
    #[must_use]
    pub fn take_cleared(&self) -> Vec<SuspectEntry> {
        match self.state.lock().gate.as_mut() {
            Some(gate) => gate.take_cleared(),
            None => Vec::new(),
        }
    }

    /// Creates a refusal outside the decision logic, with the gate's retry
    /// delay.
    #[must_use]
    pub fn refusal(&self, code: ResultCode) -> Refusal {
        match self.state.lock().gate.as_mut() {
            Some(gate) => gate.refusal(code),
            None => Refusal::fixed(code),
        }
    }

    /// Returns the number of runs started since the process started.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.started.load(Ordering::Relaxed)
    }

    /// Returns the number of calls refused at arrival since the process
    /// started.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    fn refuse(&self, refusal: Refusal) -> Refusal {
        self.refused.fetch_add(1, Ordering::Relaxed);
        refusal
    }

    fn permit(self: &Arc<Self>, run: RunId, class: CallClass) -> RunPermit {
        self.started.fetch_add(1, Ordering::Relaxed);
        RunPermit::new(self, run, class)
    }

    fn enqueue(
        self: &Arc<Self>,
        waiting: &mut Waiting,
        run: RunId,
        class: CallClass,
    ) -> QueuedCall {
        let (sender, release) = oneshot::channel();
        waiting.queued.insert(run, sender);
        self.call_queued.notify_one();
        QueuedCall::new(self, run, class, release)
    }

    fn finish(&self, run: RunId, end: RunEnd, service_time_us: u32) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(gate) = state.gate.as_mut() else {
            return;
        };
        let wakes = gate.finish(run, end, service_time_us, now);
        release(gate, &mut state.waiting, wakes, now);
    }

    fn abandon(&self, run: RunId) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        state.waiting.queued.remove(&run);
        let Some(gate) = state.gate.as_mut() else {
            return;
        };
        let wakes = gate.abandon(run, now);
        release(gate, &mut state.waiting, wakes, now);
    }
}

fn cannot_record() -> Refusal {
    Refusal::retry_after(ResultCode::GateUnreachable, NO_CONFIGURATION_RETRY_MS)
}

fn no_configuration() -> Refusal {
    Refusal::retry_after(ResultCode::NoConfiguration, NO_CONFIGURATION_RETRY_MS)
}
