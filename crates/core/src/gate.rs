//! The gate's side of a call: admission, the queue, records of tickets.

use std::sync::Arc;

use crate::prelude::*;

/// What a gate knows about itself.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// The VM this gate stands on.
    pub vm: VmId,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Seed of the generator that spreads `Retry-After`.
    pub seed: u64,
    /// Bytes of stored answers that all records may hold together.
    pub max_stored_bytes: u64,
}

/// One call that a gate has admitted, until it is finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// An answer kept with a record, to be replayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status of the target.
    pub status: u16,
    /// Headers in the order in which they came.
    pub headers: Vec<StoredHeader>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// One header of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHeader {
    /// Name in lower case.
    pub name: String,
    /// Value as it came.
    pub value: Vec<u8>,
}

/// A call at the gate. Ticketed calls arrive with their whole body in hand.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Rank in the queue.
    pub class: CallClass,
    /// When the call must have ended, in the gate's clock.
    pub deadline_at: Millis,
    /// The ticket of a non-idempotent call.
    pub ticket: Option<&'a Ticket>,
    /// Hash of method, path and body of a ticketed call.
    pub digest: u64,
    /// Fingerprint for crash suspicion.
    pub fingerprint: u64,
}

/// What the gate does with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to the target now.
    Run(RunId),
    /// Hold it until a [`Wake`] names it.
    Wait(RunId),
    /// Another arrival of the same key is waiting or running; wait for its
    /// [`Wake::Settled`].
    Join(RunId),
    /// Answer from the record.
    Replay(Arc<StoredAnswer>),
    /// Answer at once.
    Refuse(Refusal),
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The target answered in full. The answer is `None` when the call had no
    /// ticket or its answer was too large to keep.
    Answered {
        /// The answer to keep.
        answer: Option<Arc<StoredAnswer>>,
        /// Whether the status was 5xx.
        failed: bool,
    },
    /// The target stated that it did not run the request.
    NotRun,
    /// No connection to the target could be had: the request did not run.
    Unreachable,
    /// The connection broke after the request was sent.
    Broken,
    /// The deadline passed, or the caller left, and the run was cancelled.
    Cancelled,
}

/// What becomes of calls that were held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wake {
    /// Send the call to the target now.
    Start(RunId),
    /// Refuse the held call.
    Refuse(RunId, Refusal),
    /// The run that others joined has ended in this way.
    Settled(RunId, Settlement),
}

/// What is known about a key for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// It ran; here is its answer.
    Answered(Arc<StoredAnswer>),
    /// It ends with this code: not run, or outcome unknown.
    Refused(Refusal),
}

/// What a gate says when asked about a key; asking fences a key not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceAnswer {
    /// Settled, now or before.
    Settled(Settlement),
    /// Running; a [`Wake::Settled`] will follow for this run.
    Running(RunId),
}

/// One gate with its target.
#[derive(Debug)]
pub struct Gate {
    _settings: GateSettings,
}

impl Gate {
    /// A gate without calls; it admits once a policy is known.
    #[must_use]
    pub fn new(settings: GateSettings, _policy: Arc<ServicePolicy>, _now: Millis) -> Self {
        Self {
            _settings: settings,
        }
    }

    /// Takes over a changed policy; calls in hand are not touched.
    pub fn update(&mut self, _policy: Arc<ServicePolicy>, _now: Millis) {
        todo!()
    }

    /// Takes over the requests suspected by the fleet.
    pub fn update_suspects(&mut self, _suspects: Arc<crate::suspects::SuspectSet>) {
        todo!()
    }

    /// Decides about a call that has arrived.
    pub fn arrive(&mut self, _arrival: &Arrival<'_>, _now: Millis) -> Verdict {
        todo!()
    }

    /// Ends a run. Exactly once for each run that was started.
    pub fn finish(
        &mut self,
        _run: RunId,
        _end: RunEnd,
        _service_time_us: u32,
        _now: Millis,
    ) -> Vec<Wake> {
        todo!()
    }

    /// The caller of a held call has left before it was started.
    pub fn abandon(&mut self, _run: RunId, _now: Millis) -> Vec<Wake> {
        todo!()
    }

    /// Refuses held calls whose deadline cannot be met; forgets expired records.
    pub fn tick(&mut self, _now: Millis) -> Vec<Wake> {
        todo!()
    }

    /// Settles a key as far as it can be settled; see [`FenceAnswer`].
    pub fn fence(&mut self, _ticket: &Ticket, _now: Millis) -> FenceAnswer {
        todo!()
    }

    /// The report that rides on answers and control messages.
    #[must_use]
    pub fn load(&self, _now: Millis) -> LoadReport {
        todo!()
    }

    /// From now on (or no longer) refuses new work; what is held or running
    /// is finished.
    pub fn set_leaving(&mut self, _leaving: bool) {
        todo!()
    }

    /// Calls held or running; a graceful shutdown ends at zero.
    #[must_use]
    pub fn in_hand(&self) -> usize {
        todo!()
    }
}
