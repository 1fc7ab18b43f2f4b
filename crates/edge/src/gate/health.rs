//! Probes the target's speed and health, and reads from the list whether it is draining.

use std::sync::Arc;

use hornbeamhitch_dispatch::gate::departure::ListingState;

use super::speed::{self, HealthProbe, HealthReading};
use super::{Gate, GateState};
use crate::prelude::*;

impl Gate {
    /// Probes the target for its speed and wakes the calls that wait for the reading.
    pub(super) async fn read_speed(self: &Arc<Self>) {
        let directory = self.directory.load();
        let routes = directory.routes.as_ref();
        let path = routes.and_then(|routes| routes.health_path(&self.service));
        let has_warm_up = routes.is_some_and(|routes| routes.warm_up(&self.service).is_some());
        let probe = HealthProbe {
            target: &self.target,
            dialect: &*self.dialect,
            path,
            has_warm_up,
        };
        let reading = self.speed.read(&probe, self.clock).await;
        for _ in 0..self.speed.take_probes_sent() {
            self.metrics.probe_sent(self.service.as_str());
        }
        self.note_health();
        let listed = directory.members.at_address(self.listed_address);
        if let (Some(member), Ok(reading)) = (listed, &reading)
            && let Some(statement) = reading.statement()
        {
            self.note_statement(&member.id, &statement);
        }
        let mut state = self.state.lock();
        match reading {
            Ok(reading) => {
                state.admission.note_speed(reading.speed);
                self.note_warm_up(&mut state, &reading);
            }
            Err(speed::TargetDown) => state.admission.note_connection_refused(self.clock.now()),
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Records the target's warm-up and logs when the target becomes cold or warm.
    fn note_warm_up(&self, state: &mut GateState, reading: &HealthReading) {
        let at = reading.speed.read_at;
        let left_ms = reading.report.and_then(|report| report.warm_up_left_ms);
        match state.admission.warm_up().note_report(left_ms, at) {
            Some(true) => {
                let left_ms = left_ms.map(|left_ms| left_ms.0);
                log::info!(left_ms; "the target is warming up");
            }
            Some(false) => log::info!("the target has warmed up"),
            None => {}
        }
    }

    /// Passes on the target's last reported health, which may make a lookup of its entry
    /// due.
    fn note_health(self: &Arc<Self>) {
        let is_unhealthy = self.speed.is_unhealthy();
        self.departure
            .lock()
            .note_health(is_unhealthy, self.clock.now());
        self.look_up_entry_if_due();
    }

    /// Starts a lookup of the target's entry in the background if one is due.
    pub(super) fn look_up_entry_if_due(self: &Arc<Self>) {
        let directory = self.directory.load();
        let Some(member) = directory.members.at_address(self.listed_address) else {
            return;
        };
        if !self.departure.lock().start_lookup_if_due(self.clock.now()) {
            return;
        }
        let gate = Arc::clone(self);
        let id = member.id.clone();
        tokio::spawn(async move { gate.look_up_entry(&id).await });
    }

    /// Checks in the background whether a target that stated that it leaves still does.
    pub(super) fn check_statement_if_due(self: &Arc<Self>) {
        let is_due = self
            .departure
            .lock()
            .start_statement_check_if_due(self.clock.now());
        if is_due {
            let gate = Arc::clone(self);
            tokio::spawn(async move { gate.read_speed().await });
        }
    }

    /// Whether the entry says so, or did so before the store returned from an older copy.
    fn is_draining(&self, entry: &Member) -> bool {
        let directory = self.directory.load();
        let known = directory.members.get(&entry.id);
        entry.draining || known.is_some_and(|known| known.drains_despite(entry))
    }

    async fn look_up_entry(&self, id: &TargetId) {
        let read = self
            .source
            .read_target(id, self.waits.idle_timeout_ms())
            .await;
        let listing_state = match read {
            Ok(Some(member)) if self.is_draining(&member) => ListingState::Draining,
            Ok(Some(_)) => ListingState::Open,
            Ok(None) => ListingState::Unlisted,
            // The previous state stays in force, and the lookup is retried later.
            Err(fault) => {
                log::warn!("reading the listing of the target {id} failed: {fault}");
                return;
            }
        };
        if !self.departure.lock().note_entry(id, listing_state) {
            return;
        }
        let name: &str = listing_state.into();
        log::info!(target_id = id.as_str(), entry = name; "the listing state of the target has changed");
        self.changed.notify_waiters();
    }
}
