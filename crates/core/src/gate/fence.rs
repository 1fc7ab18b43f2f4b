//! Fence requests, which settle a key and prevent a call that has not started.

use super::records::RecordState;
use super::run::Phase;
use super::{FenceAnswer, Gate, RunId, Settlement};
use crate::prelude::*;

impl Gate {
    /// Settles a key as far as possible; see [`FenceAnswer`]. Call
    /// [`Self::take_wakes`] afterwards, which returns the refusal for the
    /// callers of a waiting call that was fenced.
    ///
    /// "Not run" ([`ResultCode::Fenced`]) remains true, whatever is still in
    /// transit. If this gate cannot know the outcome (the ticket is for another
    /// incarnation, or it expired and its record was removed), the answer is
    /// [`ResultCode::GateLost`]. The requester has already sent the call, so a
    /// code that means "this attempt did not run" would be a guess.
    pub fn fence(&mut self, ticket: &Ticket, now: Millis) -> FenceAnswer {
        let now = self.advance(now);
        if !self.names_this_gate(ticket) {
            return refused(Refusal::fixed(ResultCode::GateLost));
        }
        if self.has_excessive_expiry(ticket, now) && !self.records.covers(ticket) {
            return refused(Refusal::fixed(ResultCode::GateLost));
        }
        if let Some(fenced_refusal) = self.records.fenced_refusal(ticket) {
            return refused(fenced_refusal);
        }
        let Some(record) = self.records.find_and_extend(ticket) else {
            return self.fence_unknown(ticket, now);
        };
        match &record.state {
            RecordState::Answered(answer) => {
                FenceAnswer::Settled(Settlement::Answered(answer.clone()))
            }
            RecordState::AnswerNotKept => refused(Refusal::fixed(ResultCode::AnswerNotKept)),
            RecordState::Unknown => refused(Refusal::fixed(ResultCode::RunBroken)),
            RecordState::Fenced { .. } => self.fence_unknown(ticket, now),
            RecordState::Live(run) => {
                let run = *run;
                self.fence_live(run)
            }
        }
    }

    fn fence_unknown(&mut self, ticket: &Ticket, now: Millis) -> FenceAnswer {
        if now >= ticket.expires_at {
            return refused(Refusal::fixed(ResultCode::GateLost));
        }
        if !self.records.below_floor(ticket) {
            self.fence_new(ticket, None, None, now);
        }
        refused(Refusal::fixed(ResultCode::Fenced))
    }

    fn fence_live(&mut self, id: RunId) -> FenceAnswer {
        let run = self.runs.get(&id);
        let run = run.expect("a live record refers to an active call");
        if run.phase == Phase::Running {
            return FenceAnswer::Running(id);
        }
        let refusal = Refusal::fixed(ResultCode::Fenced);
        self.refuse_call(id, refusal);
        refused(refusal)
    }
}

const fn refused(refusal: Refusal) -> FenceAnswer {
    FenceAnswer::Settled(Settlement::Refused(refusal))
}
