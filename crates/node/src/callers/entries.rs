//! The entry's routing decisions: one lock per service, updated from the
//! published routes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use hornbeamhitch_core::entry::{
    AttemptEnd, AttemptOutcome, CallProgress, EntryService, EntrySettings, Next, Pick, PickRequest,
    TargetIndex, TicketGate,
};
use hornbeamhitch_core::prelude::*;
use parking_lot::{Mutex, RwLock};

use super::gate_clocks::GateClocks;
use crate::clock::ProcessClock;

/// The routes in force. The control thread replaces the whole table.
pub type SharedRoutes = Arc<ArcSwap<RouteTable>>;

/// The state of every service that callers have requested from this node.
#[derive(Debug)]
pub struct EntryBoard {
    routes: SharedRoutes,
    clock: ProcessClock,
    seed: u64,
    entries: RwLock<HashMap<ServiceName, Arc<Entry>>>,
}

/// The state of one service at this entry.
///
/// Only traffic threads take its lock, for a fraction of a microsecond; the
/// control thread never does.
#[derive(Debug)]
pub struct Entry {
    clock: ProcessClock,
    state: Mutex<EntryState>,
}

#[derive(Debug)]
struct EntryState {
    service: EntryService,
    /// The view that `service` was last updated with.
    applied_view: Arc<ServiceView>,
    counts: EntryCounts,
    clocks: GateClocks,
}

/// Counters of one service at this entry since the process started.
#[derive(Clone, Debug, Default)]
pub struct EntryCounts {
    /// Number of calls that were sent at least once.
    pub first_attempts: u64,
    /// Number of retries that the budget allowed.
    pub retries: u64,
    /// Number of hedges that the budget allowed.
    pub hedges: u64,
    /// Counters by target.
    targets: HashMap<TargetIndex, TargetCounts>,
}

/// Counters of one target at this entry since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetCounts {
    /// Number of attempts that have ended.
    pub attempts: u64,
    /// Number of attempts that failed; refusals do not count as failures.
    pub failures: u64,
}

impl EntryCounts {
    /// Returns the counters of one target.
    #[must_use]
    pub fn of(&self, target: TargetIndex) -> TargetCounts {
        self.targets.get(&target).copied().unwrap_or_default()
    }

    fn note_end(&mut self, target: TargetIndex, end: &AttemptEnd) {
        let counts = self.targets.entry(target).or_default();
        counts.attempts += 1;
        let failed = matches!(
            end,
            AttemptEnd::Answered { failed: true }
                | AttemptEnd::Unreachable
                | AttemptEnd::Broken
                | AttemptEnd::TimedOut
        );
        counts.failures += u64::from(failed);
    }
}

/// A target chosen for one attempt, and its address.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// The attempt as counted by the entry.
    pub pick: Pick,
    /// The target's VM.
    pub vm: VmId,
    /// The gate's address.
    pub peer: std::net::SocketAddr,
}

/// The gate that a ticket names, and what this entry knows about it.
#[derive(Debug)]
pub struct ChosenGate {
    /// Guard of the attempt at this gate.
    pub guard: AttemptGuard,
    /// The latest known incarnation on the VM.
    pub incarnation: Option<Incarnation>,
    /// A lower bound of the time on the clock of the ticket's incarnation;
    /// `None` until that gate has answered this entry.
    pub clock_ms: Option<Millis>,
}

impl EntryBoard {
    /// Creates a board without entries.
    #[must_use]
    pub fn new(routes: SharedRoutes, clock: ProcessClock, seed: u64) -> Self {
        Self {
            routes,
            clock,
            seed,
            entries: RwLock::new(HashMap::new()),
        }
    }

    /// Returns the routes in force.
    #[must_use]
    pub fn routes(&self) -> Arc<RouteTable> {
        self.routes.load_full()
    }

    /// Returns the entry and the view of a service, after updating the entry to
    /// that view. Returns `None` if the routes do not contain the service.
    #[must_use]
    pub fn entry(&self, service: &str) -> Option<(Arc<Entry>, Arc<ServiceView>)> {
        let routes = self.routes.load();
        let view = routes.services.get(service)?;
        let known = self.entries.read().get(service).cloned();
        let entry = match known {
            Some(entry) => entry,
            None => self.create(view),
        };
        entry.update(view);
        Some((entry, Arc::clone(view)))
    }

    /// Calls `visit` for every entry, for status and metrics.
    pub fn visit(&self, mut visit: impl FnMut(&ServiceName, &EntryService, &EntryCounts)) {
        let entries = self.entries.read();
        for (name, entry) in entries.iter() {
            let state = entry.state.lock();
            visit(name, &state.service, &state.counts);
        }
    }

    fn create(&self, view: &Arc<ServiceView>) -> Arc<Entry> {
        let mut entries = self.entries.write();
        let name = view.policy.service.clone();
        let created = entries.entry(name).or_insert_with(|| {
            let settings = EntrySettings { seed: self.seed };
            let service = EntryService::new(&settings, Arc::clone(view), self.clock.now());
            Arc::new(Entry {
                clock: self.clock,
                state: Mutex::new(EntryState {
                    service,
                    applied_view: Arc::clone(view),
                    counts: EntryCounts::default(),
                    clocks: GateClocks::default(),
                }),
            })
        });
        Arc::clone(created)
    }
}

impl Entry {
    fn update(&self, view: &Arc<ServiceView>) {
        let mut state = self.state.lock();
        if Arc::ptr_eq(&state.applied_view, view) {
            return;
        }
        state.applied_view = Arc::clone(view);
        state.service.update(Arc::clone(view), self.clock.now());
        let EntryState {
            service, clocks, ..
        } = &mut *state;
        clocks.retain(|vm| service.target_on(vm).is_some());
    }

    /// Chooses a target for one attempt.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if no target is usable.
    pub fn choose(
        self: &Arc<Self>,
        exclude: &[TargetIndex],
        deadline_at: Millis,
    ) -> Result<AttemptGuard, Refusal> {
        let now = self.clock.now();
        let request = PickRequest {
            exclude,
            deadline_at,
        };
        let mut state = self.state.lock();
        let pick = state.service.pick(&request, now)?;
        state.counts.first_attempts += u64::from(exclude.is_empty());
        let chosen = chosen(&state.service, pick);
        drop(state);
        Ok(self.guard(chosen))
    }

    /// Chooses the target on the ticket's VM. Returns `None` if this node does
    /// not know the VM.
    pub fn choose_gate(self: &Arc<Self>, ticket: &Ticket) -> Option<ChosenGate> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let vm = &ticket.gate;
        let (index, target) = state.service.target_on(vm)?;
        let incarnation = target.incarnation;
        let clock_ms = state.clocks.lower_bound(vm, ticket.incarnation, now);
        let pick = state.service.pick_fixed(index, now);
        state.counts.first_attempts += 1;
        let chosen = chosen(&state.service, pick);
        drop(state);
        Some(ChosenGate {
            guard: self.guard(chosen),
            incarnation,
            clock_ms,
        })
    }

    /// Decides whether a failed attempt is retried or ends the call.
    pub fn after_failure(&self, call: &CallProgress, end: &AttemptEnd) -> Next {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let next = state.service.after_failure(call, end, now);
        state.counts.retries += u64::from(next == Next::Retry);
        next
    }

    /// Returns how long to wait before a hedge; `None` if the call must not be
    /// hedged.
    #[must_use]
    pub fn hedge_delay_ms(&self, call: &CallProgress) -> Option<Millis> {
        self.state.lock().service.hedge_delay_ms(call)
    }

    /// Spends from the hedge budget. Returns false if the budget does not allow
    /// a hedge.
    pub fn try_hedge(&self, call: &CallProgress) -> bool {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let is_allowed = state.service.try_hedge(call, now);
        state.counts.hedges += u64::from(is_allowed);
        is_allowed
    }

    /// Chooses the gate for a new ticket with the given key.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no gate accepts new work.
    pub fn ticket_gate(&self, key: CallKey) -> Result<TicketGate, Refusal> {
        let now = self.clock.now();
        self.state.lock().service.ticket_gate(key, now)
    }

    /// Chooses the gate for a ticket whose key was not chosen by a caller;
    /// takes the gates in turn.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no gate accepts new work.
    pub fn ticket_gate_in_turn(&self) -> Result<TicketGate, Refusal> {
        let now = self.clock.now();
        self.state.lock().service.ticket_gate_in_turn(now)
    }

    /// Returns how long a refused caller should wait before it retries.
    pub fn retry_after_ms(&self) -> Millis {
        let now = self.clock.now();
        self.state.lock().service.retry_after_ms(now)
    }

    fn guard(self: &Arc<Self>, target: ChosenTarget) -> AttemptGuard {
        AttemptGuard {
            entry: Arc::clone(self),
            target,
            started_at: Instant::now(),
            head_latency_us: None,
            load: None,
            load_received_at: Millis::ZERO,
            ended: false,
        }
    }
}

fn chosen(service: &EntryService, pick: Pick) -> ChosenTarget {
    let target = service
        .target(pick.target)
        .expect("a pick refers to a target of the current view");
    ChosenTarget {
        pick,
        vm: target.vm.clone(),
        peer: target.peer,
    }
}

/// One attempt in flight. Dropping it counts as a cancellation, so that an
/// attempt whose caller left cannot stay counted as in flight.
#[derive(Debug)]
pub struct AttemptGuard {
    entry: Arc<Entry>,
    /// The target of the attempt.
    pub target: ChosenTarget,
    started_at: Instant,
    head_latency_us: Option<u32>,
    load: Option<LoadReport>,
    load_received_at: Millis,
    ended: bool,
}

impl AttemptGuard {
    /// Records that the head of the answer has arrived, with its load report.
    /// Returns the attempt's latency, which is the time to the head, in
    /// microseconds.
    pub fn note_head(&mut self, load: Option<LoadReport>) -> u32 {
        let latency_us = self.elapsed_us();
        self.head_latency_us = Some(latency_us);
        self.load = load;
        self.load_received_at = self.entry.clock.now();
        latency_us
    }

    /// Ends the attempt with the given outcome.
    pub fn end(mut self, end: AttemptEnd) {
        self.finish(end);
    }

    fn finish(&mut self, end: AttemptEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        let outcome = AttemptOutcome {
            end,
            latency_us: self.head_latency_us.unwrap_or_else(|| self.elapsed_us()),
            load: self.load,
        };
        let now = self.entry.clock.now();
        let mut state = self.entry.state.lock();
        state.service.finish(&self.target.pick, &outcome, now);
        if let Some(report) = &self.load {
            state
                .clocks
                .observe(&self.target.vm, report, self.load_received_at);
        }
        state.counts.note_end(self.target.pick.target, &end);
    }

    fn elapsed_us(&self) -> u32 {
        u32::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u32::MAX)
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.finish(AttemptEnd::Cancelled);
    }
}

#[cfg(test)]
mod tests;
