//! Asking about a key, which fences it if it has not started.

use super::records::RecordState;
use super::run::Phase;
use super::{FenceAnswer, Gate, RunId, Settlement};
use crate::prelude::*;

impl Gate {
    /// Settles a key as far as it can be settled; see [`FenceAnswer`]. Call
    /// [`Self::take_wakes`] afterwards: callers of a held call that is fenced
    /// are told there.
    ///
    /// "Not run" ([`ResultCode::Fenced`]) is certain for ever, whatever is
    /// still on its way. Where this gate cannot know (the ticket is another
    /// life's, or it expired and its record is forgotten) the answer is
    /// [`ResultCode::GateLost`]: the asker has sent the request, so a code that
    /// says "this attempt did not run" would be a guess.
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
        let run = run.expect("a live record names a call in hand");
        if run.phase == Phase::Running {
            return FenceAnswer::Running(id);
        }
        let refusal = Refusal::fixed(ResultCode::Fenced);
        self.refuse_waiting(id, refusal);
        refused(refusal)
    }
}

const fn refused(refusal: Refusal) -> FenceAnswer {
    FenceAnswer::Settled(Settlement::Refused(refusal))
}
