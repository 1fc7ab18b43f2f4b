//! Withdraws attempts that their gates do not confirm in time.

use hornbeamhitch_dispatch::faults::silence::{Confirmation, SilentVms};
use hornbeamhitch_dispatch::placement::order::Candidate;

use super::CallDriver;
use crate::entry::progress::AttemptGuard;
use crate::link::{PendingRequest, Withdrawal};
use crate::prelude::*;

/// Interval at which an attempt is checked again that was not withdrawn because its content
/// was sent.
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
        !self.request.route.kind.is_idempotent() || self.history.has_unconfirmed_content
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
        if request.has_sent_content() {
            return self.hedge_unconfirmed(number, now);
        }
        match request.withdraw() {
            Withdrawal::Withdrawn => {}
            Withdrawal::ContentSent => return self.hedge_unconfirmed(number, now),
            Withdrawal::Confirmed => return,
        }
        let service = self.request.service.as_str();
        self.entry.metrics.ask_withdrawn(service);
        let target = self.end_without_run(number, "unconfirmed");
        if is_silent {
            let mut state = self.entry.state.lock();
            state.reachability.note_unreachable(target.vm_ip());
        }
        if self.has_open_attempt() {
            self.hedge_at = Some(now);
            return;
        }
        if now < self.wait_plan.last_start && self.has_other_target(number, now) {
            self.begin_anew();
        }
    }

    /// Tries another target beside an attempt whose content was sent and that its gate has
    /// not confirmed.
    ///
    /// The attempt is kept, since its target may run the call: cancelling it would break off
    /// that run, and the call might find no other target. It counts as an arrival, and the
    /// hedge needs a token of the retry budget.
    fn hedge_unconfirmed(&mut self, number: usize, now: Millis) {
        if !self.request.route.kind.is_idempotent() || now >= self.wait_plan.last_start {
            return;
        }
        let attempt = &mut self.attempts[number];
        attempt.confirmation = Some(Confirmation::expect(RECHECK_INTERVAL_MS, now));
        if !attempt.is_counted {
            attempt.is_counted = true;
            let target = attempt.member.id.clone();
            self.history.has_unconfirmed_content = true;
            self.count_arrival(target);
        }
        let open = self
            .attempts
            .iter()
            .filter(|attempt| attempt.guard.is_some());
        if open.count() == 1 {
            self.hedge_at = Some(now);
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
}
