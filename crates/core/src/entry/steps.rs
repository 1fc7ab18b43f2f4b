//! Types exchanged between drivers and the entry for the steps of a call.

use crate::prelude::*;

/// Index of a target within one [`EntryService`](super::EntryService); stable
/// while its VM is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetIndex(pub u32);

/// A target chosen for one attempt. Every pick must be ended exactly once by
/// [`EntryService::finish`](super::EntryService::finish), even if the attempt
/// was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The chosen target.
    pub target: TargetIndex,
    /// When the attempt started.
    pub started_at: Millis,
    /// The attempt is the single trial of an ejected target.
    pub is_trial: bool,
    /// Generation of the target in which the attempt started.
    pub(super) generation: u32,
}

/// The requirements of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Targets that have already been tried for this call.
    pub exclude: &'a [TargetIndex],
    /// Deadline of the whole call.
    pub deadline_at: Millis,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered; a 5xx status counts as its failure.
    Answered {
        /// Whether the target's own status was 5xx.
        failed: bool,
    },
    /// The gate refused the attempt. [`AttemptEnd::may_have_run`] determines from
    /// the code whether the request may have run.
    Refused(Refusal),
    /// The gate could not be reached; the request did not run.
    Unreachable,
    /// The stream broke after the request was sent; the request may have run.
    Broken,
    /// The deadline passed while waiting; the request may have run.
    TimedOut,
    /// This node cancelled the attempt because another one won or the caller
    /// left.
    Cancelled,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// How it ended.
    pub end: AttemptEnd,
    /// Time from sending the request to receiving the response headers, in
    /// microseconds.
    pub latency_us: u32,
    /// The load report in the answer, if any.
    pub load: Option<LoadReport>,
}

/// Progress of a call at the entry; the driver maintains it.
#[derive(Clone, Copy, Debug)]
pub struct CallProgress {
    /// The call may safely run twice.
    pub idempotent: bool,
    /// Number of attempts started so far, including hedges.
    pub attempts: u32,
    /// Depth of the call; 0 for the outermost caller.
    pub depth: u32,
    /// Deadline of the whole call.
    pub deadline_at: Millis,
    /// An attempt before the one that just ended, or one still in flight, may
    /// have run; see [`AttemptEnd::may_have_run`]. Without this, a call that
    /// broke once and was then refused would be answered with "not run".
    pub may_have_run: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Pick another target immediately.
    Retry,
    /// Answer the caller now.
    GiveUp(Refusal),
}

/// The gate for which a new ticket is issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketGate {
    /// VM of the gate.
    pub vm: VmId,
    /// Incarnation of the gate.
    pub incarnation: Incarnation,
    /// Expiry of a ticket issued now, by the gate's clock.
    pub expires_at: Millis,
}
