//! Guards that release a call's slot in the target and its position in the queue.

use hornbeamhitch_dispatch::gate::admission::QueuePosition;

use parking_lot::Mutex;

use super::Gate;

/// How far the sending of a request to the target has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendState {
    /// Nothing has been written.
    Admitted,
    /// Some of the request may have been written.
    Sending,
    /// The whole request was written.
    Sent,
}

/// Frees the slot of a call when dropped, however its run ended.
pub(super) struct SlotGuard<'a> {
    gate: &'a Gate,
    send_state: Mutex<SendState>,
}

impl<'a> SlotGuard<'a> {
    /// Guards the slot of a call that was admitted and is not sent yet.
    pub(super) const fn new(gate: &'a Gate) -> Self {
        Self {
            gate,
            send_state: Mutex::new(SendState::Admitted),
        }
    }

    /// Records that the request may reach the target from now on.
    pub(super) fn begin_sending(&self) {
        *self.send_state.lock() = SendState::Sending;
    }

    /// Records that the request was not sent after all.
    pub(super) fn cancel_sending(&self) {
        *self.send_state.lock() = SendState::Admitted;
    }

    /// Records that the whole request was written just now. The process may have been
    /// suspended while it was written, so an earlier time would not do.
    pub(super) fn note_sent(&self) {
        let before = std::mem::replace(&mut *self.send_state.lock(), SendState::Sent);
        if before != SendState::Sent {
            let now = self.gate.clock.now();
            self.gate.state.lock().admission.note_sent(now);
        }
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let send_state = *self.send_state.lock();
        if send_state == SendState::Sending {
            self.note_sent();
        }
        let mut state = self.gate.state.lock();
        match send_state {
            SendState::Admitted => state.admission.withdraw(),
            SendState::Sending | SendState::Sent => state.admission.finish(),
        }
        state.note_running(self.gate.clock.now());
        drop(state);
        self.gate.changed.notify_waiters();
    }
}

/// Removes a call from the queue when dropped, unless the call has started.
pub(super) struct QueueGuard<'a> {
    pub(super) gate: &'a Gate,
    pub(super) position: Option<QueuePosition>,
}

impl QueueGuard<'_> {
    /// Moves the call from the queue to the running calls.
    pub(super) fn start(&mut self) {
        if let Some(position) = self.position.take() {
            let now = self.gate.clock.now();
            self.gate.state.lock().start(position, now);
        }
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let Some(position) = self.position.take() else {
            return;
        };
        self.gate.state.lock().admission.dequeue(position);
        self.gate.changed.notify_waiters();
    }
}
