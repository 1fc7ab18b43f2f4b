//! Calls at their entries, with attempts, retries, hedges and final answers.

use hornbeamhitch_core::suspects::SuspicionLevel;

use super::World;
use super::call::{Attempt, Call, CallKind, Stage};
use super::tally::CallEnd;
use crate::case::{CALLER_DISTANCE, CONNECT_COST, DATA_CENTRES};
use crate::event::{AttemptIndex, CallIndex, Event, HostId};
use crate::policy::Truth;
use crate::prelude::*;

/// Number of times that a caller sends a call at most.
const MAX_TRIES: u32 = 5;
/// Time after which a caller resends a call if the answer has no `Retry-After`.
const DEFAULT_RETRY_WAIT: Micros = Micros::from_millis(500);
/// Round trip from an entry to the caller and back.
const CALLER_ROUND_TRIP: Micros = Micros(2 * CALLER_DISTANCE.0);

impl World {
    pub(super) fn new_call(&mut self) {
        let new_call = self.workload.next_call();
        let next_at = self.now + new_call.gap;
        if next_at < self.case.duration {
            self.queue.schedule(next_at, Event::NewCall);
        }
        let node = self.live_node(new_call.entry_draw);
        self.add_call(CallKind::FromCaller, 0, node, new_call.identity);
    }

    /// Adds a call and sends it to its entry.
    pub(super) fn add_call(&mut self, kind: CallKind, service: usize, node: usize, identity: u64) {
        let index = CallIndex(self.calls.len());
        let deadline_at = match kind {
            CallKind::FromTarget(parent) => {
                let parent_call = self.attempt(parent).call;
                self.attempt_mut(parent).nested_call = Some(index);
                self.call(parent_call).deadline_at
            }
            CallKind::FromCaller | CallKind::Crashing => Micros::ZERO,
        };
        self.calls.push(Call {
            kind,
            service,
            node,
            identity,
            sent_at: self.now,
            arrived_at: self.now,
            deadline_at,
            live: false,
            live_attempts: Vec::new(),
            tried: Vec::new(),
            attempts: 0,
            may_have_run: false,
            broke: false,
            hedged: false,
            tries: 0,
            ticket: None,
        });
        if let Some(maker) = self.case.ticket_keys {
            self.fetch_ticket(index, maker);
            return;
        }
        self.call_at_entry(index);
    }

    /// The entry answers 307, and the caller sends the call again with its ticket.
    fn fetch_ticket(&mut self, index: CallIndex, maker: KeyMaker) {
        let call = self.call(index);
        let (node, service, identity) = (call.node, call.service, call.identity);
        let key = CallKey(u128::from(identity));
        let truth = Truth {
            hosts: &self.services[service].hosts,
            mean_work_us: self.services[service].mean_work_us,
            now: self.now,
        };
        let picked = self.nodes[node].policies[service].pick_ticket_gate(key, maker, &truth);
        let vm = match picked {
            Ok(vm) => vm,
            Err(refusal) => {
                self.call_mut(index).live = true;
                self.finish_try(index, CallEnd::Refused(refusal));
                return;
            }
        };
        let service = &mut self.services[service];
        let host = service.hosts.iter_mut().find(|host| host.vm == vm);
        let host = host.expect("tickets name hosts of the run");
        host.incoming += 1;
        let ticket = Ticket {
            service: service.policy.service.clone(),
            gate: vm,
            incarnation: host.incarnation,
            key,
            expires_at: self.now.floor_millis() + service.policy.ticket_ttl_ms,
        };
        self.call_mut(index).ticket = Some(ticket);
        let at = self.now + CALLER_ROUND_TRIP;
        self.queue.schedule(at, Event::CallAtEntry(index));
    }

    /// Selects a node that callers can reach.
    pub(super) fn live_node(&self, draw: u64) -> usize {
        let nodes = self.nodes.len();
        let mut node = (draw % nodes as u64) as usize;
        while self.lost_data_centres[node % DATA_CENTRES].is_some() {
            node = (node + 1) % nodes;
        }
        node
    }

    pub(super) fn call_at_entry(&mut self, index: CallIndex) {
        let node = self.live_node(self.call(index).node as u64);
        let now = self.now;
        let own_deadline_at = now + Micros::from(self.case.deadline());
        let call = self.call_mut(index);
        call.node = node;
        call.tries += 1;
        call.arrived_at = now;
        call.live = true;
        call.tried.clear();
        call.attempts = 0;
        call.may_have_run = false;
        call.broke = false;
        call.hedged = false;
        if !matches!(call.kind, CallKind::FromTarget(_)) {
            call.deadline_at = own_deadline_at;
        }
        let deadline_at = call.deadline_at;
        self.tally.tries += 1;
        self.queue.schedule(deadline_at, Event::DeadlineAt(index));
        self.start_attempt(index);
    }

    fn start_attempt(&mut self, index: CallIndex) {
        let (node, service) = (self.call(index).node, self.call(index).service);
        let pick = match self.pick(index) {
            Ok(pick) => pick,
            Err(refusal) => {
                if self.call(index).live_attempts.is_empty() {
                    self.finish_try(index, CallEnd::Refused(refusal));
                }
                return;
            }
        };
        let target = self.nodes[node].policies[service].host_of(pick.target);
        let host = HostId { service, target };
        let attempt = AttemptIndex(self.attempts.len());
        self.attempts.push(Attempt {
            call: index,
            host,
            pick,
            sent_at: self.now,
            stage: Stage::Sent,
            run: None,
            at_target_since: Micros::ZERO,
            live: true,
            nested_call: None,
            slot_time: Micros::ZERO,
            outcome: None,
        });
        self.tally.attempts += 1;
        let call = self.call_mut(index);
        call.attempts += 1;
        call.tried.push(pick.target);
        call.live_attempts.push(attempt);
        if self.call(index).ticket.is_none() {
            self.host_mut(host).incoming += 1;
        }
        let at = self.now + self.connect(node, host) + self.distance(node, host);
        self.queue.schedule(at, Event::AttemptAtGate(attempt));
        self.schedule_hedge(index);
    }

    fn pick(&mut self, index: CallIndex) -> Result<Pick, Refusal> {
        let call = &self.calls[index.0];
        let policy = &mut self.nodes[call.node].policies[call.service];
        if let Some(ticket) = &call.ticket {
            let found = policy.core().target_on(&ticket.gate);
            let Some((target, _)) = found else {
                return Err(Refusal::fixed(ResultCode::GateLost));
            };
            return Ok(policy.core().pick_fixed(target, self.now.floor_millis()));
        }
        let request = PickRequest {
            exclude: &call.tried,
            deadline_at: call.deadline_at.floor_millis(),
        };
        let truth = Truth {
            hosts: &self.services[call.service].hosts,
            mean_work_us: self.services[call.service].mean_work_us,
            now: self.now,
        };
        policy.pick(&request, &truth)
    }

    /// Marks the connection as open and returns the time that it takes to open it.
    fn connect(&mut self, node: usize, host: HostId) -> Micros {
        let connected = &mut self.nodes[node].connected[host.service][host.target];
        if *connected {
            return Micros::ZERO;
        }
        *connected = true;
        CONNECT_COST
    }

    fn schedule_hedge(&mut self, index: CallIndex) {
        let call = &self.calls[index.0];
        if call.attempts != 1 || call.ticket.is_some() {
            return;
        }
        let progress = call.progress(true);
        let core = self.nodes[call.node].policies[call.service].core();
        let Some(delay) = core.hedge_delay_ms(&progress) else {
            return;
        };
        let at = self.now + Micros::from(delay);
        self.queue.schedule(at, Event::HedgeDue(index));
    }

    pub(super) fn hedge_due(&mut self, index: CallIndex) {
        let now = self.now.floor_millis();
        let call = &self.calls[index.0];
        if !call.live || call.hedged || call.attempts != 1 {
            return;
        }
        if self.suspects.level(call.fingerprint()) != SuspicionLevel::Clear {
            return;
        }
        let progress = call.progress(true);
        let truth = Truth {
            hosts: &self.services[call.service].hosts,
            mean_work_us: self.services[call.service].mean_work_us,
            now: self.now,
        };
        let policy = &mut self.nodes[call.node].policies[call.service];
        if !policy.has_free_slot(&truth) || !policy.core().try_hedge(&progress, now) {
            return;
        }
        self.call_mut(index).hedged = true;
        self.tally.hedges += 1;
        self.start_attempt(index);
    }

    pub(super) fn end_at_entry(&mut self, index: AttemptIndex) {
        if !self.attempt(index).live {
            return;
        }
        let outcome = self.attempt(index).outcome;
        let outcome = outcome.expect("an end that travels has an outcome");
        self.finish_attempt(index, &outcome);
        let call = self.attempt(index).call;
        self.call_mut(call).broke |= outcome.end == AttemptEnd::Broken;
        if outcome.end == (AttemptEnd::Answered { failed: false }) {
            let slot_time = self.attempt(index).slot_time;
            self.tally.useful_us += slot_time.0;
            self.finish_try(call, CallEnd::Answered);
            return;
        }
        if !self.call(call).live_attempts.is_empty() {
            self.call_mut(call).may_have_run |= outcome.end.may_have_run();
            return;
        }
        self.after_failure(call, &outcome.end);
    }

    fn after_failure(&mut self, index: CallIndex, end: &AttemptEnd) {
        let now = self.now.floor_millis();
        let call = &self.calls[index.0];
        let progress = call.progress(call.ticket.is_none());
        let core = self.nodes[call.node].policies[call.service].core();
        let next = core.after_failure(&progress, end, now);
        self.call_mut(index).may_have_run |= end.may_have_run();
        match next {
            // A gate never runs a ticket that it rejected, so a retry there is useless.
            // The caller has to get a new ticket.
            Next::Retry if self.call(index).ticket.is_some() => {
                let refusal = Refusal::fixed(ResultCode::Overloaded);
                self.finish_try(index, call_end(end, refusal));
            }
            Next::Retry => {
                self.tally.retries += 1;
                self.start_attempt(index);
            }
            Next::GiveUp(refusal) => self.finish_try(index, call_end(end, refusal)),
        }
    }

    /// Finishes an attempt at its entry.
    pub(super) fn finish_attempt(&mut self, index: AttemptIndex, outcome: &AttemptOutcome) {
        let now = self.now.floor_millis();
        let attempt = self.attempt_mut(index);
        attempt.live = false;
        let (call, pick, service) = (attempt.call, attempt.pick, attempt.host.service);
        let call = self.call_mut(call);
        call.live_attempts.retain(|live| *live != index);
        let node = call.node;
        self.nodes[node].policies[service].finish(&pick, outcome, now);
    }

    pub(super) fn deadline_at(&mut self, index: CallIndex) {
        let call = self.call(index);
        if !call.live || call.deadline_at > self.now {
            return;
        }
        self.cancel_attempts(index, AttemptEnd::TimedOut);
        let refusal = Refusal::fixed(ResultCode::DeadlinePassed);
        self.finish_try(index, CallEnd::Failed(refusal));
    }

    /// Ends all attempts of a call that are in flight, here and at the gates.
    pub(super) fn cancel_attempts(&mut self, index: CallIndex, end: AttemptEnd) {
        while let Some(&attempt) = self.call(index).live_attempts.last() {
            let outcome = AttemptOutcome {
                end,
                latency_us: self.now.since(self.attempt(attempt).sent_at).to_u32(),
                load: None,
            };
            self.finish_attempt(attempt, &outcome);
            let host = self.attempt(attempt).host;
            let at = self.now + self.distance(self.call(index).node, host);
            self.queue.schedule(at, Event::CancelAtGate(attempt));
        }
    }

    /// Sends the caller the final answer of this try.
    pub(super) fn finish_try(&mut self, index: CallIndex, end: CallEnd) {
        self.cancel_attempts(index, AttemptEnd::Cancelled);
        let now = self.now;
        let call = self.call_mut(index);
        call.live = false;
        let kind = call.kind;
        if let CallKind::FromTarget(parent) = kind {
            self.nested_call_ended(parent, end == CallEnd::Answered);
            return;
        }
        let next_try_at = self.next_try_at(index, &end);
        let call = &self.calls[index.0];
        let is_measured = call.sent_at >= self.case.warm_up && kind == CallKind::FromCaller;
        let in_window = now >= self.case.warm_up && now < self.case.duration;
        self.tally.count_goodput(&end, in_window);
        if is_measured {
            let latency = now.since(call.arrived_at);
            let deadline = Micros::from(self.case.deadline());
            self.tally.count_try(&end, latency, deadline);
        }
        let Some(at) = next_try_at else {
            if is_measured {
                self.tally.count_call(&end);
            }
            return;
        };
        self.queue.schedule(at, Event::CallAtEntry(index));
    }

    /// Time at which a caller sends the call again, as documented. `None` if it does not.
    fn next_try_at(&self, index: CallIndex, end: &CallEnd) -> Option<Micros> {
        let call = self.call(index);
        if !self.case.callers_resend || call.tries >= MAX_TRIES {
            return None;
        }
        let refusal = match end {
            CallEnd::Answered => return None,
            CallEnd::Refused(refusal) | CallEnd::Failed(refusal) => refusal,
        };
        if refusal.code == ResultCode::CrashSuspect {
            return None;
        }
        let wait = match refusal.retry_after_ms {
            Some(retry_after) => Micros::from(retry_after),
            None => DEFAULT_RETRY_WAIT,
        };
        Some(self.now + CALLER_ROUND_TRIP + wait)
    }
}

/// End of a call by its last attempt. A rejected or unreachable attempt did not run;
/// all others may have run.
fn call_end(end: &AttemptEnd, refusal: Refusal) -> CallEnd {
    match end {
        AttemptEnd::Refused(_) | AttemptEnd::Unreachable => CallEnd::Refused(refusal),
        _ => CallEnd::Failed(refusal),
    }
}
