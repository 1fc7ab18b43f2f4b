//! How attempts end, and with them the call.

use bytes::Bytes;
use rand::RngExt;

use super::{CallRun, STUCK_AFTER_RUNS};
use crate::entry::answer::Given;
use crate::entry::progress;
use crate::prelude::*;
use crate::target::{is_server_error, is_success};

/// Bounds of the time to stay away after a refusal. Slow spells and lines last
/// about this long; the spread keeps callers from coming back in step.
const RETRY_AFTER_MS: std::ops::Range<u64> = 60..260;

impl CallRun<'_> {
    pub(super) fn take_answer(
        &mut self,
        number: usize,
        head: AnswerHead,
        body: Bytes,
    ) -> Option<Given> {
        let now = self.entry.now();
        let started = self.attempts[number].started;
        let target = self.close(number);
        self.trail.push(&target.id, &head.status.to_string());
        let mut state = self.entry.state.lock();
        if !is_server_error(head.status) {
            state.failures.note_success(&target, now);
            let slowness = started.map_or(100, |(_, slowness)| slowness);
            if is_success(head.status) {
                let bytes = body.len();
                state
                    .work
                    .learn(&self.request.route, head.run_ms, slowness, bytes);
            }
            drop(state);
            self.note_losers(now);
            return Some(self.pass_on(head, body));
        }
        state.failures.note_failure(&target, now);
        drop(state);
        self.history.may_have_run = true;
        self.history.failed_answer = Some((head, body));
        self.fail_over("the target failed")
    }

    /// The target's own answer for the caller. A status that promises "not run"
    /// is only true with the target's statement, which this one lacks.
    pub(super) fn pass_on(&self, head: AnswerHead, body: Bytes) -> Given {
        let promises_not_run = matches!(head.status, 408 | 421 | 429 | 503);
        if promises_not_run && !self.request.route.kind.is_idempotent() {
            return Given::fixed(ResultCode::RunBroken).because("the target's status is no proof");
        }
        Given::answered(head, body)
    }

    pub(super) fn take_refusal(&mut self, number: usize, end: CallEnd) -> Option<Given> {
        let now = self.entry.now();
        let had_started = self.attempts[number].started.is_some();
        let target = self.close(number);
        self.trail.push(&target.id, end.into());
        self.history.last_end = Some(end);
        if matches!(end, CallEnd::Slow | CallEnd::Busy) {
            let mut state = self.entry.state.lock();
            state.refusals.note_refused(&target, now);
        }
        // Failure answered: after all VMs lost power, or in a release, the list names
        // targets that are no more. Their gates say so to each call in each of its
        // rounds, which costs it time and bytes. Left alone like a VM that cannot be
        // reached, they cost 4 to 9% less bytes between data centres on such days.
        let takes_nothing = matches!(end, CallEnd::Down | CallEnd::Misdirected | CallEnd::Leaving);
        if takes_nothing {
            let mut state = self.entry.state.lock();
            state.failures.note_unreachable(&target, now);
        }
        if !end.reached_target() {
            if had_started {
                // Counted as an arrival when it started, but no connection
                // could be had.
                self.history.arrivals = self.history.arrivals.saturating_sub(1);
            }
            self.offer_hedge_again(now);
            return None;
        }
        if end == CallEnd::Shed {
            self.entry.state.lock().failures.note_failure(&target, now);
        }
        self.fail_over("the target did not run it")
    }

    /// The request may have run, and nobody can tell.
    pub(super) fn outcome_unknown(&mut self, number: usize, end: CallEnd) -> Option<Given> {
        let now = self.entry.now();
        let was_counted = self.attempts[number].started.is_some();
        let target = self.close(number);
        self.trail.push(&target.id, end.into());
        self.entry.state.lock().failures.note_failure(&target, now);
        // Failure answered: behind a cut in one direction, calls reach gates and
        // nothing comes back. Counted only when a gate says that it started, a
        // lookup would run at one target more for each such gate.
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
        Some(Given::fixed(code).because("the run broke"))
    }

    /// The link broke under an attempt. What may run only once is asked about:
    /// sent again it might run twice, and given up its caller learns nothing.
    pub(super) fn link_lost(&mut self, number: usize, incarnation: Incarnation) -> Option<Given> {
        let is_first_loss = self.attempts[number].lost_to.is_none();
        if self.request.route.kind.is_idempotent() || !is_first_loss {
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
    pub(super) fn fail_over(&mut self, reason: &'static str) -> Option<Given> {
        let now = self.entry.now();
        if self.has_open() {
            return None;
        }
        self.hedge_at = None;
        // Failure answered: a target runs a payment and answers 500, or its
        // answer breaks. Sent on, the payment would run a second time.
        let may_repeat = self.request.route.kind.is_idempotent() || !self.history.may_have_run;
        let may_go_on = may_repeat
            && self.history.arrivals < self.request.route.max_attempts
            && now < self.patience.last_start;
        if may_go_on && self.take_token(now) {
            // The rest of the round was ordered before this failure.
            self.rounds.left.clear();
            self.rounds.count = 0;
            log::debug!(request = self.request.request_id.as_str(), reason; "tried again elsewhere");
            return None;
        }
        Some(self.refuse().because(reason))
    }

    pub(super) fn take_token(&mut self, now: Millis) -> bool {
        if self.history.tokens > 0 {
            return true;
        }
        let entries = self.entries();
        let mut state = self.entry.state.lock();
        let is_allowed = state.try_retry(&self.request.service, entries, now);
        self.history.tokens += u32::from(is_allowed);
        is_allowed
    }

    /// Holds it against the targets of attempts that another one overtook.
    pub(super) fn note_losers(&self, now: Millis) {
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
                state.failures.note_failure(&attempt.member, now);
            }
        }
    }

    /// The final answer when no target served the call.
    pub(super) fn refuse(&mut self) -> Given {
        let reason = self
            .history
            .last_end
            .map_or("no target", <&'static str>::from);
        if let Some((head, body)) = self.history.failed_answer.take() {
            return self.pass_on(head, body);
        }
        if self.history.may_have_run {
            return Given::fixed(ResultCode::AttemptsFailed).because(reason);
        }
        let code = match self.history.last_end {
            None | Some(CallEnd::Down) => ResultCode::NoTarget,
            Some(CallEnd::Leaving) => ResultCode::Leaving,
            Some(CallEnd::Convicted) => ResultCode::CrashSuspect,
            Some(_) => ResultCode::Overloaded,
        };
        let drawn_ms = self.entry.state.lock().rng.random_range(RETRY_AFTER_MS);
        let left_ms = self.request.deadline_at.since(self.entry.now());
        let wait = Millis(drawn_ms.min(left_ms.0 / 3));
        Given::refused(code, wait).because(reason)
    }

    /// What the caller is told when its time is up.
    pub(super) fn at_deadline(&mut self) -> Given {
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
        if let Some((head, body)) = self.history.failed_answer.take() {
            return self.pass_on(head, body);
        }
        if self.has_open() || self.history.may_have_run {
            let reason = self
                .history
                .last_end
                .map_or("no answer in time", <&'static str>::from);
            return Given::fixed(ResultCode::DeadlinePassed).because(reason);
        }
        self.refuse()
    }
}
