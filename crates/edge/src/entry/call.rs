//! Drives one call through its attempts until its answer is known.

mod ending;
mod few_gates;
mod selection;
mod urgency;
mod withdrawal;

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use hornbeamhitch_dispatch::overload::entry_admission::Admitted;
use hornbeamhitch_dispatch::overload::patience::WaitPlan;
use hornbeamhitch_dispatch::overload::urgency::Urgency;
use hornbeamhitch_dispatch::overload::work::WorkEstimate;
use hornbeamhitch_dispatch::placement::order::Candidate;
use tokio::sync::mpsc;

use super::answer::CallOutcome;
use super::progress::{Attempt, Progress};
use super::trail::Trail;
use super::{CallerRequest, ConnectionCall, Entry};
use crate::gate::GateEvent;
use crate::http1;
use crate::link::LinkEvent;
use crate::prelude::*;
use selection::Step;

/// A run that takes more than this multiple of its expected time counts as stuck;
/// an idempotent call is then hedged to a second target.
const STUCK_AFTER_RUNS: f64 = 2.5;
/// Lower bound of that time for short runs: recovering from a lost packet takes
/// as long.
const MIN_STUCK_AFTER_MS: Millis = Millis(60);

/// Everything that [`CallDriver::new`] needs to know about a call.
#[derive(Debug)]
pub(super) struct CallParts {
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) request_id: String,
    pub(super) fingerprint: u64,
    pub(super) deadline_at: Millis,
    /// End of the deadline that the caller has stated.
    pub(super) requested_until: Millis,
    /// How the call is placed.
    pub(super) admitted: Admitted,
    /// When the caller first sent this request, before any refusals.
    pub(super) first_arrived: Millis,
    pub(super) request: CallerRequest,
}

/// The request in the form in which each attempt sends it.
struct Request {
    route: Arc<Route>,
    service: ServiceName,
    request_id: String,
    /// Hash of the parts of the request that its retries have in common.
    fingerprint: u64,
    head: CallHead,
    body: Bytes,
    /// Place of the call on its connection.
    on_connection: ConnectionCall,
    deadline_at: Millis,
    /// End of the deadline that the caller has stated.
    requested_until: Millis,
    /// How the call is placed.
    admitted: Admitted,
    /// Probability in percent that this request repeats an earlier one: the share of
    /// repeated runs in this VM's target when the request arrived.
    repeated_percent: u8,
}

/// The current round. In each round the call is offered to the candidates one
/// after the other.
struct Rounds {
    /// Number of rounds started so far.
    count: u32,
    /// When the current round started.
    started_at: Millis,
    /// Candidates of the current round that have not been tried yet.
    remaining: VecDeque<Candidate>,
    /// Whether some gate of the current round may accept the call at once.
    has_free_gate: bool,
}

/// Results of the attempts so far.
#[derive(Default)]
struct History {
    /// Targets that were reached; none is tried twice.
    tried: Vec<TargetId>,
    /// Number of attempts that reached a target.
    arrivals: u32,
    /// Tokens taken from the retry budget whose attempts have reached no target yet.
    unused_tokens: u32,
    /// Number of attempts at gates that were to queue the call until they are free.
    queued_attempts: u32,
    /// Number of attempts at gates that had no capacity.
    full_gates: u32,
    /// When the first of the gates that were not asked accepts calls.
    free_at: Option<Millis>,
    /// Whether the request may have run in some target.
    may_have_run: bool,
    /// Whether a gate did not confirm an attempt whose content was sent.
    has_unconfirmed_content: bool,
    /// How the last attempt ended, for the log and for choosing the result code.
    last_end: Option<CallEnd>,
    /// A target's error answer, relayed if no other attempt succeeds.
    failed_answer: Option<(AnswerHead, Bytes)>,
}

/// Drives one call: sends attempts, handles their events and decides the outcome.
pub(super) struct CallDriver<'a> {
    entry: &'a Arc<Entry>,
    request: Request,
    work: WorkEstimate,
    /// The plan in force, with what the call has inherited.
    wait_plan: WaitPlan,
    /// The plan without what the call has inherited.
    own_wait_plan: WaitPlan,
    /// What the call has inherited from those behind it on its connection.
    inherited: Option<Urgency>,
    events: mpsc::UnboundedReceiver<Progress>,
    sender: mpsc::UnboundedSender<Progress>,
    attempts: Vec<Attempt>,
    rounds: Rounds,
    history: History,
    hedge_at: Option<Millis>,
    /// The attempts and how each ended, for the log.
    trail: Trail,
}

impl<'a> CallDriver<'a> {
    pub(super) fn new(entry: &'a Arc<Entry>, parts: CallParts) -> Self {
        let CallerRequest {
            head,
            body,
            arrived,
            on_connection,
            ..
        } = parts.request;
        let work = entry.state.lock().work_estimates.estimate(&parts.route);
        let wait_plan = WaitPlan::plan(&parts.route, &work, body.len(), arrived, parts.deadline_at);
        let wait_plan = wait_plan.after_waiting(arrived.since(parts.first_arrived));
        let (sender, events) = mpsc::unbounded_channel();
        let request = Request {
            head: outgoing_head(entry, head),
            body,
            on_connection,
            route: parts.route,
            service: parts.service,
            request_id: parts.request_id,
            fingerprint: parts.fingerprint,
            deadline_at: parts.deadline_at,
            requested_until: parts.requested_until,
            admitted: parts.admitted,
            repeated_percent: entry.gate.repeated_percent(),
        };
        let rounds = Rounds {
            count: 0,
            started_at: arrived,
            remaining: VecDeque::new(),
            has_free_gate: false,
        };
        Self {
            entry,
            request,
            work,
            wait_plan,
            own_wait_plan: wait_plan,
            inherited: None,
            events,
            sender,
            attempts: Vec::new(),
            rounds,
            history: History::default(),
            hedge_at: None,
            trail: Trail::default(),
        }
    }

    /// Runs the call until its answer is known or its deadline has passed. Returns
    /// the outcome and the trail of attempts.
    pub(super) async fn serve(mut self) -> (CallOutcome, Trail) {
        let deadline = self.entry.clock.to_instant(self.request.deadline_at);
        let outcome = match tokio::time::timeout_at(deadline, self.drive()).await {
            Ok(outcome) => outcome,
            Err(_) => self.deadline_outcome(),
        };
        (outcome, std::mem::take(&mut self.trail))
    }

    async fn drive(&mut self) -> CallOutcome {
        self.raise_calls_before();
        loop {
            if !self.has_open_attempt() {
                self.adopt_inherited(self.entry.now());
                match self.next_step() {
                    Step::Send(candidate, max_queue_ms) => self.send(&candidate, max_queue_ms),
                    Step::End(outcome) => return outcome,
                    Step::Pause(until) => {
                        tokio::time::sleep_until(self.entry.clock.to_instant(until)).await;
                        continue;
                    }
                }
            }
            let wake_at = self.next_timer();
            let timer_at = wake_at.unwrap_or(self.request.deadline_at);
            let timer_at = self.entry.clock.to_instant(timer_at);
            let progress = tokio::select! {
                biased;
                progress = self.events.recv() => progress,
                () = tokio::time::sleep_until(timer_at), if wake_at.is_some() => None,
                () = self.request.on_connection.raised(), if self.hedge_at.is_some() => {
                    self.bring_hedge_forward();
                    continue;
                }
            };
            let Some(progress) = progress else {
                self.adopt_inherited(self.entry.now());
                self.handle_timers();
                continue;
            };
            if let Some(outcome) = self.handle_progress(progress) {
                return outcome;
            }
        }
    }

    /// Returns when the next hedge or confirmation is due.
    fn next_timer(&self) -> Option<Millis> {
        let due = self.next_confirmation();
        due.into_iter().chain(self.hedge_at).min()
    }

    fn handle_timers(&mut self) {
        let now = self.entry.now();
        self.withdraw_overdue(now);
        if self.hedge_at.is_some_and(|at| at <= now) {
            self.hedge();
        }
    }

    fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.guard.is_some())
    }

    /// Handles an event of an attempt. Returns the outcome if the event ends the call.
    fn handle_progress(&mut self, progress: Progress) -> Option<CallOutcome> {
        let number = progress.attempt;
        self.attempts[number].guard.as_ref()?;
        self.attempts[number].confirmation = None;
        self.record_reachability(number, &progress.event);
        match progress.event {
            LinkEvent::Silent => {
                self.end_without_run(number, "silent");
                None
            }
            LinkEvent::Unreachable if self.attempts[number].lost_incarnation.is_some() => {
                self.handle_unknown_outcome(number, CallEnd::Broken)
            }
            LinkEvent::Unreachable => {
                let now = self.entry.now();
                let target = self.end_without_run(number, "unreachable");
                self.entry
                    .state
                    .lock()
                    .failures
                    .note_unreachable(&target, now);
                None
            }
            LinkEvent::Lost(incarnation) => self.handle_link_loss(number, incarnation),
            LinkEvent::Gate(event, incarnation) => {
                let lost_incarnation = self.attempts[number].lost_incarnation;
                if lost_incarnation.is_some_and(|known| known != incarnation) {
                    // The gate's process has restarted and does not know the attempt.
                    return self.handle_unknown_outcome(number, CallEnd::Broken);
                }
                self.handle_gate_event(number, event)
            }
        }
    }

    /// Updates whether other VMs are reachable; attempts on this VM say nothing
    /// about that.
    fn record_reachability(&self, number: usize, event: &LinkEvent) {
        let member = &self.attempts[number].member;
        if member.address == self.entry.listed_address {
            return;
        }
        let mut state = self.entry.state.lock();
        match event {
            LinkEvent::Gate(..) => state.reachability.note_reached(self.entry.now()),
            LinkEvent::Unreachable | LinkEvent::Silent | LinkEvent::Lost(_) => {
                state.reachability.note_unreachable(member.vm_ip());
            }
        }
    }

    fn handle_gate_event(&mut self, number: usize, event: GateEvent) -> Option<CallOutcome> {
        match event {
            // The link client sends the body itself.
            GateEvent::WantsContent | GateEvent::Received => None,
            GateEvent::Load(load) => {
                let now = self.entry.now();
                let target = &self.attempts[number].member;
                self.entry
                    .state
                    .lock()
                    .admission
                    .note_load(target, load, now);
                None
            }
            GateEvent::Started { slowness_percent } => {
                self.handle_start(number, slowness_percent);
                None
            }
            GateEvent::Answered { head, body } => self.handle_answer(number, head, body),
            GateEvent::Ended(end) if end.is_not_run() => self.handle_refusal(number, end),
            GateEvent::Ended(end) => self.handle_unknown_outcome(number, end),
        }
    }

    fn handle_start(&mut self, number: usize, slowness_percent: u32) {
        let now = self.entry.now();
        let attempt = &mut self.attempts[number];
        attempt.started = Some((now, slowness_percent));
        let target = Arc::clone(&attempt.member);
        let was_counted = std::mem::replace(&mut attempt.is_counted, true);
        self.entry.state.lock().refusals.note_accepted(&target);
        if !was_counted {
            self.count_arrival(target.id.clone());
        }
        if self.request.route.kind.is_idempotent() {
            self.adopt_inherited(now);
            self.hedge_at = Some(self.hedge_time(now, slowness_percent));
        }
    }

    fn count_arrival(&mut self, target: TargetId) {
        self.history.tried.push(target);
        self.history.arrivals += 1;
        if self.history.arrivals == 1 {
            let now = self.entry.now();
            let entries = self.entries();
            let mut state = self.entry.state.lock();
            state.count_first_attempt(
                &self.request.service,
                entries,
                self.request.repeated_percent,
                now,
            );
            return;
        }
        self.history.unused_tokens = self.history.unused_tokens.saturating_sub(1);
    }

    /// Returns how many entries share the retry budget: one for each listed VM.
    fn entries(&self) -> usize {
        self.entry.directory.load().members.len()
    }

    /// Ends an attempt that does not run. The call goes on elsewhere.
    fn end_without_run(&mut self, number: usize, end: &str) -> Arc<Member> {
        let target = self.close_attempt(number);
        self.trail.push(&target.id, end);
        self.history.last_end = Some(CallEnd::Down);
        target
    }

    fn close_attempt(&mut self, number: usize) -> Arc<Member> {
        let attempt = &mut self.attempts[number];
        attempt.guard = None;
        Arc::clone(&attempt.member)
    }
}

/// Returns unused tokens to the retry budget, also if the caller disconnects and
/// the call is dropped midway. Otherwise an entry whose callers often give up would
/// use up its budget without sending any retries.
impl Drop for CallDriver<'_> {
    fn drop(&mut self) {
        let mut state = self.entry.state.lock();
        for _ in 0..self.history.unused_tokens {
            state.refund_retry(&self.request.service);
        }
    }
}

/// Builds the head that is sent to targets. The gate adds the fields that differ
/// between attempts.
fn outgoing_head(entry: &Entry, head: http1::RequestHead) -> CallHead {
    let names = entry.dialect.names();
    let mut fields = head.fields;
    http1::strip_hop_by_hop(&mut fields);
    let replaced = [
        // Sent in the call's terms instead.
        names.request_id,
        names.deadline_ms,
        names.expected_target,
        names.caller_service,
        "expect",
    ];
    fields.retain(|field| {
        !replaced
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name))
    });
    fields.push(HeaderField {
        name: names.caller_service.to_owned(),
        value: Bytes::copy_from_slice(entry.service.as_str().as_bytes()),
    });
    CallHead {
        method: head.method,
        path: head.path,
        fields,
    }
}
