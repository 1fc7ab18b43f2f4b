//! One call on its way through the gates.

mod asking;
mod ending;

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use hornbeamhitch_dispatch::order::Candidate;
use hornbeamhitch_dispatch::patience::WaitPlan;
use hornbeamhitch_dispatch::work::WorkEstimate;
use hornbeamhitch_node::uploads::Reservation;
use tokio::sync::mpsc;

use super::answer::Given;
use super::progress::{Attempt, Progress};
use super::trail::Trail;
use super::{CallerRequest, Entry};
use crate::gate::GateEvent;
use crate::http1;
use crate::link::LinkEvent;
use crate::prelude::*;
use asking::Step;

/// A run that has taken this many times what was expected is taken for stuck,
/// and an idempotent call is sent to a second target beside it.
const STUCK_AFTER_RUNS: f64 = 2.5;
/// Short runs are given at least this long: a lost packet takes as much.
const STUCK_AFTER_LEAST_MS: Millis = Millis(60);

/// What a call is made of.
#[derive(Debug)]
pub(super) struct CallParts {
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) request_id: String,
    pub(super) fingerprint: u64,
    pub(super) deadline_at: Millis,
    /// When the caller first asked.
    pub(super) first_arrived: Millis,
    pub(super) request: CallerRequest,
}

/// What a caller asks for.
struct Request {
    route: Arc<Route>,
    service: ServiceName,
    request_id: String,
    /// What it has in common with its next sending.
    fingerprint: u64,
    head: CallHead,
    body: Bytes,
    /// Memory for the body, held as long as the call.
    _reservation: Reservation,
    deadline_at: Millis,
    /// How much of this request repeats an earlier one, as expected of one that came
    /// while repeated runs were in this VM's target.
    repeated_percent: u8,
}

/// The rounds in which gates are asked one after the other.
struct Rounds {
    /// Begun so far.
    count: u32,
    /// When the present one began.
    began: Millis,
    /// Its candidates that were not asked yet.
    left: VecDeque<Candidate>,
}

/// What came of the attempts so far.
#[derive(Default)]
struct History {
    /// Targets that were reached; none is asked twice.
    tried: Vec<TargetId>,
    /// Times that a target was reached.
    arrivals: u32,
    /// Tokens of the retry budget that led to no arrival yet.
    tokens: u32,
    /// The request may have run somewhere.
    may_have_run: bool,
    /// How the last attempt ended, for the log and the choice of an answer.
    last_end: Option<CallEnd>,
    /// A failed answer of a target, in case nothing better comes.
    failed_answer: Option<(AnswerHead, Bytes)>,
}

/// One call until its answer is known.
pub(super) struct CallRun<'a> {
    entry: &'a Arc<Entry>,
    request: Request,
    work: WorkEstimate,
    patience: WaitPlan,
    events: mpsc::UnboundedReceiver<Progress>,
    sender: mpsc::UnboundedSender<Progress>,
    attempts: Vec<Attempt>,
    rounds: Rounds,
    history: History,
    hedge_at: Option<Millis>,
    /// Targets that were asked and what came of it, for the log.
    trail: Trail,
}

impl<'a> CallRun<'a> {
    pub(super) fn new(entry: &'a Arc<Entry>, parts: CallParts) -> Self {
        let CallerRequest {
            head,
            body,
            arrived,
            reservation,
        } = parts.request;
        let work = entry.state.lock().work.estimate(&parts.route);
        let patience = WaitPlan::plan(&parts.route, &work, body.len(), arrived, parts.deadline_at);
        let patience = patience.after_waiting(arrived.since(parts.first_arrived));
        let (sender, events) = mpsc::unbounded_channel();
        let request = Request {
            head: outgoing_head(entry, head),
            body,
            _reservation: reservation,
            route: parts.route,
            service: parts.service,
            request_id: parts.request_id,
            fingerprint: parts.fingerprint,
            deadline_at: parts.deadline_at,
            repeated_percent: entry.gate.repeated_percent(),
        };
        let rounds = Rounds {
            count: 0,
            began: arrived,
            left: VecDeque::new(),
        };
        Self {
            entry,
            request,
            work,
            patience,
            events,
            sender,
            attempts: Vec::new(),
            rounds,
            history: History::default(),
            hedge_at: None,
            trail: Trail::default(),
        }
    }

    /// Serves the call until its answer is known or its deadline has passed.
    /// With it comes what was asked on the way.
    pub(super) async fn serve(mut self) -> (Given, Trail) {
        let deadline = self.entry.clock.to_instant(self.request.deadline_at);
        let given = match tokio::time::timeout_at(deadline, self.drive()).await {
            Ok(given) => given,
            Err(_) => self.at_deadline(),
        };
        (given, std::mem::take(&mut self.trail))
    }

    async fn drive(&mut self) -> Given {
        loop {
            if !self.has_open() {
                match self.next_step() {
                    Step::Send(candidate, hold_ms) => self.send(&candidate, hold_ms),
                    Step::End(given) => return given,
                    Step::Pause(until) => {
                        tokio::time::sleep_until(self.entry.clock.to_instant(until)).await;
                        continue;
                    }
                }
            }
            let hedge_at = self.hedge_at.unwrap_or(self.request.deadline_at);
            let hedge_at = self.entry.clock.to_instant(hedge_at);
            let progress = tokio::select! {
                biased;
                progress = self.events.recv() => progress,
                () = tokio::time::sleep_until(hedge_at), if self.hedge_at.is_some() => None,
            };
            let Some(progress) = progress else {
                self.hedge();
                continue;
            };
            if let Some(given) = self.take(progress) {
                return given;
            }
        }
    }

    fn has_open(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.hold.is_some())
    }

    /// Takes in what was heard of an attempt; with an answer the call ends.
    fn take(&mut self, progress: Progress) -> Option<Given> {
        let number = progress.attempt;
        self.attempts[number].hold.as_ref()?;
        self.note_reach(number, &progress.event);
        match progress.event {
            LinkEvent::Unreachable if self.attempts[number].lost_to.is_some() => {
                self.outcome_unknown(number, CallEnd::Broken)
            }
            LinkEvent::Unreachable => {
                let now = self.entry.now();
                let target = self.close(number);
                self.trail.push(&target.id, "unreachable");
                self.entry
                    .state
                    .lock()
                    .failures
                    .note_unreachable(&target, now);
                self.history.last_end = Some(CallEnd::Down);
                None
            }
            LinkEvent::Lost(incarnation) => self.link_lost(number, incarnation),
            LinkEvent::Gate(event, incarnation) => {
                let lost_to = self.attempts[number].lost_to;
                if lost_to.is_some_and(|known| known != incarnation) {
                    // Another life of the gate knows nothing of that send.
                    return self.outcome_unknown(number, CallEnd::Broken);
                }
                self.gate_said(number, event)
            }
        }
    }

    /// Learns from each word, or want of one, whether other VMs are reached.
    fn note_reach(&self, number: usize, event: &LinkEvent) {
        let member = &self.attempts[number].member;
        if member.address == self.entry.listed_address {
            return;
        }
        let mut state = self.entry.state.lock();
        match event {
            LinkEvent::Gate(..) => state.reach.note_reached(self.entry.now()),
            LinkEvent::Unreachable | LinkEvent::Lost(_) => {
                state.reach.note_unreachable(member.vm_ip());
            }
        }
    }

    fn gate_said(&mut self, number: usize, event: GateEvent) -> Option<Given> {
        match event {
            // The link has sent it.
            GateEvent::WantsContent => None,
            GateEvent::Started { slowness_percent } => {
                self.note_start(number, slowness_percent);
                None
            }
            GateEvent::Answered { head, body } => self.take_answer(number, head, body),
            GateEvent::Ended(end) if end.is_not_run() => self.take_refusal(number, end),
            GateEvent::Ended(end) => self.outcome_unknown(number, end),
        }
    }

    fn note_start(&mut self, number: usize, slowness_percent: u32) {
        let now = self.entry.now();
        let attempt = &mut self.attempts[number];
        attempt.started = Some((now, slowness_percent));
        let target = Arc::clone(&attempt.member);
        self.entry.state.lock().refusals.note_accepted(&target);
        self.count_arrival(target.id.clone());
        let expected_ms = self.work.run_at(slowness_percent).0 as f64 * STUCK_AFTER_RUNS;
        let stuck_after = Millis(expected_ms as u64).max(STUCK_AFTER_LEAST_MS);
        if self.request.route.kind.is_idempotent() {
            self.hedge_at = Some(now + stuck_after);
        }
    }

    fn count_arrival(&mut self, target: TargetId) {
        self.history.tried.push(target);
        self.history.arrivals += 1;
        if self.history.arrivals == 1 {
            let now = self.entry.now();
            let entries = self.entries();
            let mut state = self.entry.state.lock();
            state.count_first(
                &self.request.service,
                entries,
                self.request.repeated_percent,
                now,
            );
            return;
        }
        self.history.tokens = self.history.tokens.saturating_sub(1);
    }

    /// How many entries share the retry budget: one on each listed VM.
    fn entries(&self) -> usize {
        self.entry.directory.load().members.len()
    }

    fn close(&mut self, number: usize) -> Arc<Member> {
        let attempt = &mut self.attempts[number];
        attempt.hold = None;
        Arc::clone(&attempt.member)
    }
}

/// Tokens that led to no arrival go back, also when the caller has left and the
/// call is dropped midway: an entry whose callers give up often would run out of
/// retries that it never used.
impl Drop for CallRun<'_> {
    fn drop(&mut self) {
        let mut state = self.entry.state.lock();
        for _ in 0..self.history.tokens {
            state.return_retry(&self.request.service);
        }
    }
}

/// The request as targets are to see it, but for what the gate adds.
fn outgoing_head(entry: &Entry, head: http1::RequestHead) -> CallHead {
    let names = entry.dialect.names();
    let mut fields = head.fields;
    http1::strip_hop_by_hop(&mut fields);
    let replaced = [
        // It goes with the terms.
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
