//! Handles the end of attempts and decides the outcome of the call.

use bytes::Bytes;
use hornbeamhitch_dispatch::overload::OverloadPart;
use hornbeamhitch_dispatch::overload::return_schedule::RetryTime;
use hornbeamhitch_dispatch::placement::refusals::{Throttle, ThrottleCause};
use rand::RngExt;

use super::{CallDriver, STUCK_AFTER_RUNS};
use crate::entry::answer::CallOutcome;
use crate::entry::entering::Arrival;
use crate::entry::progress;
use crate::entry::state::EntryState;
use crate::prelude::*;
use crate::target::{is_server_error, is_success};

/// Range of `Retry-After` of a refusal. Slow spells and queues last about this
/// long; the random spread keeps callers from retrying in lockstep.
const RETRY_AFTER_MS: std::ops::Range<u64> = 60..260;
/// Reason of calls that a target rejected.
const REJECTED_BY_TARGET: &str = "the target did not run the request";

impl CallDriver<'_> {
    pub(super) fn handle_answer(
        &mut self,
        number: usize,
        head: AnswerHead,
        body: Bytes,
    ) -> Option<CallOutcome> {
        let now = self.entry.now();
        let started = self.attempts[number].started;
        let target = self.close_attempt(number);
        self.trail.push(&target.id, &head.status.to_string());
        let asked_at = started.map_or(now, |(started_at, _)| started_at);
        let mut state = self.entry.state.lock();
        state.notices.note(&target, head.notice, asked_at, now);
        state.reject_rates.note_accepted(&self.request.service, now);
        if !is_server_error(head.status) {
            state.failures.note_success(&target, now);
            let slowness = started.map_or(100, |(_, slowness)| slowness);
            if is_success(head.status) {
                self.entry.suspicion.note_success(self.request.fingerprint);
                let bytes = body.len();
                state
                    .work_estimates
                    .learn(&self.request.route, head.run_ms, slowness, bytes);
            }
            drop(state);
            self.record_slow_losers(now);
            return Some(self.relay_answer(head, body));
        }
        state.failures.note_failure(&target, now);
        drop(state);
        self.history.may_have_run = true;
        self.history.failed_answer = Some((head, body));
        self.fail_over("the target failed")
    }

    /// Relays the target's own answer to the caller. A status that callers take as
    /// "not run" is replaced for non-idempotent calls: the target did not state that
    /// the request has not run.
    pub(super) fn relay_answer(&self, head: AnswerHead, body: Bytes) -> CallOutcome {
        let promises_not_run = matches!(head.status, 408 | 421 | 429 | 503);
        if promises_not_run && !self.request.route.kind.is_idempotent() {
            return CallOutcome::without_retry(ResultCode::RunBroken)
                .with_reason("the target's status does not show whether the request ran");
        }
        CallOutcome::answered(head, body)
    }

    pub(super) fn handle_refusal(&mut self, number: usize, end: CallEnd) -> Option<CallOutcome> {
        let now = self.entry.now();
        let was_counted = self.attempts[number].is_counted;
        let target = self.close_attempt(number);
        self.trail.push(&target.id, end.into());
        self.history.last_end = Some(end);
        self.note_refusal(&target, end, now);
        // After a power loss of all VMs, or during a release, the list still contains
        // targets that no longer exist. Their gates would refuse each call in each of its
        // rounds, which costs time and bytes. Treating them like unreachable VMs saves
        // 4 to 9% of the bytes between data centres on such days.
        let refuses_all_work =
            matches!(end, CallEnd::Down | CallEnd::Misdirected | CallEnd::Leaving);
        if refuses_all_work {
            let mut state = self.entry.state.lock();
            state.failures.note_unreachable(&target, now);
        }
        let lacks_capacity = !refuses_all_work && !end.reached_target();
        self.history.full_gates += u32::from(lacks_capacity);
        if end == CallEnd::Convicted && self.is_restricted() {
            return Some(self.final_outcome());
        }
        if !end.reached_target() {
            if was_counted {
                // It was counted as an arrival when the gate reported its start, but the
                // gate could not connect to the target.
                self.history.arrivals = self.history.arrivals.saturating_sub(1);
            }
            self.schedule_hedge_retry(now);
            return None;
        }
        if end == CallEnd::Shed {
            let mut state = self.entry.state.lock();
            state.failures.note_failure(&target, now);
            state.reject_rates.note_rejected(&self.request.service, now);
            if !self.may_retry_rejected(&state, now) {
                drop(state);
                return self.end_rejected();
            }
        }
        self.fail_over(REJECTED_BY_TARGET)
    }

    /// Whether a call that a target rejected may take a token of the retry budget.
    fn may_retry_rejected(&self, state: &EntryState, now: Millis) -> bool {
        if !state.admission.has(OverloadPart::RejectRates) {
            return true;
        }
        let meets_objective = now + self.work.run_at(100) <= self.wait_plan.objective_at;
        state
            .reject_rates
            .may_retry(&self.request.service, meets_objective, now)
    }

    /// Ends a call that a target rejected and that is not retried.
    fn end_rejected(&mut self) -> Option<CallOutcome> {
        if self.has_open_attempt() {
            return None;
        }
        Some(self.final_outcome().with_reason(REJECTED_BY_TARGET))
    }

    /// Returns how long the caller waits before it retries if a target has rejected the
    /// request and an immediate retry is likely to be accepted.
    fn prompt_retry_ms(&self, now: Millis) -> Option<Millis> {
        if self.history.last_end != Some(CallEnd::Shed) {
            return None;
        }
        let mut state = self.entry.state.lock();
        if !state.admission.has(OverloadPart::RejectRates) {
            return None;
        }
        let draw = state.rng.random();
        state
            .reject_rates
            .prompt_retry_ms(&self.request.service, draw, now)
    }

    /// Remembers a refusal of a gate that may accept other calls later.
    fn note_refusal(&mut self, target: &Member, end: CallEnd, now: Millis) {
        let refusals = &mut self.entry.state.lock().refusals;
        let (cause, free_in_ms) = match end {
            CallEnd::Slow | CallEnd::Busy => return refusals.note_refused(target, now),
            CallEnd::WarmingUp { free_in_ms } => (ThrottleCause::WarmUp, free_in_ms),
            CallEnd::RateLimited { free_in_ms } => (ThrottleCause::StatedLimit, free_in_ms),
            _ => return,
        };
        let free_at = now + free_in_ms;
        refusals.note_throttled(target, Throttle { free_at, cause }, now);
    }

    /// Handles an attempt whose request may have run, with no way to find out.
    pub(super) fn handle_unknown_outcome(
        &mut self,
        number: usize,
        end: CallEnd,
    ) -> Option<CallOutcome> {
        let now = self.entry.now();
        let was_counted = self.attempts[number].is_counted;
        let target = self.close_attempt(number);
        self.trail.push(&target.id, end.into());
        self.entry.state.lock().failures.note_failure(&target, now);
        // In a one-way partition, calls reach gates but no events come back. If only
        // reported starts were counted, a lookup would run in one more target for each
        // such gate.
        if !was_counted {
            self.count_arrival(target.id.clone());
        }
        self.history.may_have_run = true;
        self.history.last_end = Some(end);
        if self.request.route.kind.is_idempotent() {
            return self.fail_over("the run broke");
        }
        let code = match end {
            CallEnd::TimedOut => ResultCode::DeadlinePassed,
            _ => ResultCode::RunBroken,
        };
        Some(CallOutcome::without_retry(code).with_reason("the run broke"))
    }

    /// Handles the loss of an attempt's link. For a non-idempotent call the gate is
    /// queried for the outcome: a retry might run it twice, and giving up would leave the
    /// caller without the outcome.
    pub(super) fn handle_link_loss(
        &mut self,
        number: usize,
        incarnation: Incarnation,
    ) -> Option<CallOutcome> {
        let is_first_loss = self.attempts[number].lost_incarnation.is_none();
        if self.request.route.kind.is_idempotent() || !is_first_loss {
            return self.handle_unknown_outcome(number, CallEnd::Broken);
        }
        let attempt = &self.attempts[number];
        self.trail.push(&attempt.member.id, "link-lost");
        let query = progress::query_outcome(self.entry, attempt, number, &self.sender);
        let attempt = &mut self.attempts[number];
        attempt.lost_incarnation = Some(incarnation);
        attempt.guard = Some(query);
        None
    }

    /// Continues after an attempt that reached a target: the call is retried on another
    /// target if its route, deadline and retry budget allow, otherwise it ends.
    pub(super) fn fail_over(&mut self, reason: &'static str) -> Option<CallOutcome> {
        let now = self.entry.now();
        if self.has_open_attempt() {
            return None;
        }
        self.hedge_at = None;
        // A target may run a payment and then answer 500 or break its connection. A
        // retry would run the payment a second time.
        let may_repeat = self.request.route.kind.is_idempotent() || !self.history.may_have_run;
        let may_go_on = may_repeat
            && self.history.arrivals < self.request.route.max_attempts
            && now < self.wait_plan.last_start;
        if may_go_on && self.take_retry_token(now) {
            // The remaining candidates were ordered without knowing of this failure.
            self.rounds.remaining.clear();
            self.rounds.count = 0;
            self.history.full_gates = 0;
            log::debug!(
                request = self.request.request_id.as_str(), reason;
                "retrying on another target"
            );
            return None;
        }
        Some(self.final_outcome().with_reason(reason))
    }

    pub(super) fn take_retry_token(&mut self, now: Millis) -> bool {
        if self.history.unused_tokens > 0 {
            return true;
        }
        let entries = self.entries();
        let mut state = self.entry.state.lock();
        let is_allowed = state.try_retry(&self.request.service, entries, now);
        self.history.unused_tokens += u32::from(is_allowed);
        is_allowed
    }

    /// Counts a failure for each target whose attempt is still open and has taken
    /// longer than expected.
    pub(super) fn record_slow_losers(&self, now: Millis) {
        let mut state = self.entry.state.lock();
        for attempt in &self.attempts {
            if attempt.guard.is_none() {
                continue;
            }
            let Some((started, slowness)) = attempt.started else {
                continue;
            };
            let expected_ms = self.work.run_at(slowness).0 as f64 * STUCK_AFTER_RUNS;
            if now.since(started).0 as f64 > expected_ms {
                state.failures.note_failure(&attempt.member, now);
            }
        }
    }

    /// Returns the outcome of a call that no target served.
    pub(super) fn final_outcome(&mut self) -> CallOutcome {
        let reason = self
            .history
            .last_end
            .map_or("no target", <&'static str>::from);
        if let Some((head, body)) = self.history.failed_answer.take() {
            return self.relay_answer(head, body);
        }
        if self.history.may_have_run {
            return CallOutcome::without_retry(ResultCode::AttemptsFailed).with_reason(reason);
        }
        let code = match self.history.last_end {
            None | Some(CallEnd::Down) => ResultCode::NoTarget,
            Some(CallEnd::Leaving) => ResultCode::Leaving,
            Some(CallEnd::Convicted) => ResultCode::CrashSuspect,
            Some(_) => ResultCode::Overloaded,
        };
        if code == ResultCode::CrashSuspect {
            let suspicion = &self.entry.suspicion;
            let wait = suspicion.retry_after_ms(self.request.fingerprint);
            return CallOutcome::refused(code, wait).with_reason(reason);
        }
        let now = self.entry.now();
        if let Some(RetryTime::Reserved(at) | RetryTime::Unreserved(at)) = self.scheduled_retry() {
            return CallOutcome::refused(code, at.since(now)).with_reason(reason);
        }
        if let Some(wait_ms) = self.prompt_retry_ms(now) {
            return CallOutcome::refused(code, wait_ms).with_reason(reason);
        }
        let random_ms = self.entry.state.lock().rng.random_range(RETRY_AFTER_MS);
        let free_in_ms = self.history.free_at.map_or(0, |at| at.since(now).0);
        let left_ms = self.request.deadline_at.since(now);
        let wait = Millis(random_ms.max(free_in_ms).min(left_ms.0 / 3));
        CallOutcome::refused(code, wait).with_reason(reason)
    }

    /// Returns when the caller may retry, if the service is known to be overloaded.
    fn scheduled_retry(&self) -> Option<RetryTime> {
        if self.request.admitted.class == LoadClass::NESTED {
            return None;
        }
        self.entry.retry_time(&Arrival {
            route: &self.request.route,
            service: &self.request.service,
            fingerprint: self.request.fingerprint,
            requested_until: self.request.requested_until,
        })
    }

    /// Returns the outcome of a call whose deadline has passed.
    pub(super) fn deadline_outcome(&mut self) -> CallOutcome {
        let now = self.entry.now();
        self.record_slow_losers(now);
        for attempt in &self.attempts {
            let state = match (&attempt.guard, attempt.started) {
                (None, _) => continue,
                (Some(_), Some(_)) => "still-running",
                (Some(_), None) => "still-waiting",
            };
            self.trail.push(&attempt.member.id, state);
        }
        if let Some((head, body)) = self.history.failed_answer.take() {
            return self.relay_answer(head, body);
        }
        if self.has_open_attempt() || self.history.may_have_run {
            let reason = self
                .history
                .last_end
                .map_or("no answer in time", <&'static str>::from);
            return CallOutcome::without_retry(ResultCode::DeadlinePassed).with_reason(reason);
        }
        self.final_outcome()
    }
}
