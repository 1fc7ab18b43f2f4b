//! What the end of an attempt says about the target and about the call.

use crate::entry::{AttemptEnd, AttemptOutcome};
use crate::prelude::*;

/// What an end says about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// It answered.
    Success,
    /// It failed, however quickly.
    Failure,
    /// Nothing is there.
    Unreachable,
    /// It works but has no room.
    Overloaded,
    /// It takes no new work.
    Leaving,
    /// It would have taken at least as long as the attempt lasted.
    LowerBound,
    /// Nothing: the call itself was at fault.
    Inconclusive,
}

impl Observation {
    /// `median_us` is the median latency, once it is known.
    pub(crate) fn of(outcome: &AttemptOutcome, median_us: Option<u32>) -> Self {
        match outcome.end {
            AttemptEnd::Answered { failed: false } => Self::Success,
            AttemptEnd::Answered { failed: true } => Self::Failure,
            AttemptEnd::Broken => Self::Failure,
            AttemptEnd::TimedOut => Self::of_timeout(outcome.latency_us, median_us),
            AttemptEnd::Unreachable => Self::Unreachable,
            AttemptEnd::Cancelled => Self::LowerBound,
            AttemptEnd::Refused(refusal) => Self::of_refusal(refusal.code),
        }
    }

    /// Failure answered: one caller sets deadlines that no target can meet, and
    /// its timeouts eject healthy targets for everyone. Half of all answers
    /// take longer than the median, so giving up sooner proves nothing.
    fn of_timeout(latency_us: u32, median_us: Option<u32>) -> Self {
        match median_us {
            Some(median_us) if latency_us < median_us => Self::LowerBound,
            _ => Self::Failure,
        }
    }

    fn of_refusal(code: ResultCode) -> Self {
        match code {
            ResultCode::Overloaded | ResultCode::RecordsFull => Self::Overloaded,
            ResultCode::Leaving => Self::Leaving,
            // The gate cannot serve this service at all, and says so at once:
            // without a cost it would look like the quickest target.
            ResultCode::NoTarget
            | ResultCode::WrongGate
            | ResultCode::UnknownService
            | ResultCode::NoConfiguration => Self::Failure,
            _ => Self::Inconclusive,
        }
    }
}

impl AttemptEnd {
    /// Whether the gate had no room, or not soon enough.
    pub(crate) const fn is_overload_refusal(&self) -> bool {
        let Self::Refused(refusal) = self else {
            return false;
        };
        matches!(
            refusal.code,
            ResultCode::Overloaded | ResultCode::RecordsFull | ResultCode::DeadlineTooShort
        )
    }

    /// Whether the target may have run the request in this attempt.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        match self {
            Self::Refused(refusal) => !matches!(
                refusal.code.certainty(),
                Certainty::NotRun | Certainty::NotYet | Certainty::TicketDead
            ),
            Self::Unreachable => false,
            Self::Answered { .. } | Self::Broken | Self::TimedOut | Self::Cancelled => true,
        }
    }
}
