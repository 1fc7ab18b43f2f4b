//! Guards that release a call's slot in the target and its position in the queue.

use hornbeamhitch_dispatch::admission::QueuePosition;

use super::Gate;

/// Frees the slot of a call when dropped, however its run ended.
pub(super) struct SlotGuard<'a>(pub(super) &'a Gate);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.state.lock().admission.finish();
        self.0.changed.notify_waiters();
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
            self.gate.state.lock().admission.start(position);
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
