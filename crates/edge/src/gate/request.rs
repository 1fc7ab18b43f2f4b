//! What a gate is asked, and what it tells.

use bytes::Bytes;
use tokio::sync::{oneshot, watch};

use crate::prelude::*;

/// A call as it reaches the gate.
#[derive(Debug)]
pub struct GateRequest {
    /// What to decide by.
    pub terms: CallTerms,
    /// What to run.
    pub content: CallContent,
}

/// What a target is to be sent, at the gate.
#[derive(Debug)]
pub enum CallContent {
    /// In hand.
    Whole(WholeCall),
    /// Comes once [`GateEvent::WantsContent`] was told.
    Later(oneshot::Receiver<WholeCall>),
}

/// A request with its whole body.
#[derive(Debug)]
pub struct WholeCall {
    /// The request.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
}

/// What becomes of a call, told to the entry.
#[derive(Clone, Debug)]
pub enum GateEvent {
    /// It has a slot, and what was kept back of it is wanted.
    WantsContent,
    /// It was sent to the target.
    Started {
        /// Time that work took there just before, in percent of the usual.
        slowness_percent: u32,
    },
    /// The target's whole answer. Nothing follows.
    Answered {
        /// Its head.
        head: AnswerHead,
        /// Its body.
        body: Bytes,
    },
    /// It ended without an answer. Nothing follows.
    Ended(CallEnd),
}

impl GateEvent {
    /// Whether nothing follows.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        matches!(self, Self::Answered { .. } | Self::Ended(_))
    }
}

/// Takes the events of one call.
pub type EventSink = Box<dyn Fn(GateEvent) + Send + Sync>;

/// Keeps a call wanted; dropped, the call is cancelled. One that may run only
/// once and has started goes on.
#[derive(Debug)]
pub struct Wanted(
    #[expect(dead_code, reason = "its drop is the signal")] pub(super) watch::Sender<()>,
);
