//! Logs and gauges of the admission levels.

use hornbeamhitch_dispatch::overload::service_level::{Level, LevelChange};
use hornbeamhitch_node::metrics::ServiceLevel;

use super::Entry;
use crate::prelude::*;

impl Entry {
    /// Updates the gauges of the services that calls have entered for.
    pub fn refresh_gauges(&self) {
        self.refresh_reservations();
        let now = self.now();
        let levels = self.state.lock().admission.current_levels(now);
        for (service, level) in levels {
            let gauges = level.as_ref().map_or_else(ServiceLevel::default, gauges_of);
            self.metrics.service_level(service.as_str(), &gauges);
        }
    }
}

fn gauges_of(level: &Level) -> ServiceLevel {
    ServiceLevel {
        room_slots: level.room_slots,
        demand_slots: level.demand_slots.iter().sum(),
        admitted: level.admitted,
    }
}

/// Logs that the level of a service has begun, ended or changed.
pub(super) fn log_change(service: &ServiceName, change: &LevelChange) {
    let service = service.as_str();
    let kind = change.kind();
    let admitted = by_class(&change.admitted);
    let Some(inputs) = &change.inputs else {
        log::info!(service, admitted; "the admission level {kind}: too few gates have reported");
        return;
    };
    let room_slots = inputs.room_slots;
    let demand_slots = by_class(&inputs.demand_slots);
    let reports = inputs.reports;
    let mean_age_ms = inputs.mean_age_ms.0;
    let max_age_ms = inputs.max_age_ms.0;
    log::info!(
        service, admitted, room_slots, demand_slots, reports, mean_age_ms, max_age_ms;
        "the admission level {kind}"
    );
}

/// Returns the values of all classes, the most urgent one first.
fn by_class(values: &[f64; LOAD_CLASSES]) -> String {
    values.map(|value| format!("{value:.2}")).join(" ")
}
