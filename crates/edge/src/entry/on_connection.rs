//! The place of a call among the open calls of its connection.

use hornbeamhitch_dispatch::overload::urgency::{CallNumber, OpenCalls, Urgency};
use tokio::sync::watch;

/// The calls of one connection that have not ended.
#[derive(Debug, Default)]
pub struct ConnectionCalls {
    calls: watch::Sender<OpenCalls>,
}

impl ConnectionCalls {
    /// Adds the call of a request that was just read.
    #[must_use]
    pub fn open(&self) -> ConnectionCall {
        let mut number = None;
        self.calls.send_if_modified(|calls| {
            number = Some(calls.open());
            false
        });
        ConnectionCall {
            number: number.expect("the closure was called"),
            raised: self.calls.subscribe(),
            calls: self.calls.clone(),
        }
    }
}

/// One call of a connection; dropping it means that the call has ended.
#[derive(Debug)]
pub struct ConnectionCall {
    number: CallNumber,
    calls: watch::Sender<OpenCalls>,
    /// Notified when some call of the connection inherits a higher urgency.
    raised: watch::Receiver<OpenCalls>,
}

impl ConnectionCall {
    /// Whether the answer to this call waits for others.
    pub(super) fn waits(&self) -> bool {
        self.calls.borrow().waits(self.number)
    }

    /// Passes the urgency of this call to those before it.
    pub(super) fn raise_before(&self, urgency: Urgency) {
        self.calls
            .send_if_modified(|calls| calls.raise_before(self.number, urgency));
    }

    /// Returns the urgency that this call has inherited.
    pub(super) fn inherited(&mut self) -> Option<Urgency> {
        self.raised.borrow_and_update().inherited(self.number)
    }

    /// Waits until some call of the connection has inherited a higher urgency since the
    /// last call of [`Self::inherited`].
    pub(super) async fn raised(&mut self) {
        let changed = self.raised.changed().await;
        changed.expect("this call holds a sender");
    }
}

impl Drop for ConnectionCall {
    fn drop(&mut self) {
        self.calls.send_if_modified(|calls| {
            calls.close(self.number);
            false
        });
    }
}
