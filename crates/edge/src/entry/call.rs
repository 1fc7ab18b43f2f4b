//! One call on its way through the gates.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use hornbeamhitch_dispatch::order::{self, Candidate, View};
use hornbeamhitch_dispatch::patience::Patience;
use hornbeamhitch_dispatch::work::WorkEstimate;
use rand::RngExt;
use tokio::sync::mpsc;

use super::answer::Given;
use super::progress::{self, Attempt, Progress};
use super::trail::Trail;
use super::{CallerRequest, Entry};
use crate::gate::GateEvent;
use crate::http1;
use crate::link::{LinkEvent, OutgoingCall};
use crate::prelude::*;
use crate::target::is_success;

/// In later rounds one gate holds the call in its line for this long, so that a
/// slot or a fast moment there is not missed; then the others are asked again.
const ROUND_HOLD_MS: Millis = Millis(30);
/// Least time between the first two rounds of asking; each further one waits
/// longer, or refusals would come in a storm when all targets are full.
const ROUND_PAUSE_MS: Millis = Millis(12);
/// Longest time between two rounds: a slow spell lasts a few of these.
const LONGEST_ROUND_PAUSE_MS: Millis = Millis(48);
/// A run that has taken this many times what was expected is taken for stuck,
/// and an idempotent call is sent to a second target beside it.
const STUCK_AFTER_RUNS: f64 = 2.5;
/// Short runs are given at least this long: a lost packet takes as much.
const STUCK_AFTER_LEAST_MS: Millis = Millis(60);
/// When no gate takes a hedge, it is offered again after this span.
const HEDGE_AGAIN_MS: Millis = Millis(25);
/// Bounds of the time to stay away after a refusal. Slow spells and lines last
/// about this long; the spread keeps callers from coming back in step.
const RETRY_AFTER_MS: std::ops::Range<u64> = 60..260;

/// What a call is made of.
#[derive(Debug)]
pub(super) struct CallParts {
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) request_id: String,
    pub(super) fingerprint: u64,
    pub(super) deadline_at: Millis,
    pub(super) request: CallerRequest,
}

/// What to do while no attempt is open.
enum Step {
    Send(Candidate, Millis),
    Pause(Millis),
    End(Given),
}

/// One call until its answer is known.
pub(super) struct CallRun<'a> {
    entry: &'a Arc<Entry>,
    route: Arc<Route>,
    service: ServiceName,
    request_id: String,
    fingerprint: u64,
    head: CallHead,
    body: Bytes,
    deadline_at: Millis,
    work: WorkEstimate,
    patience: Patience,
    events: mpsc::UnboundedReceiver<Progress>,
    sender: mpsc::UnboundedSender<Progress>,
    attempts: Vec<Attempt>,
    /// Targets that were reached; none is asked twice.
    tried: Vec<TargetId>,
    /// Candidates of the present round that were not asked yet.
    round: VecDeque<Candidate>,
    rounds: u32,
    /// When the present round began.
    round_began: Millis,
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
        } = parts.request;
        let work = entry.state.lock().work.estimate(&parts.route);
        let patience = Patience::plan(&parts.route, &work, body.len(), arrived, parts.deadline_at);
        let (sender, events) = mpsc::unbounded_channel();
        Self {
            head: outgoing_head(entry, head),
            body,
            work,
            patience,
            events,
            sender,
            route: parts.route,
            service: parts.service,
            request_id: parts.request_id,
            fingerprint: parts.fingerprint,
            deadline_at: parts.deadline_at,
            attempts: Vec::new(),
            tried: Vec::new(),
            round: VecDeque::new(),
            rounds: 0,
            round_began: arrived,
            arrivals: 0,
            tokens: 0,
            may_have_run: false,
            last_end: None,
            failed_answer: None,
            hedge_at: None,
            trail: Trail::default(),
            entry,
        }
    }

    /// Serves the call until its answer is known or its deadline has passed.
    /// With it comes what was asked on the way.
    pub(super) async fn serve(mut self) -> (Given, Trail) {
        let deadline = self.entry.clock.to_instant(self.deadline_at);
        let given = match tokio::time::timeout_at(deadline, self.drive()).await {
            Ok(given) => given,
            Err(_) => self.at_deadline(),
        };
        let mut state = self.entry.state.lock();
        for _ in 0..self.tokens {
            state.return_retry(&self.service);
        }
        drop(state);
        (given, self.trail)
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
            let hedge_at = self.hedge_at.unwrap_or(self.deadline_at);
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

    /// Decides whom to ask next while no attempt is open.
    fn next_step(&mut self) -> Step {
        let now = self.entry.now();
        if now >= self.patience.last_start && self.rounds > 0 {
            return Step::End(self.refuse());
        }
        if let Some(candidate) = self.round.pop_front() {
            let hold_ms = self.hold_for(&candidate, now);
            return Step::Send(candidate, hold_ms);
        }
        if self.rounds > 0 {
            if self.is_hopeless(now) {
                return Step::End(self.refuse());
            }
            let pause_ms = ROUND_PAUSE_MS.0 * u64::from(self.rounds);
            let next_at = self.round_began + Millis(pause_ms).min(LONGEST_ROUND_PAUSE_MS);
            if now < next_at {
                return Step::Pause(next_at);
            }
        }
        self.round = self.candidates(now).into();
        self.rounds += 1;
        self.round_began = now;
        match self.round.pop_front() {
            Some(candidate) => {
                let hold_ms = self.hold_for(&candidate, now);
                Step::Send(candidate, hold_ms)
            }
            None => Step::End(self.refuse()),
        }
    }

    /// A call is refused early when the trouble is want of room and not a slow
    /// spell: a line does not get shorter by waiting beside it, and the caller
    /// can come back in time.
    fn is_hopeless(&self, now: Millis) -> bool {
        self.last_end != Some(CallEnd::Slow) && now >= self.patience.busy_until
    }

    fn candidates(&self, now: Millis) -> Vec<Candidate> {
        let directory = self.entry.directory.load();
        let mut state = self.entry.state.lock();
        let super::state::EntryState { failures, rng, .. } = &mut *state;
        let view = View {
            open: directory.members.open(&self.service),
            data_centre: &self.entry.data_centre,
            failures,
            tried: &self.tried,
            now,
        };
        order::candidates(&view, rng)
    }

    /// How long a gate may hold the call. In the first round, the last near
    /// gate holds it while that is worth more than asking a far one.
    fn hold_for(&self, candidate: &Candidate, now: Millis) -> Millis {
        let left_ms = self.patience.last_start.since(now);
        if self.rounds > 1 {
            let is_first = self.round_began == now;
            let hold_ms = if is_first {
                ROUND_HOLD_MS
            } else {
                Millis::ZERO
            };
            return hold_ms.min(left_ms);
        }
        let more_near = self.round.iter().any(|other| other.is_near);
        if candidate.is_near && !candidate.is_avoided && !more_near {
            return self.patience.near_until.since(now).min(left_ms);
        }
        Millis::ZERO
    }

    fn send(&mut self, candidate: &Candidate, hold_ms: Millis) {
        let now = self.entry.now();
        let key = self.entry.next_key();
        let slow_after_ms = match self.patience.slow_from {
            Millis::MAX => Millis::MAX,
            at => at.since(now),
        };
        let call = OutgoingCall {
            terms: CallTerms {
                target_id: candidate.member.id.as_str().to_owned(),
                request_id: self.request_id.clone(),
                key,
                fingerprint: self.fingerprint,
                idempotent: self.route.kind.is_idempotent(),
                priority: self.route.priority,
                work_ms: self.work.run_at(100),
                hold_ms,
                objective_ms: self.patience.objective_at.since(now),
                slow_after_ms,
                deadline_ms: self.deadline_at.since(now),
            },
            head: self.head.clone(),
            body: self.body.clone(),
        };
        let number = self.attempts.len();
        let hold = progress::open(self.entry, candidate, call, number, &self.sender);
        self.attempts.push(Attempt {
            member: Arc::clone(&candidate.member),
            key,
            started: None,
            lost_to: None,
            hold: Some(hold),
        });
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
                self.trail.push(&target, "unreachable");
                self.entry
                    .state
                    .lock()
                    .failures
                    .note_unreachable(&target, now);
                self.last_end = Some(CallEnd::Down);
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
        if member.address == self.entry.target_address {
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
            GateEvent::WantsBody => None,
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
        let target = attempt.member.id.clone();
        self.count_arrival(target);
        let expected_ms = self.work.run_at(slowness_percent).0 as f64 * STUCK_AFTER_RUNS;
        let stuck_after = Millis(expected_ms as u64).max(STUCK_AFTER_LEAST_MS);
        if self.route.kind.is_idempotent() {
            self.hedge_at = Some(now + stuck_after);
        }
    }

    fn count_arrival(&mut self, target: TargetId) {
        self.tried.push(target);
        self.arrivals += 1;
        if self.arrivals == 1 {
            let now = self.entry.now();
            let entries = self.entries();
            let mut state = self.entry.state.lock();
            state.count_first(&self.service, entries, now);
            return;
        }
        self.tokens = self.tokens.saturating_sub(1);
    }

    /// How many entries share the retry budget: one on each listed VM.
    fn entries(&self) -> usize {
        self.entry.directory.load().members.len()
    }

    fn take_answer(&mut self, number: usize, head: AnswerHead, body: Bytes) -> Option<Given> {
        let now = self.entry.now();
        let started = self.attempts[number].started;
        let target = self.close(number);
        self.trail.push(&target, &head.status.to_string());
        let mut state = self.entry.state.lock();
        if is_success(head.status) || head.status < 500 {
            state.failures.note_success(&target, now);
            let slowness = started.map_or(100, |(_, slowness)| slowness);
            if is_success(head.status) {
                let bytes = body.len();
                state.work.learn(&self.route, head.run_ms, slowness, bytes);
            }
            drop(state);
            self.note_losers(now);
            return Some(self.pass_on(head, body));
        }
        state.failures.note_failure(&target, now);
        drop(state);
        self.may_have_run = true;
        self.failed_answer = Some((head, body));
        self.fail_over("the target failed")
    }

    /// The target's own answer for the caller. A status that promises "not run"
    /// is only true with the target's statement, which this one lacks.
    fn pass_on(&self, head: AnswerHead, body: Bytes) -> Given {
        let promises_not_run = matches!(head.status, 408 | 421 | 429 | 503);
        if promises_not_run && !self.route.kind.is_idempotent() {
            return Given::fixed(ResultCode::RunBroken).because("the target's status is no proof");
        }
        Given::answered(head, body)
    }

    fn take_refusal(&mut self, number: usize, end: CallEnd) -> Option<Given> {
        let now = self.entry.now();
        let had_started = self.attempts[number].started.is_some();
        let target = self.close(number);
        self.trail.push(&target, end.into());
        self.last_end = Some(end);
        if matches!(end, CallEnd::Down | CallEnd::Misdirected) {
            let mut state = self.entry.state.lock();
            state.failures.note_unreachable(&target, now);
        }
        if !end.reached_target() {
            if had_started {
                // Counted as an arrival when it started, but no connection
                // could be had.
                self.arrivals = self.arrivals.saturating_sub(1);
            }
            self.offer_hedge_again(now);
            return None;
        }
        if end == CallEnd::Shed {
            self.entry.state.lock().failures.note_failure(&target, now);
        }
        self.fail_over("the target did not run it")
    }

    /// A hedge that no gate took is offered again while the first attempt runs.
    fn offer_hedge_again(&mut self, now: Millis) {
        if self.has_open() && self.route.kind.is_idempotent() {
            self.hedge_at = Some(now + HEDGE_AGAIN_MS);
        }
    }

    /// The request may have run, and nobody can tell.
    fn outcome_unknown(&mut self, number: usize, end: CallEnd) -> Option<Given> {
        let now = self.entry.now();
        let was_counted = self.attempts[number].started.is_some();
        let target = self.close(number);
        self.trail.push(&target, end.into());
        self.entry.state.lock().failures.note_failure(&target, now);
        // Failure answered: behind a cut in one direction, calls reach gates and
        // nothing comes back. Counted only when a gate says that it started, a
        // lookup would run at one target more for each such gate.
        if !was_counted {
            self.count_arrival(target);
        }
        self.may_have_run = true;
        self.last_end = Some(end);
        if self.route.kind.is_idempotent() {
            return self.fail_over("the run broke");
        }
        let code = match end {
            CallEnd::TimedOut => ResultCode::DeadlinePassed,
            _ => ResultCode::RunBroken,
        };
        Some(Given::fixed(code).because("the run broke"))
    }

    /// The link broke under an attempt. What may run only once is asked about:
    /// sent again it might run twice, and given up its caller learns nothing.
    fn link_lost(&mut self, number: usize, incarnation: Incarnation) -> Option<Given> {
        let is_first_loss = self.attempts[number].lost_to.is_none();
        if self.route.kind.is_idempotent() || !is_first_loss {
            return self.outcome_unknown(number, CallEnd::Broken);
        }
        let attempt = &self.attempts[number];
        self.trail.push(&attempt.member.id, "link-lost");
        let asking = progress::ask(self.entry, attempt, number, &self.sender);
        let attempt = &mut self.attempts[number];
        attempt.lost_to = Some(incarnation);
        attempt.hold = Some(asking);
        None
    }

    /// After an attempt that reached a target: goes on elsewhere when the
    /// route, the deadline and the budget allow, else ends the call.
    fn fail_over(&mut self, reason: &'static str) -> Option<Given> {
        let now = self.entry.now();
        if self.has_open() {
            return None;
        }
        self.hedge_at = None;
        // Failure answered: a target runs a payment and answers 500, or its
        // answer breaks. Sent on, the payment would run a second time.
        let may_repeat = self.route.kind.is_idempotent() || !self.may_have_run;
        let may_go_on =
            may_repeat && self.arrivals < self.route.max_attempts && now < self.patience.last_start;
        if may_go_on && self.take_token(now) {
            // The rest of the round was ordered before this failure.
            self.round.clear();
            self.rounds = 0;
            log::debug!(request = self.request_id.as_str(), reason; "tried again elsewhere");
            return None;
        }
        Some(self.refuse().because(reason))
    }

    fn take_token(&mut self, now: Millis) -> bool {
        if self.tokens > 0 {
            return true;
        }
        let entries = self.entries();
        let mut state = self.entry.state.lock();
        let is_allowed = state.try_retry(&self.service, entries, now);
        self.tokens += u32::from(is_allowed);
        is_allowed
    }

    /// Sends the call to a second target beside one that seems stuck.
    fn hedge(&mut self) {
        self.hedge_at = None;
        let now = self.entry.now();
        let open = self
            .attempts
            .iter()
            .filter(|attempt| attempt.hold.is_some());
        if open.count() != 1 || self.arrivals >= self.route.max_attempts {
            return;
        }
        if now >= self.patience.last_start {
            return;
        }
        let Some(candidate) = self.candidates(now).into_iter().next() else {
            return;
        };
        if candidate.is_avoided || !self.take_token(now) {
            return;
        }
        self.send(&candidate, Millis::ZERO);
    }

    /// Holds it against the targets of attempts that another one overtook.
    fn note_losers(&self, now: Millis) {
        let mut state = self.entry.state.lock();
        for attempt in &self.attempts {
            if attempt.hold.is_none() {
                continue;
            }
            let Some((started, slowness)) = attempt.started else {
                continue;
            };
            let expected_ms = self.work.run_at(slowness).0 as f64 * STUCK_AFTER_RUNS;
            if now.since(started).0 as f64 > expected_ms {
                state.failures.note_failure(&attempt.member.id, now);
            }
        }
    }

    fn close(&mut self, number: usize) -> TargetId {
        let attempt = &mut self.attempts[number];
        attempt.hold = None;
        attempt.member.id.clone()
    }

    /// The final answer when no target served the call.
    fn refuse(&mut self) -> Given {
        let reason = self.last_end.map_or("no target", <&'static str>::from);
        if let Some((head, body)) = self.failed_answer.take() {
            return self.pass_on(head, body);
        }
        if self.may_have_run {
            return Given::fixed(ResultCode::AttemptsFailed).because(reason);
        }
        let code = match self.last_end {
            None | Some(CallEnd::Down) => ResultCode::NoTarget,
            Some(CallEnd::Leaving) => ResultCode::Leaving,
            Some(CallEnd::Convicted) => ResultCode::CrashSuspect,
            Some(_) => ResultCode::Overloaded,
        };
        let drawn_ms = self.entry.state.lock().rng.random_range(RETRY_AFTER_MS);
        let left_ms = self.deadline_at.since(self.entry.now());
        let wait = Millis(drawn_ms.min(left_ms.0 / 3));
        Given::refused(code, wait).because(reason)
    }

    /// What the caller is told when its time is up.
    fn at_deadline(&mut self) -> Given {
        let now = self.entry.now();
        self.note_losers(now);
        for attempt in &self.attempts {
            let state = match (&attempt.hold, attempt.started) {
                (None, _) => continue,
                (Some(_), Some(_)) => "still-running",
                (Some(_), None) => "still-waiting",
            };
            self.trail.push(&attempt.member.id, state);
        }
        if let Some((head, body)) = self.failed_answer.take() {
            return self.pass_on(head, body);
        }
        if self.has_open() || self.may_have_run {
            let reason = self
                .last_end
                .map_or("no answer in time", <&'static str>::from);
            return Given::fixed(ResultCode::DeadlinePassed).because(reason);
        }
        self.refuse()
    }
}

/// The request as targets are to see it, but for what the gate adds.
fn outgoing_head(entry: &Entry, head: http1::RequestHead) -> CallHead {
    let names = entry.dialect.names();
    let mut fields = head.fields;
    http1::strip_hop_by_hop(&mut fields);
    let replaced = [
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
