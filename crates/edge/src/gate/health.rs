//! Asking the target for its speed and its health, and the list whether it leaves.

use std::sync::Arc;

use hornbeamhitch_dispatch::departure::ListingState;

use super::{Gate, speed};
use crate::prelude::*;

impl Gate {
    /// Asks the target; those who wait for its speed are told.
    pub(super) async fn read_speed(self: &Arc<Self>) {
        let directory = self.directory.load();
        let routes = directory.routes.as_ref();
        let path = routes.and_then(|routes| routes.health_path(&self.service));
        let reading = self
            .speed
            .read(&self.target, &*self.dialect, path, self.clock);
        let reading = reading.await;
        for _ in 0..self.speed.take_sent() {
            self.metrics.probe_sent(self.service.as_str());
        }
        self.note_health();
        let mut state = self.state.lock();
        match reading {
            Ok(reading) => state.admission.note_speed(reading),
            Err(speed::TargetDown) => state.admission.note_connection_refused(self.clock.now()),
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Takes in what the target last said of its health.
    fn note_health(self: &Arc<Self>) {
        let is_unwell = self.speed.is_unwell();
        self.departure
            .lock()
            .note_health(is_unwell, self.clock.now());
        self.look_up_when_due();
    }

    /// Looks the target's entry up, beside the calls, when that is due.
    pub(super) fn look_up_when_due(self: &Arc<Self>) {
        let directory = self.directory.load();
        let Some(member) = directory.members.at_address(self.listed_address) else {
            return;
        };
        if !self.departure.lock().start_lookup_if_due(self.clock.now()) {
            return;
        }
        let gate = Arc::clone(self);
        let id = member.id.clone();
        tokio::spawn(async move { gate.look_up(&id).await });
    }

    async fn look_up(&self, id: &TargetId) {
        let read = self
            .source
            .read_target(id, self.waits.idle_timeout_ms())
            .await;
        let standing = match read {
            Ok(Some(member)) if member.draining => ListingState::Draining,
            Ok(Some(_)) => ListingState::Open,
            Ok(None) => ListingState::Unlisted,
            // What the list said is still there, and it is asked again.
            Err(fault) => {
                log::warn!("the entry of the target {id} cannot be read: {fault}");
                return;
            }
        };
        if !self.departure.lock().note_entry(id, standing) {
            return;
        }
        let name: &str = standing.into();
        log::info!(target_id = id.as_str(), entry = name; "whether the target gets work has changed");
        self.changed.notify_waiters();
    }
}
