//! Looking up whether this VM's target leaves.

use std::sync::Arc;

use hornbeamhitch_dispatch::departure::Standing;

use super::Gate;
use crate::prelude::*;

impl Gate {
    /// Takes in what the target last said of its health.
    pub(super) fn note_health(self: &Arc<Self>) {
        let is_unwell = self.speed.is_unwell();
        self.departure
            .lock()
            .note_health(is_unwell, self.clock.now());
        self.look_up_when_due();
    }

    /// Looks the target's entry up, beside the calls, when that is due.
    pub(super) fn look_up_when_due(self: &Arc<Self>) {
        let directory = self.directory.load();
        let Some(member) = directory.members.at(self.listed_address) else {
            return;
        };
        if !self.departure.lock().take_look_up(self.clock.now()) {
            return;
        }
        let gate = Arc::clone(self);
        let id = member.id.clone();
        tokio::spawn(async move { gate.look_up(&id).await });
    }

    async fn look_up(&self, id: &TargetId) {
        let read = self.source.read_target(id, self.waits.silence_ms()).await;
        let standing = match read {
            Ok(Some(member)) if member.draining => Standing::Draining,
            Ok(Some(_)) => Standing::Open,
            Ok(None) => Standing::Unlisted,
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
