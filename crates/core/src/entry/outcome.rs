//! What the end of an attempt shows about the target and about the call.

use crate::entry::{AttemptEnd, AttemptOutcome};
use crate::prelude::*;

/// What the end of an attempt shows about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// The target answered without a failure.
    Success,
    /// The target failed, however quickly.
    Failure,
    /// Nothing listens at the address.
    Unreachable,
    /// The target works but has no capacity left.
    Overloaded,
    /// The target accepts no new work.
    Leaving,
    /// The service time is at least as long as the attempt lasted.
    LowerBound,
    /// Nothing is known about the target, because the call itself was at fault.
    Inconclusive,
}

impl Observation {
    /// Classifies an outcome. `median_us` is the median latency, once it is
    /// known.
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

    /// Classifies a timeout. Half of all answers take longer than the median,
    /// so a timeout before the median proves nothing. Otherwise a single caller
    /// with deadlines that no target can meet would eject healthy targets for
    /// everyone.
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
            // The gate cannot serve this service and says so at once. If this
            // were not a failure, the target would look like the fastest one.
            ResultCode::NoTarget
            | ResultCode::WrongGate
            | ResultCode::UnknownService
            | ResultCode::NoConfiguration
            | ResultCode::OutdatedConfiguration => Self::Failure,
            _ => Self::Inconclusive,
        }
    }
}

impl AttemptEnd {
    /// Whether the gate had no capacity, or none before the deadline.
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
