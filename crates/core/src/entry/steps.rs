//! What drivers and the entry tell each other about the steps of a call.

use crate::prelude::*;

/// Index of a target within one [`EntryService`](super::EntryService); stable while its VM is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetIndex(pub u32);

/// A target chosen for one attempt. Every pick must be ended exactly once by
/// [`EntryService::finish`](super::EntryService::finish), also when the attempt was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The chosen target.
    pub target: TargetIndex,
    /// When the attempt started.
    pub started_at: Millis,
    /// The attempt is the single trial of an ejected target.
    pub is_trial: bool,
    /// Life of the target in which the attempt started.
    pub(super) generation: u32,
}

/// What an attempt needs.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Targets already tried for this call.
    pub exclude: &'a [TargetIndex],
    /// When the whole call must have ended.
    pub deadline_at: Millis,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered; a 5xx of the target counts as a failure of it.
    Answered {
        /// Whether the target's own status was 5xx.
        failed: bool,
    },
    /// The gate refused: the request did not run.
    Refused(Refusal),
    /// The gate could not be reached: the request did not run.
    Unreachable,
    /// The stream broke after the request was sent: it may have run.
    Broken,
    /// The deadline passed while waiting: it may have run.
    TimedOut,
    /// This node cancelled the attempt (lost hedge, caller gone).
    Cancelled,
}

/// An ended attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// How it ended.
    pub end: AttemptEnd,
    /// Time from sending to the head of the answer, in microseconds.
    pub latency_us: u32,
    /// The load report on the answer, if one came.
    pub load: Option<LoadReport>,
}

/// A call's progress at the entry, kept by the driver.
#[derive(Clone, Copy, Debug)]
pub struct CallProgress {
    /// Running it twice is harmless.
    pub idempotent: bool,
    /// Attempts started so far, hedges included.
    pub attempts: u32,
    /// Depth of the call, 0 at the outermost caller.
    pub depth: u32,
    /// When the whole call must have ended.
    pub deadline_at: Millis,
    /// An attempt before the one that just ended, or one that is still out, may
    /// have run; see [`AttemptEnd::may_have_run`]. Without it a call that broke
    /// once and was refused then would be told "not run".
    pub may_have_run: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Pick again, at once.
    Retry,
    /// Answer the caller now.
    GiveUp(Refusal),
}

/// The gate that a new ticket names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketGate {
    /// VM of the gate.
    pub vm: VmId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Expiry for a ticket written now, in the gate's clock.
    pub expires_at: Millis,
}
