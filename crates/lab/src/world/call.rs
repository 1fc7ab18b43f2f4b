//! State of calls and attempts.

use hornbeamhitch_core::gate::RunId;

use crate::event::{AttemptIndex, CallIndex, HostId};
use crate::prelude::*;

/// Fingerprint of the request that crashes targets.
const CRASH_FINGERPRINT: u64 = 0xdead_beef;

/// Origin of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// A call of a caller.
    FromCaller,
    /// A call of a caller that crashes every target that runs it.
    Crashing,
    /// A target's nested call to the next service during the run of this attempt.
    FromTarget(AttemptIndex),
}

/// A call at an entry. A resend by the caller is another try of the same call.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) kind: CallKind,
    /// Index of the service in the chain, which is also the depth of the call.
    pub(super) service: usize,
    pub(super) node: usize,
    pub(super) identity: u64,
    pub(super) sent_at: Micros,
    /// When the current try reached its entry.
    pub(super) arrived_at: Micros,
    pub(super) deadline_at: Micros,
    /// Whether a try is in progress at the entry.
    pub(super) live: bool,
    pub(super) live_attempts: Vec<AttemptIndex>,
    pub(super) tried: Vec<TargetIndex>,
    /// Number of attempts of the current try.
    pub(super) attempts: u32,
    /// Whether an ended attempt of the current try may have run.
    pub(super) may_have_run: bool,
    /// Whether an attempt of the current try ended as broken. The gate of the next
    /// attempt is informed of it.
    pub(super) broke: bool,
    pub(super) hedged: bool,
    /// Number of tries of the caller, including the first.
    pub(super) tries: u32,
    pub(super) ticket: Option<Ticket>,
}

impl Call {
    /// Fingerprint by which the crash suspects identify the request.
    pub(super) const fn fingerprint(&self) -> u64 {
        match self.kind {
            CallKind::Crashing => CRASH_FINGERPRINT,
            CallKind::FromCaller | CallKind::FromTarget(_) => self.identity,
        }
    }

    pub(super) fn progress(&self, idempotent: bool) -> CallProgress {
        CallProgress {
            idempotent,
            attempts: self.attempts,
            depth: self.service as u32,
            deadline_at: self.deadline_at.floor_millis(),
            may_have_run: self.may_have_run || !self.live_attempts.is_empty(),
        }
    }
}

/// Stage of an attempt from the gate's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// In transit to the gate.
    Sent,
    /// Queued in the gate.
    Queued(RunId),
    /// Waiting for the run of another attempt with the same key.
    Joined(RunId),
    /// At the target, waiting or running.
    AtTarget,
    /// Ended at the gate.
    Ended,
}

/// One attempt of a call at one target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) call: CallIndex,
    pub(super) host: HostId,
    pub(super) pick: Pick,
    pub(super) sent_at: Micros,
    pub(super) stage: Stage,
    /// Run that the gate admitted. `None` without a gate.
    pub(super) run: Option<RunId>,
    pub(super) at_target_since: Micros,
    /// Whether the entry still waits for the attempt.
    pub(super) live: bool,
    /// Call that the target makes to the next service during the run.
    pub(super) nested_call: Option<CallIndex>,
    /// Time for which the attempt occupied a slot.
    pub(super) slot_time: Micros,
    /// Outcome that is sent to the entry.
    pub(super) outcome: Option<AttemptOutcome>,
}
