//! Calls and attempts in hand.

use hornbeamhitch_core::gate::RunId;

use crate::event::{AttemptIndex, CallIndex, HostId};
use crate::prelude::*;

/// Fingerprint of the request that crashes targets.
const CRASH_FINGERPRINT: u64 = 0xdead_beef;

/// What a call is, beside its place in the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// A caller's own call.
    FromCaller,
    /// A caller's call that crashes every target that runs it.
    Crashing,
    /// A target's call to the next service, on behalf of a run.
    FromTarget(AttemptIndex),
}

/// One call at one entry; a caller that comes back keeps its call.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) kind: CallKind,
    /// Place in the chain, and depth.
    pub(super) service: usize,
    pub(super) node: usize,
    pub(super) identity: u64,
    pub(super) sent_at: Micros,
    /// When the present try reached its entry.
    pub(super) arrived_at: Micros,
    pub(super) deadline_at: Micros,
    /// A try is in hand at the entry.
    pub(super) live: bool,
    pub(super) live_attempts: Vec<AttemptIndex>,
    pub(super) tried: Vec<TargetIndex>,
    /// Attempts of the present try.
    pub(super) attempts: u32,
    /// An attempt of the present try that ended may have run.
    pub(super) may_have_run: bool,
    /// An attempt of the present try broke; its gate is told with the next one.
    pub(super) broke: bool,
    pub(super) hedged: bool,
    /// Tries of the caller, the first included.
    pub(super) tries: u32,
    pub(super) ticket: Option<Ticket>,
}

impl Call {
    /// What suspicion knows the call by.
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

/// Where an attempt is, seen from the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// On its way to the gate.
    Sent,
    /// Held by the gate.
    Queued(RunId),
    /// Waits for the run of another attempt with the same key.
    Joined(RunId),
    /// In the target, waiting there or running.
    AtTarget,
    /// Over at the gate.
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
    /// The admitted run, with a gate.
    pub(super) run: Option<RunId>,
    pub(super) at_target_since: Micros,
    /// The entry still waits for it.
    pub(super) live: bool,
    /// The call that the target made on its behalf.
    pub(super) nested_call: Option<CallIndex>,
    /// Time for which it held a slot.
    pub(super) slot_time: Micros,
    /// What travels back to the entry.
    pub(super) outcome: Option<AttemptOutcome>,
}
