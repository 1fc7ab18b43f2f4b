//! The gate's decisions behind one lock, and the calls that wait on them.

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
pub use permit::{HeldCall, RunPermit};
use waiting::{Waiting, release};

/// Nobody can come back sooner with success than a configuration spreads.
const NO_CONFIGURATION_RETRY_MS: Millis = Millis(500);

#[derive(Debug)]
struct State {
    /// `None` until a configuration names the service.
    gate: Option<Gate>,
    policy: Option<Arc<ServicePolicy>>,
    /// The target drains, or the process was told to end.
    leaving: bool,
    /// The control thread knows that this VM takes no new work.
    told_leaving: bool,
    waiting: Waiting,
}

impl State {
    fn takes_no_work(&self) -> bool {
        self.leaving || self.told_leaving
    }

    fn pass_on_leaving(&mut self) {
        let leaving = self.takes_no_work();
        if let Some(gate) = self.gate.as_mut() {
            gate.set_leaving(leaving);
        }
    }
}

/// The gate of this node: decisions in, waiting calls released.
///
/// A decision and the registration of the call that waits on it happen under
/// one lock. Otherwise a release could be emitted before its call is known
/// here, and that call would wait for ever.
#[derive(Debug)]
pub struct GateBoard {
    settings: GateSettings,
    clock: ProcessClock,
    state: Mutex<State>,
    /// A call was held.
    call_held: Notify,
    started: AtomicU64,
    refused: AtomicU64,
    metrics: Arc<Metrics>,
}

/// What becomes of a call that streams through the gate.
#[derive(Debug)]
pub enum Admission {
    /// Run it now.
    Run(RunPermit),
    /// Wait for a place.
    Held(HeldCall),
    /// Answer at once.
    Refused(Refusal),
}

/// What becomes of a ticketed call.
#[derive(Debug)]
pub enum RecordedAdmission {
    /// This arrival starts the run; its settlement comes to `settled`.
    First {
        /// Place in the target, or in the queue for one.
        place: Admission,
        /// Settlement of the key.
        settled: oneshot::Receiver<Settlement>,
    },
    /// Another arrival runs it; its settlement comes here too.
    Joined(oneshot::Receiver<Settlement>),
    /// Answer from the record.
    Replay(Arc<StoredAnswer>),
    /// Answer at once.
    Refused(Refusal),
}

/// What is known of a key that was asked about.
#[derive(Debug)]
pub enum KeyState {
    /// Settled for good.
    Settled(Settlement),
    /// Running; the settlement comes here.
    Running(oneshot::Receiver<Settlement>),
}

impl GateBoard {
    /// A gate that refuses everything until a policy is known.
    #[must_use]
    pub fn new(settings: GateSettings, clock: ProcessClock, metrics: Arc<Metrics>) -> Self {
        Self {
            settings,
            clock,
            state: Mutex::new(State {
                gate: None,
                policy: None,
                leaving: false,
                told_leaving: false,
                waiting: Waiting::default(),
            }),
            call_held: Notify::new(),
            started: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            metrics,
        }
    }

    /// Takes over the policy in force for the service.
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
        gate.set_leaving(state.takes_no_work());
        state.gate = Some(gate);
    }

    /// Takes over what the fleet suspects.
    pub fn apply_suspects(&self, suspects: &Arc<SuspectSet>) {
        if let Some(gate) = self.state.lock().gate.as_mut() {
            gate.update_suspects(Arc::clone(suspects));
        }
    }

    /// This life of the process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.settings.incarnation
    }

    /// The service's policy, once known.
    #[must_use]
    pub fn policy(&self) -> Option<Arc<ServicePolicy>> {
        self.state.lock().policy.clone()
    }

    /// Decides about a call that streams through.
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
                Admission::Held(self.hold(&mut state.waiting, run, arrival.class))
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

    /// Decides about a ticketed call whose whole body is in hand.
    pub fn arrive_recorded(self: &Arc<Self>, arrival: &Arrival<'_>) -> RecordedAdmission {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(gate) = state.gate.as_mut() else {
            // Nothing can be recorded yet, so nothing is fenced, and a late
            // duplicate may run once there is a policy: never "not run".
            return RecordedAdmission::Refused(unrecorded());
        };
        let admission = match gate.arrive(arrival, now) {
            Verdict::Run(run) => RecordedAdmission::First {
                settled: state.waiting.join(run),
                place: Admission::Run(self.permit(run, arrival.class)),
            },
            Verdict::Wait(run) => RecordedAdmission::First {
                settled: state.waiting.join(run),
                place: Admission::Held(self.hold(&mut state.waiting, run, arrival.class)),
            },
            Verdict::Join(run) => RecordedAdmission::Joined(state.waiting.join(run)),
            Verdict::Replay(answer) => RecordedAdmission::Replay(answer),
            Verdict::Refuse(refusal) => RecordedAdmission::Refused(self.refuse(refusal)),
        };
        let wakes = gate.take_wakes();
        release(gate, &mut state.waiting, wakes, now);
        admission
    }

    /// Settles a key as far as it can be settled, which fences one not started.
    pub fn fence(&self, ticket: &Ticket) -> KeyState {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(gate) = state.gate.as_mut() else {
            return KeyState::Settled(Settlement::Refused(unrecorded()));
        };
        let key = match gate.fence(ticket, now) {
            FenceAnswer::Settled(settlement) => KeyState::Settled(settlement),
            FenceAnswer::Running(run) => KeyState::Running(state.waiting.join(run)),
        };
        let wakes = gate.take_wakes();
        release(gate, &mut state.waiting, wakes, now);
        key
    }

    /// Returns once a call is held, at once when one is.
    pub async fn call_is_held(&self) {
        loop {
            // Taken before the look, so that a call held in between is seen.
            let held = self.call_held.notified();
            if !self.state.lock().waiting.held.is_empty() {
                return;
            }
            held.await;
        }
    }

    /// Expires what waits too long; call every few milliseconds while calls
    /// are held, and now and then to forget what has expired.
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

    /// The report for answers and control messages.
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
                leaving: state.takes_no_work(),
            },
        }
    }

    /// From now on (or no longer) refuses new work.
    pub fn set_leaving(&self, leaving: bool) {
        let mut state = self.state.lock();
        state.leaving = leaving;
        state.pass_on_leaving();
    }

    /// Takes over whether this VM takes no new work by what the control thread
    /// has heard, such as the platform's VM list.
    ///
    /// Announcements alone would leave the promise to the network: an entry
    /// that misses them sends work here for ever. The gate refuses it.
    pub fn apply_leaving(&self, leaving: bool) {
        let mut state = self.state.lock();
        state.told_leaving = leaving;
        state.pass_on_leaving();
    }

    /// Whether new work is refused.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.state.lock().takes_no_work()
    }

    /// Calls held or running.
    #[must_use]
    pub fn active_calls(&self) -> usize {
        match self.state.lock().gate.as_ref() {
            Some(gate) => gate.active_calls(),
            None => 0,
        }
    }

    /// Reads the gate, for status and metrics.
    pub fn inspect<T>(&self, read: impl FnOnce(Option<&Gate>) -> T) -> T {
        read(self.state.lock().gate.as_ref())
    }

    /// The target has crashed; says what is suspected now.
    pub fn target_crashed(&self) -> Vec<SuspectEntry> {
        let now = self.clock.now();
        match self.state.lock().gate.as_mut() {
            Some(gate) => gate.target_crashed(now).entries,
            None => Vec::new(),
        }
    }

    /// An entry saw an earlier attempt of this request break.
    pub fn report_suspect(&self, fingerprint: u64) -> Option<SuspectEntry> {
        let now = self.clock.now();
        self.state
            .lock()
            .gate
            .as_mut()?
            .report_suspect(fingerprint, now)
    }

    /// Requests that were cleared since the last call.
    #[must_use]
    pub fn take_cleared(&self) -> Vec<SuspectEntry> {
        match self.state.lock().gate.as_mut() {
            Some(gate) => gate.take_cleared(),
            None => Vec::new(),
        }
    }

    /// A refusal that the driver gives, with the gate's time to stay away.
    #[must_use]
    pub fn refusal(&self, code: ResultCode) -> Refusal {
        match self.state.lock().gate.as_mut() {
            Some(gate) => gate.refusal(code),
            None => Refusal::fixed(code),
        }
    }

    /// Runs started since the start of the process.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.started.load(Ordering::Relaxed)
    }

    /// Calls refused at arrival since the start of the process.
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

    fn hold(self: &Arc<Self>, waiting: &mut Waiting, run: RunId, class: CallClass) -> HeldCall {
        let (sender, release) = oneshot::channel();
        waiting.held.insert(run, sender);
        self.call_held.notify_one();
        HeldCall::new(self, run, class, release)
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
        state.waiting.held.remove(&run);
        let Some(gate) = state.gate.as_mut() else {
            return;
        };
        let wakes = gate.abandon(run, now);
        release(gate, &mut state.waiting, wakes, now);
    }
}

fn unrecorded() -> Refusal {
    Refusal::retry_after(ResultCode::GateUnreachable, NO_CONFIGURATION_RETRY_MS)
}

fn no_configuration() -> Refusal {
    Refusal::retry_after(ResultCode::NoConfiguration, NO_CONFIGURATION_RETRY_MS)
}
