//! Places that a call holds at a gate: in line, and in the target.

use hornbeamhitch_dispatch::admission::QueuePosition;

use super::Gate;

/// Frees a slot when a run has ended, in whatever way.
pub(super) struct Slot<'a>(pub(super) &'a Gate);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.state.lock().admission.finish();
        self.0.changed.notify_waiters();
    }
}

/// Takes a call out of the line when its caller leaves.
pub(super) struct InLine<'a> {
    pub(super) gate: &'a Gate,
    pub(super) place: Option<QueuePosition>,
}

impl InLine<'_> {
    pub(super) fn start(&mut self) {
        if let Some(place) = self.place.take() {
            self.gate.state.lock().admission.start(place);
        }
    }
}

impl Drop for InLine<'_> {
    fn drop(&mut self) {
        let Some(place) = self.place.take() else {
            return;
        };
        self.gate.state.lock().admission.dequeue(place);
        self.gate.changed.notify_waiters();
    }
}
