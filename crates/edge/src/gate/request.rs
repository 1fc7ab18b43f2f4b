//! Calls that are submitted to a gate, and the events that it reports.

use bytes::Bytes;
use tokio::sync::{oneshot, watch};

use crate::prelude::*;
use crate::resources::Charge;

/// A call that is submitted to the gate.
#[derive(Debug)]
pub struct GateRequest {
    /// Terms on which admission is decided.
    pub terms: CallTerms,
    /// The request to run.
    pub content: CallContent,
}

/// The request for the target, as far as the gate has received it.
#[derive(Debug)]
pub enum CallContent {
    /// Head and body are available.
    Whole(WholeCall),
    /// Head and body follow after [`GateEvent::WantsContent`].
    Deferred(DeferredCall),
}

/// A request whose head or body follows.
pub struct DeferredCall {
    /// Length of the body.
    pub body_bytes: u64,
    /// Permits the content to arrive, with the memory of a long body.
    pub permit: Box<dyn FnOnce(Option<Charge>) + Send>,
    /// Receives the content.
    pub whole: oneshot::Receiver<WholeCall>,
}

impl std::fmt::Debug for DeferredCall {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DeferredCall")
            .field("body_bytes", &self.body_bytes)
            .finish_non_exhaustive()
    }
}

/// A request with its complete body.
#[derive(Debug)]
pub struct WholeCall {
    /// Head of the request.
    pub head: CallHead,
    /// Body of the request.
    pub body: Bytes,
}

/// An event of a call, reported to the entry.
#[derive(Clone, Debug)]
pub enum GateEvent {
    /// The call has a slot, and the gate needs its deferred content.
    WantsContent,
    /// The call was sent to the target.
    Started {
        /// Slowness of the target just before, in percent of its usual run time.
        slowness_percent: u32,
    },
    /// The target's complete answer. No further event follows.
    Answered {
        /// Head of the answer.
        head: AnswerHead,
        /// Body of the answer.
        body: Bytes,
    },
    /// The call ended without an answer. No further event follows.
    Ended(CallEnd),
    /// The call has arrived and waits for a decision.
    Received,
    /// Load of the gate's target.
    Load(GateLoad),
}

impl GateEvent {
    /// Whether this is the last event of its call.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        matches!(self, Self::Answered { .. } | Self::Ended(_))
    }
}

/// Receives the events of one call.
pub type EventSink = Box<dyn Fn(GateEvent) + Send + Sync>;

/// Cancels a call when dropped. A non-idempotent call that has started runs to
/// completion.
#[derive(Debug)]
pub struct CallGuard(
    #[expect(dead_code, reason = "its drop is the signal")] pub(super) watch::Sender<()>,
);
