//! Withdraws attempts that their gates do not confirm in time.

use hornbeamhitch_dispatch::faults::silence::{Confirmation, SilentVms};
use hornbeamhitch_dispatch::placement::order::Candidate;

use super::CallDriver;
use crate::entry::progress::AttemptGuard;
use crate::link::{PendingRequest, Withdrawal};
use crate::prelude::*;

/// Interval at which an attempt that could not be withdrawn is checked again.
const RECHECK_INTERVAL_MS: Millis = Millis(50);

impl CallDriver<'_> {
    /// Whether the content of the call is sent only when a gate requests it, so that an
    /// attempt that is withdrawn before then never runs.
    ///
    /// A call that may repeat is offered after a gate has failed to confirm it, so that a
    /// second silent gate costs neither an attempt nor a token.
    pub(super) fn must_offer(&self) -> bool {
        if !self.entry.silence.is_enabled() {
            return false;
        }
        !self.request.route.kind.is_idempotent() || self.history.has_withdrawn_content
    }

    /// Returns the confirmation that an attempt needs; none if its gate is in this process.
    pub(super) fn expect_confirmation(
        &self,
        guard: &AttemptGuard,
        now: Millis,
    ) -> Option<Confirmation> {
        if !self.entry.silence.is_enabled() {
            return None;
        }
        let request = guard.request()?;
        let timeout_ms = request.confirmation_timeout_ms();
        Some(Confirmation::expect(timeout_ms, now))
    }

    /// Returns when the next confirmation of an open attempt is due.
    pub(super) fn next_confirmation(&self) -> Option<Millis> {
        let mut earliest = None;
        for attempt in &self.attempts {
            let Some(confirmation) = &attempt.confirmation else {
                continue;
            };
            let due_at = confirmation.due_at();
            earliest = Some(earliest.map_or(due_at, |at: Millis| at.min(due_at)));
        }
        earliest
    }

    /// Withdraws the attempts whose confirmation is overdue.
    pub(super) fn withdraw_overdue(&mut self, now: Millis) {
        for number in 0..self.attempts.len() {
            let confirmation = &mut self.attempts[number].confirmation;
            if confirmation
                .as_mut()
                .is_some_and(|confirmation| confirmation.is_overdue(now))
            {
                *confirmation = None;
                self.withdraw(number, now);
            }
        }
    }

    fn withdraw(&mut self, number: usize, now: Millis) {
        let Some(request) = self.pending_request(number) else {
            return;
        };
        let is_silent = request.observe_silence(self.attempts[number].sent_at);
        let has_sent_content = request.has_sent_content();
        if has_sent_content && !self.may_repeat_elsewhere(number, now) {
            // A token of the retry budget may come free.
            self.check_again(number, now);
            return;
        }
        let request = self.pending_request(number);
        match request.map(|request| request.withdraw(has_sent_content)) {
            Some(Withdrawal::Withdrawn) => {}
            Some(Withdrawal::ContentSent) => return self.check_again(number, now),
            Some(Withdrawal::Confirmed) | None => return,
        }
        let service = self.request.service.as_str();
        self.entry.metrics.ask_withdrawn(service);
        let target = self.end_without_run(number, "unconfirmed");
        if is_silent {
            let mut state = self.entry.state.lock();
            state.reachability.note_unreachable(target.vm_ip());
        }
        if has_sent_content {
            self.note_withdrawn_content(target.id.clone());
        }
        let has_time = now < self.wait_plan.last_start;
        if has_sent_content || has_time && self.has_other_target(number, now) {
            self.begin_anew();
        }
    }

    /// Checks an attempt that could not be withdrawn again after a while, if it may be then.
    fn check_again(&mut self, number: usize, now: Millis) {
        let route = &self.request.route;
        let may_repeat =
            route.kind.is_idempotent() && self.history.arrivals + 1 < route.max_attempts;
        if may_repeat && now < self.wait_plan.last_start {
            let confirmation = Confirmation::expect(RECHECK_INTERVAL_MS, now);
            self.attempts[number].confirmation = Some(confirmation);
        }
    }

    /// Orders the targets again, without the pause between rounds: no gate has refused the
    /// call, and the remaining candidates were ordered without knowing of this silence.
    fn begin_anew(&mut self) {
        if self.has_open_attempt() {
            return;
        }
        self.hedge_at = None;
        self.rounds.remaining.clear();
        self.rounds.count = 0;
    }

    fn pending_request(&self, number: usize) -> Option<&PendingRequest> {
        self.attempts[number].guard.as_ref()?.request()
    }

    /// Whether the call can go on without an attempt whose content was sent. The attempt
    /// counts as an arrival, and the next one needs a token of the retry budget. Where it
    /// cannot go on, the call waits for the silent gate.
    fn may_repeat_elsewhere(&mut self, number: usize, now: Millis) -> bool {
        let mut others = self.attempts.iter().enumerate();
        if others.any(|(other, attempt)| other != number && attempt.guard.is_some()) {
            return true;
        }
        let route = &self.request.route;
        let is_allowed = route.kind.is_idempotent()
            && self.history.arrivals + 1 < route.max_attempts
            && now < self.wait_plan.last_start;
        if !is_allowed || !self.has_other_target(number, now) {
            return false;
        }
        let entries = self.entries();
        let mut state = self.entry.state.lock();
        if !state.try_retry(&self.request.service, entries, now) {
            return false;
        }
        self.history.unused_tokens += 1;
        true
    }

    /// Whether another target can be tried whose VM is not silent.
    fn has_other_target(&self, number: usize, now: Millis) -> bool {
        let tried = &self.attempts[number].member.id;
        let candidates = self.candidates(now);
        let silent = self.entry.silence.known();
        for Candidate { member, .. } in &candidates {
            if member.id == *tried {
                continue;
            }
            let is_silent = |silent: &SilentVms| silent.is_silent(member.vm_ip(), now);
            if !silent.as_deref().is_some_and(is_silent) {
                return true;
            }
        }
        false
    }

    /// Counts an attempt that was withdrawn after its content had been sent. It may have
    /// run, so its target is not tried again.
    fn note_withdrawn_content(&mut self, target: TargetId) {
        self.count_arrival(target);
        self.history.may_have_run = true;
        self.history.has_withdrawn_content = true;
        self.history.last_end = Some(CallEnd::Broken);
    }
}
