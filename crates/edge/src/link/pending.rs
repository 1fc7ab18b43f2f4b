//! Requests to gates that are not yet answered.

use std::net::IpAddr;
use std::sync::Arc;

use hornbeamhitch_wire::link::CallId;
use parking_lot::Mutex;
use tokio::task::AbortHandle;

use super::client::{Link, LinkRequest, LinkSink};
use super::slot::LinkSlot;
use crate::prelude::*;
use crate::silence::Silence;

/// How far a request has come.
#[derive(Debug, Default)]
enum SendState {
    /// Nothing was sent.
    #[default]
    Unsent,
    /// It was sent on this link.
    Sent(Arc<Link>, CallId),
    /// Nothing was sent, and nothing will be.
    Cancelled,
}

/// The state of a request, shared with the task that sends it.
///
/// The task sends while it holds the lock, so that a request that was cancelled unsent is
/// never sent.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedSendState(Arc<Mutex<SendState>>);

impl SharedSendState {
    /// Sends a request, unless it was cancelled.
    pub(super) fn send(&self, link: Arc<Link>, request: LinkRequest, sink: LinkSink) {
        let mut state = self.0.lock();
        if matches!(*state, SendState::Cancelled) {
            return;
        }
        let id = link.send(request, sink);
        *state = SendState::Sent(link, id);
    }
}

/// Result of withdrawing an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// A frame for the attempt has arrived, so it was not withdrawn. Its event follows.
    Confirmed,
    /// The attempt was withdrawn. It never runs.
    Withdrawn,
    /// The content was sent, so the attempt may run and was not withdrawn.
    ContentSent,
}

/// Handle of a request to a gate. Dropping it cancels the request.
#[derive(Debug)]
pub struct PendingRequest {
    pub(super) task: AbortHandle,
    pub(super) state: SharedSendState,
    pub(super) vm: IpAddr,
    pub(super) slot: Arc<LinkSlot>,
    pub(super) silence: Arc<Silence>,
}

impl PendingRequest {
    /// Returns the time within which the gate must confirm an attempt.
    #[must_use]
    pub fn confirmation_timeout_ms(&self) -> Millis {
        self.slot.confirmation_timeout_ms()
    }

    /// Whether the gate may have received the content of the request.
    #[must_use]
    pub fn has_sent_content(&self) -> bool {
        match &*self.state.0.lock() {
            SendState::Unsent | SendState::Cancelled => false,
            SendState::Sent(link, id) => link.has_sent_content(*id),
        }
    }

    /// Withdraws the attempt, unless its gate has confirmed it or its content was sent.
    pub fn withdraw(&self) -> Withdrawal {
        let mut state = self.state.0.lock();
        match &*state {
            SendState::Sent(link, id) if link.has_sent_content(*id) => Withdrawal::ContentSent,
            SendState::Sent(link, id) => link.withdraw(*id),
            SendState::Unsent | SendState::Cancelled => {
                *state = SendState::Cancelled;
                Withdrawal::Withdrawn
            }
        }
    }

    /// Records that the gate's VM is silent, unless a frame has arrived since the attempt was
    /// started. Returns whether it is silent.
    pub fn observe_silence(&self, started_at: Millis) -> bool {
        let state = self.state.0.lock();
        if let SendState::Sent(link, _) = &*state {
            return link.observe_silence(started_at);
        }
        self.silence
            .observe(self.vm, &self.slot.last_frame, started_at)
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.task.abort();
        let state = std::mem::replace(&mut *self.state.0.lock(), SendState::Cancelled);
        if let SendState::Sent(link, id) = state {
            link.cancel(id);
        }
    }
}
