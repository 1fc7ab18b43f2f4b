//! Whom a call asks next, and for how long.

use std::sync::Arc;

use hornbeamhitch_dispatch::order::{self, Candidate, View};
use hornbeamhitch_node::metrics::AttemptKind;

use super::CallRun;
use crate::entry::answer::Given;
use crate::entry::progress::{self, Attempt};
use crate::entry::state::EntryState;
use crate::link::OutgoingCall;
use crate::prelude::*;

/// In later rounds one gate holds the call in its line for this long, so that a
/// slot or a fast moment there is not missed; then the others are asked again.
const ROUND_HOLD_MS: Millis = Millis(30);
/// Least time between the first two rounds of asking; each further one waits
/// longer, or refusals would come in a storm when all targets are full.
const ROUND_PAUSE_MS: Millis = Millis(12);
/// Longest time between two rounds: a slow spell lasts a few of these.
const LONGEST_ROUND_PAUSE_MS: Millis = Millis(48);
/// When no gate takes a hedge, it is offered again after this span.
const HEDGE_AGAIN_MS: Millis = Millis(25);

/// What to do while no attempt is open.
pub(super) enum Step {
    Send(Candidate, Millis),
    Pause(Millis),
    End(Given),
}

impl CallRun<'_> {
    /// Decides whom to ask next while no attempt is open.
    pub(super) fn next_step(&mut self) -> Step {
        let now = self.entry.now();
        if now >= self.patience.last_start && self.rounds.count > 0 {
            return Step::End(self.refuse());
        }
        if let Some(candidate) = self.rounds.left.pop_front() {
            let hold_ms = self.hold_for(&candidate, now);
            return Step::Send(candidate, hold_ms);
        }
        if self.rounds.count > 0 {
            if self.is_hopeless(now) {
                return Step::End(self.refuse());
            }
            let pause_ms = ROUND_PAUSE_MS.0 * u64::from(self.rounds.count);
            let next_at = self.rounds.began + Millis(pause_ms).min(LONGEST_ROUND_PAUSE_MS);
            if now < next_at {
                return Step::Pause(next_at);
            }
        }
        self.rounds.left = self.candidates(now).into();
        self.rounds.count += 1;
        self.rounds.began = now;
        match self.rounds.left.pop_front() {
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
    pub(super) fn is_hopeless(&self, now: Millis) -> bool {
        self.history.last_end != Some(CallEnd::Slow) && now >= self.patience.busy_until
    }

    pub(super) fn candidates(&self, now: Millis) -> Vec<Candidate> {
        let directory = self.entry.directory.load();
        let mut state = self.entry.state.lock();
        let EntryState { failures, rng, .. } = &mut *state;
        let view = View {
            available: directory.members.available(&self.request.service),
            data_centre: &self.entry.data_centre,
            failures,
            tried: &self.history.tried,
            now,
        };
        order::candidates(&view, rng)
    }

    /// How long a gate may hold the call. In the first round, the last near
    /// gate holds it while that is worth more than asking a far one.
    pub(super) fn hold_for(&self, candidate: &Candidate, now: Millis) -> Millis {
        let left_ms = self.patience.last_start.since(now);
        if self.rounds.count > 1 {
            let is_first = self.rounds.began == now;
            let hold_ms = if is_first {
                ROUND_HOLD_MS
            } else {
                Millis::ZERO
            };
            return hold_ms.min(left_ms);
        }
        let more_near = self.rounds.left.iter().any(|other| other.is_near);
        if candidate.is_near && !candidate.is_avoided && !more_near {
            return self.patience.near_until.since(now).min(left_ms);
        }
        Millis::ZERO
    }

    pub(super) fn send(&mut self, candidate: &Candidate, hold_ms: Millis) {
        let now = self.entry.now();
        let key = self.entry.next_key();
        let slow_after_ms = match self.patience.slow_from {
            Millis::MAX => Millis::MAX,
            at => at.since(now),
        };
        let call = OutgoingCall {
            terms: CallTerms {
                target_id: candidate.member.id.as_str().to_owned(),
                request_id: self.request.request_id.clone(),
                key,
                fingerprint: self.request.fingerprint,
                idempotent: self.request.route.kind.is_idempotent(),
                priority: self.request.route.priority,
                work_ms: self.work.run_at(100),
                max_queue_ms: hold_ms,
                objective_ms: self.patience.objective_at.since(now),
                whole_objective_ms: self.patience.whole_objective_ms,
                slow_after_ms,
                deadline_ms: self.request.deadline_at.since(now),
                repeated_percent: match self.is_repeat() {
                    true => 100,
                    false => self.request.repeated_percent,
                },
            },
            head: self.request.head.clone(),
            body: self.request.body.clone(),
            offers_terms_first: {
                let state = self.entry.state.lock();
                state.refusals.is_refusal_likely(&candidate.member, now)
            },
        };
        let kind = match (self.has_open(), self.history.arrivals) {
            (true, _) => AttemptKind::Hedge,
            (false, 0) => AttemptKind::First,
            (false, _) => AttemptKind::Retry,
        };
        self.entry
            .metrics
            .attempt_sent(self.request.service.as_str(), kind);
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

    /// Whether what is sent now would be a retry or a hedge.
    fn is_repeat(&self) -> bool {
        self.history.arrivals > 0
    }

    /// A hedge that no gate took is offered again while the first attempt runs.
    pub(super) fn offer_hedge_again(&mut self, now: Millis) {
        if self.has_open() && self.request.route.kind.is_idempotent() {
            self.hedge_at = Some(now + HEDGE_AGAIN_MS);
        }
    }

    /// Sends the call to a second target beside one that seems stuck.
    pub(super) fn hedge(&mut self) {
        self.hedge_at = None;
        let now = self.entry.now();
        let open = self
            .attempts
            .iter()
            .filter(|attempt| attempt.hold.is_some());
        if open.count() != 1 || self.history.arrivals >= self.request.route.max_attempts {
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
}
