//! Arrivals with a ticket: at most one start per key in this incarnation.

use super::records::RecordState;
use super::{Arrival, Gate, RunId, Verdict};
use crate::prelude::*;

/// Margin on top of twice the longest validity that a policy has allowed,
/// because issuers of tickets may have an older or newer policy than this gate.
const EXPIRY_MARGIN: Millis = Millis::from_secs(60);

/// Calls refused on arrival may use one of this many records. In an overload,
/// refusals outnumber runs, and their records must not displace calls that can
/// be served.
const FENCED_SHARE_DIVISOR: usize = 2;

/// What a record answers to another arrival of its key.
enum RecordedOutcome {
    Verdict(Verdict),
    Live(RunId),
}

impl Gate {
    /// Whether the ticket names this incarnation of this gate.
    pub(super) fn names_this_gate(&self, ticket: &Ticket) -> bool {
        ticket.incarnation == self.settings.incarnation
            && ticket.gate == self.settings.vm
            && ticket.service == self.policy.service
    }

    pub(super) fn arrive_ticketed(
        &mut self,
        ticket: &Ticket,
        arrival: &Arrival<'_>,
        now: Millis,
    ) -> Verdict {
        if !self.names_this_gate(ticket) {
            return refuse(ResultCode::WrongGate);
        }
        if let Some(refusal) = self.refuse_excessive_expiry(ticket, now) {
            return Verdict::Refuse(refusal);
        }
        if let Some(verdict) = self.answer_from_record(ticket, arrival.digest) {
            return verdict;
        }
        if now >= ticket.expires_at {
            return refuse(ResultCode::TicketExpired);
        }
        if self.records.below_floor(ticket) {
            return refuse(ResultCode::Fenced);
        }
        self.arrive_new_key(ticket, arrival, now)
    }

    /// Fences a key that has no record, by a record or, if the records are
    /// full, by the floor. In either case no ticket that expires up to this
    /// one's expiry runs the key later.
    pub(super) fn fence_new(
        &mut self,
        ticket: &Ticket,
        digest: Option<u64>,
        retry_after_ms: Option<Millis>,
        now: Millis,
    ) {
        if !self.records.has_room(self.policy.max_records, now) {
            self.records.raise_floor(ticket.expires_at);
            return;
        }
        let fenced = RecordState::Fenced { retry_after_ms };
        self.records.insert(ticket, digest, fenced, now);
    }

    /// Whether the ticket expires so far ahead that no policy can have allowed
    /// it.
    pub(super) fn has_excessive_expiry(&self, ticket: &Ticket, now: Millis) -> bool {
        let ttl = self.max_ticket_ttl;
        ticket.expires_at > now + ttl + ttl + EXPIRY_MARGIN
    }

    /// Refuses a ticket whose record would be kept far too long.
    ///
    /// "Not run" must remain true when the expiry is nearer and a late
    /// duplicate looks valid, so the key is fenced by a record. There are few
    /// such records; when they are used up, the answer is "not yet".
    fn refuse_excessive_expiry(&mut self, ticket: &Ticket, now: Millis) -> Option<Refusal> {
        if !self.has_excessive_expiry(ticket, now) || self.records.covers(ticket) {
            return None;
        }
        let max_records = self.policy.max_records;
        if !self.records.has_room(max_records, now) || !self.records.take_excessive_expiry_fence() {
            return Some(self.refusal(ResultCode::RecordsFull));
        }
        if self.records.find_and_extend(ticket).is_some() {
            return None;
        }
        self.fence_new(ticket, None, None, now);
        Some(Refusal::fixed(ResultCode::BadRequest))
    }

    /// Answers from the key's record, if there is one.
    fn answer_from_record(&mut self, ticket: &Ticket, digest: u64) -> Option<Verdict> {
        if let Some(fenced_refusal) = self.records.fenced_refusal(ticket) {
            return Some(Verdict::Refuse(fenced_refusal));
        }
        let record = self.records.find_and_extend(ticket)?;
        if matches!(record.state, RecordState::Fenced { .. }) {
            // The ticket is newer than the fenced ones and counts as a first
            // arrival.
            return None;
        }
        if record.digest.is_some_and(|known| known != digest) {
            return Some(refuse(ResultCode::KeyReused));
        }
        match RecordedOutcome::from(&record.state) {
            RecordedOutcome::Verdict(verdict) => Some(verdict),
            RecordedOutcome::Live(run) => Some(self.join(run)),
        }
    }

    fn join(&mut self, id: RunId) -> Verdict {
        let run = self.runs.get_mut(&id);
        let run = run.expect("a live record refers to an active call");
        run.callers += 1;
        Verdict::Join(id)
    }

    fn arrive_new_key(&mut self, ticket: &Ticket, arrival: &Arrival<'_>, now: Millis) -> Verdict {
        if !self.leaving && !self.records.has_room(self.policy.max_records, now) {
            return Verdict::Refuse(self.refusal(ResultCode::RecordsFull));
        }
        match self.admit(arrival, now) {
            Ok(admission) => {
                let verdict = self.register_call(arrival, admission, now);
                let (Verdict::Run(run) | Verdict::Wait(run)) = verdict else {
                    unreachable!("an admitted call runs or waits");
                };
                let live = RecordState::Live(run);
                self.records.insert(ticket, Some(arrival.digest), live, now);
                verdict
            }
            Err(refusal) => Verdict::Refuse(self.refuse_new_key(ticket, arrival, refusal, now)),
        }
    }

    /// Makes "not run" certain before it is reported. The caller may then get a
    /// ticket for another gate, so a late duplicate of this arrival must find
    /// the key fenced.
    fn refuse_new_key(
        &mut self,
        ticket: &Ticket,
        arrival: &Arrival<'_>,
        refusal: Refusal,
        now: Millis,
    ) -> Refusal {
        if !self.may_fence_refused(refusal.code) {
            return Refusal {
                code: ResultCode::RecordsFull,
                ..refusal
            };
        }
        let retry_after_ms = refusal.retry_after_ms;
        self.fence_new(ticket, Some(arrival.digest), retry_after_ms, now);
        refusal
    }

    /// Whether a refusal on arrival may use a record of its own.
    fn may_fence_refused(&self, code: ResultCode) -> bool {
        let share = (self.policy.max_records as usize).div_ceil(FENCED_SHARE_DIVISOR);
        let is_final = matches!(code, ResultCode::Leaving | ResultCode::CrashSuspect);
        is_final || self.records.fenced() < share
    }
}

impl From<&RecordState> for RecordedOutcome {
    fn from(state: &RecordState) -> Self {
        Self::Verdict(match state {
            RecordState::Live(run) => return Self::Live(*run),
            RecordState::Answered(answer) => Verdict::Replay(answer.clone()),
            RecordState::AnswerNotKept => refuse(ResultCode::AnswerNotKept),
            RecordState::Unknown => refuse(ResultCode::RunBroken),
            RecordState::Fenced { .. } => {
                unreachable!("a fenced key refuses the ticket or counts as new")
            }
        })
    }
}

const fn refuse(code: ResultCode) -> Verdict {
    Verdict::Refuse(Refusal::fixed(code))
}
