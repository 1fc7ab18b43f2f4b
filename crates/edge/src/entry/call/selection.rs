//! Selects the next target of a call and how long its gate may queue the call.

use std::sync::Arc;

use hornbeamhitch_dispatch::faults::crashes::{AllowedTargets, CrashLevel};
use hornbeamhitch_dispatch::overload::OverloadPart;
use hornbeamhitch_dispatch::placement::order::{self, Candidate, View};
use hornbeamhitch_dispatch::placement::refusals::{Throttle, ThrottleCause};
use hornbeamhitch_node::metrics::AttemptKind;

use super::CallDriver;
use crate::entry::answer::CallOutcome;
use crate::entry::progress::{self, Attempt};
use crate::entry::state::EntryState;
use crate::link::OutgoingCall;
use crate::prelude::*;

/// In later rounds the first gate may queue the call for this long, so that a slot
/// or a return to usual speed there is not missed; then the others are tried again.
const LATER_ROUND_MAX_QUEUE_MS: Millis = Millis(30);
/// Minimum time between the start of the first round and the second. It grows with
/// each round; otherwise full targets would cause a storm of refusals.
const MIN_ROUND_PAUSE_MS: Millis = Millis(12);
/// Maximum time between the starts of two rounds. A slow spell of a target lasts a
/// few of these.
const MAX_ROUND_PAUSE_MS: Millis = Millis(48);
/// Time beyond the one at which a gate expects to accept the next call for which it may
/// queue a call, since other calls may be queued there meanwhile.
const QUEUE_MARGIN_MS: Millis = Millis(60);
/// Number of gates at which a call waits one after the other.
const MAX_QUEUED_ATTEMPTS: u32 = 4;
/// Delay before a hedge that its gate refused is sent again.
const HEDGE_RETRY_MS: Millis = Millis(25);

/// What a call does next while no attempt is open.
pub(super) enum Step {
    /// Sends the call to the candidate, whose gate may queue it for this long.
    Send(Candidate, Millis),
    /// Waits until this time.
    Pause(Millis),
    /// Ends the call.
    End(CallOutcome),
}

impl CallDriver<'_> {
    /// Decides the next step while no attempt is open.
    pub(super) fn next_step(&mut self) -> Step {
        let now = self.entry.now();
        if now >= self.wait_plan.last_start && self.rounds.count > 0 {
            return Step::End(self.final_outcome());
        }
        if self.tries_few_gates() {
            return self.next_of_few(now);
        }
        if let Some(step) = self.next_candidate(now) {
            return step;
        }
        if self.rounds.count > 0 {
            if self.should_refuse_early(now) {
                return Step::End(self.final_outcome());
            }
            let pause_ms = MIN_ROUND_PAUSE_MS.0 * u64::from(self.rounds.count);
            let next_at = self.rounds.started_at + Millis(pause_ms).min(MAX_ROUND_PAUSE_MS);
            if now < next_at {
                return Step::Pause(next_at);
            }
        }
        let candidates = self.candidates(now);
        self.begin_round(candidates, now);
        match self.next_candidate(now) {
            Some(step) => step,
            None => Step::End(self.final_outcome()),
        }
    }

    pub(super) fn begin_round(&mut self, candidates: Vec<Candidate>, now: Millis) {
        if candidates.is_empty() && self.is_restricted() {
            self.history.last_end = Some(CallEnd::Convicted);
        }
        let is_usable =
            |candidate: &Candidate| candidate.throttle.is_none() && !candidate.is_demoted;
        self.rounds.has_free_gate = candidates.iter().any(is_usable);
        self.rounds.remaining = candidates.into();
        self.rounds.count += 1;
        self.rounds.started_at = now;
    }

    /// Returns the next candidate of the current round that can accept the call in time.
    ///
    /// A gate that accepts no call before a stated time is asked once, and may queue the
    /// call until then. If it were asked again and again, each call would ask every gate
    /// dozens of times while all targets of a service warm up.
    pub(super) fn next_candidate(&mut self, now: Millis) -> Option<Step> {
        while let Some(candidate) = self.rounds.remaining.pop_front() {
            let Some(throttle) = candidate.throttle else {
                let max_queue_ms = self.max_queue_time(&candidate, now);
                return Some(Step::Send(candidate, max_queue_ms));
            };
            let free_at = throttle.free_at;
            let queue_until = match self.rounds.has_free_gate {
                true => now + LATER_ROUND_MAX_QUEUE_MS,
                false => self.wait_plan.busy_until,
            };
            if free_at > queue_until || self.history.queued_attempts >= MAX_QUEUED_ATTEMPTS {
                self.note_skipped(throttle, now);
                continue;
            }
            self.history.queued_attempts += 1;
            let max_queue_ms = (free_at + QUEUE_MARGIN_MS).min(self.wait_plan.last_start);
            return Some(Step::Send(candidate, max_queue_ms.since(now)));
        }
        None
    }

    /// Remembers when the first of the gates that were not asked accepts calls.
    fn note_skipped(&mut self, throttle: Throttle, now: Millis) {
        let free_at = throttle.free_at;
        let earliest = self.history.free_at.unwrap_or(Millis::MAX);
        self.history.free_at = Some(free_at.min(earliest));
        let free_in_ms = free_at.since(now);
        self.history.last_end.get_or_insert(match throttle.cause {
            ThrottleCause::WarmUp => CallEnd::WarmingUp { free_in_ms },
            ThrottleCause::StatedLimit => CallEnd::RateLimited { free_in_ms },
        });
    }

    /// Whether to refuse the call before its deadline. This is so when targets lack
    /// free slots rather than being slow: waiting at the entry does not shorten their
    /// queues, and the caller still has time to retry.
    pub(super) fn should_refuse_early(&self, now: Millis) -> bool {
        self.history.last_end != Some(CallEnd::Slow) && now >= self.wait_plan.busy_until
    }

    /// Whether the request runs only as a trial, or not at all, because it was in flight in
    /// crashes.
    pub(super) fn is_restricted(&self) -> bool {
        self.entry.suspicion.level(self.request.fingerprint) >= CrashLevel::Trial
    }

    pub(super) fn candidates(&self, now: Millis) -> Vec<Candidate> {
        let directory = self.entry.directory.load();
        let available = directory.members.available(&self.request.service);
        let suspicion = &self.entry.suspicion;
        let allowed = suspicion.allowed_targets(self.request.fingerprint, available);
        let available = match &allowed {
            AllowedTargets::Any => available,
            AllowedTargets::Only(target) => std::slice::from_ref(target),
            AllowedTargets::None => &[],
        };
        let mut state = self.entry.state.lock();
        let silent = self.entry.silence.known();
        let EntryState {
            failures,
            refusals,
            notices,
            rng,
            ..
        } = &mut *state;
        let view = View {
            available,
            route: &self.request.route,
            regions: &self.entry.regions,
            data_centre: &self.entry.data_centre,
            failures,
            refusals,
            notices,
            silent: silent.as_deref(),
            tried: &self.history.tried,
            now,
        };
        order::candidates(&view, rng)
    }

    /// Returns how long a gate may queue the call. In the first round, the last near
    /// gate queues it for as long as that is better than sending it to a far one.
    pub(super) fn max_queue_time(&self, candidate: &Candidate, now: Millis) -> Millis {
        let left_ms = self.wait_plan.last_start.since(now);
        if self.tries_few_gates() {
            return self.max_queue_time_of_few(now);
        }
        if self.rounds.count > 1 {
            let is_first = self.rounds.started_at == now;
            let max_queue_ms = if is_first {
                LATER_ROUND_MAX_QUEUE_MS
            } else {
                Millis::ZERO
            };
            return max_queue_ms.min(left_ms);
        }
        let more_near_remain = self.rounds.remaining.iter().any(|other| other.is_near);
        if candidate.is_near && !candidate.is_avoided && !more_near_remain {
            return self.wait_plan.near_until.since(now).min(left_ms);
        }
        Millis::ZERO
    }

    pub(super) fn send(&mut self, candidate: &Candidate, max_queue_ms: Millis) {
        let now = self.entry.now();
        let key = self.entry.next_key();
        let slow_after_ms = match self.wait_plan.slow_from {
            Millis::MAX => Millis::MAX,
            at => at.since(now),
        };
        let mut state = self.entry.state.lock();
        let wants_load = state.admission.has(OverloadPart::ServiceLevel);
        let demand = state.admission.take_demand(&self.request.service, now);
        let notice = state.notices.of(&candidate.member);
        let is_refusal_likely = state.refusals.is_refusal_likely(&candidate.member, now);
        drop(state);
        let call = OutgoingCall {
            terms: CallTerms {
                target_id: candidate.member.id.as_str().to_owned(),
                request_id: self.request.request_id.clone(),
                key,
                fingerprint: self.request.fingerprint,
                idempotent: self.request.route.kind.is_idempotent(),
                priority: self.priority(),
                work_ms: self.work.run_at(100),
                max_queue_ms,
                objective_ms: self.wait_plan.objective_at.since(now),
                whole_objective_ms: self.wait_plan.whole_objective_ms,
                slow_after_ms,
                deadline_ms: self.request.deadline_at.since(now),
                repeated_percent: match self.is_extra_attempt() {
                    true => 100,
                    false => self.request.repeated_percent,
                },
                notice,
            },
            head: self.request.head.clone(),
            body: self.request.body.clone(),
            offers_terms_first: is_refusal_likely || self.must_offer(),
            wants_load,
            demand,
        };
        let kind = match (self.has_open_attempt(), self.history.arrivals) {
            (true, _) => AttemptKind::Hedge,
            (false, 0) => AttemptKind::First,
            (false, _) => AttemptKind::Retry,
        };
        self.entry
            .metrics
            .attempt_sent(self.request.service.as_str(), kind);
        let number = self.attempts.len();
        let guard = progress::start_attempt(self.entry, candidate, call, number, &self.sender);
        self.attempts.push(Attempt {
            member: Arc::clone(&candidate.member),
            key,
            sent_at: now,
            confirmation: self.expect_confirmation(&guard, now),
            is_counted: false,
            started: None,
            lost_incarnation: None,
            guard: Some(guard),
        });
    }

    /// Whether an attempt sent now is a retry or a hedge.
    fn is_extra_attempt(&self) -> bool {
        self.history.arrivals > 0
    }

    /// Schedules another hedge after a gate refused one while the first attempt runs.
    pub(super) fn schedule_hedge_retry(&mut self, now: Millis) {
        if self.has_open_attempt() && self.request.route.kind.is_idempotent() {
            self.hedge_at = Some(now + HEDGE_RETRY_MS);
        }
    }

    /// Sends the call to a second target while the first one seems stuck.
    pub(super) fn hedge(&mut self) {
        self.hedge_at = None;
        let now = self.entry.now();
        let open = self
            .attempts
            .iter()
            .filter(|attempt| attempt.guard.is_some());
        if open.count() != 1 || self.history.arrivals >= self.request.route.max_attempts {
            return;
        }
        if now >= self.wait_plan.last_start {
            return;
        }
        let Some(candidate) = self.candidates(now).into_iter().next() else {
            return;
        };
        let is_doubtful = candidate.is_avoided || candidate.is_demoted;
        if is_doubtful || !self.take_retry_token(now) {
            return;
        }
        self.send(&candidate, Millis::ZERO);
    }
}
