//! The entry's side of a call: picking a target, retrying, hedging, giving up.

use std::sync::Arc;

use crate::prelude::*;

/// What an entry knows about itself.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Seed of the generator that breaks ties and spreads `Retry-After`.
    pub seed: u64,
}

/// Index of a target within one [`EntryService`]; stable while its VM is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetIndex(pub u32);

/// A target chosen for one attempt. Every pick must be ended exactly once by
/// [`EntryService::finish`], also when the attempt was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The chosen target.
    pub target: TargetIndex,
    /// When the attempt started.
    pub started_at: Millis,
    /// The attempt is the single trial of an ejected target.
    pub is_trial: bool,
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

/// One service as one entry sees it.
#[derive(Debug)]
pub struct EntryService {
    view: Arc<ServiceView>,
}

impl EntryService {
    /// Starts with a first view.
    #[must_use]
    pub fn new(_settings: &EntrySettings, view: Arc<ServiceView>, _now: Millis) -> Self {
        Self { view }
    }

    /// Takes over a newer view; what was learnt about targets that stay is kept.
    pub fn update(&mut self, view: Arc<ServiceView>, _now: Millis) {
        self.view = view;
    }

    /// Chooses a target for one attempt and counts it as in flight.
    ///
    /// # Errors
    ///
    /// Refuses when no usable target is left; the refusal is final.
    pub fn pick(&mut self, _request: &PickRequest<'_>, _now: Millis) -> Result<Pick, Refusal> {
        todo!()
    }

    /// The target behind an index, while it is in the view.
    #[must_use]
    pub fn target(&self, _index: TargetIndex) -> Option<&TargetView> {
        todo!()
    }

    /// The target on a VM: where a ticketed call must go.
    #[must_use]
    pub fn target_on(&self, _vm: &VmId) -> Option<(TargetIndex, &TargetView)> {
        todo!()
    }

    /// Counts an attempt that a ticket sends to a fixed target.
    pub fn pick_fixed(&mut self, _target: TargetIndex, _now: Millis) -> Pick {
        todo!()
    }

    /// Ends an attempt: frees its place and learns from its outcome.
    pub fn finish(&mut self, _pick: &Pick, _outcome: &AttemptOutcome, _now: Millis) {
        todo!()
    }

    /// Decides between another attempt and a final answer, and spends from the
    /// retry budget. Call after [`Self::finish`].
    pub fn after_failure(&mut self, _call: &CallProgress, _end: &AttemptEnd, _now: Millis) -> Next {
        todo!()
    }

    /// How long to wait before a hedge of a first attempt; `None` for never.
    #[must_use]
    pub fn hedge_delay_ms(&self, _call: &CallProgress) -> Option<Millis> {
        todo!()
    }

    /// Spends from the hedge budget; false when it is empty or a hedge would
    /// not help, as when all targets are busy.
    pub fn try_hedge(&mut self, _call: &CallProgress, _now: Millis) -> bool {
        todo!()
    }

    /// Chooses the gate for a new ticket, the same for one key while views
    /// agree and the gate is usable.
    ///
    /// # Errors
    ///
    /// Refuses when no gate whose life is known can take new work.
    pub fn ticket_gate(&mut self, _key: CallKey, _now: Millis) -> Result<TicketGate, Refusal> {
        todo!()
    }

    /// When a refused caller should come back: spread, growing under overload.
    pub fn retry_after_ms(&mut self, _now: Millis) -> Millis {
        todo!()
    }
}
