//! Deducts retries that pass the level of a service from what the level admits.

use std::collections::HashMap;

use super::service_level::Level;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Maximum number of runs that are owed, so that an error of the level does not keep new
/// calls out for long.
const MAX_OWED_RUNS: f64 = 8.0;

/// Work that was admitted beyond the level, by service, in milliseconds.
///
/// The level admits a part of all calls that enter. Retries at their reserved time count
/// among these calls but are admitted whole, so the rest of each is taken from new calls of
/// the class in which the capacity ends. Otherwise more work is admitted than the capacity.
#[derive(Debug, Default)]
pub struct SetAside {
    owed_ms: HashMap<ServiceName, f64>,
}

impl SetAside {
    /// Records that a retry at its reserved time is admitted.
    pub fn note_return(
        &mut self,
        service: &ServiceName,
        class: LoadClass,
        work_ms: Millis,
        level: &Level,
    ) {
        let work_ms = work_ms.0 as f64;
        let refused_part = 1.0 - level.admitted[class.index()].clamp(0.0, 1.0);
        let owed_ms = self.owed_ms.entry(service.clone()).or_default();
        // A short run does not reduce what is owed for long ones.
        let max_owed_ms = (MAX_OWED_RUNS * work_ms).max(*owed_ms);
        *owed_ms = (*owed_ms + work_ms * refused_part).min(max_owed_ms);
    }

    /// Returns whether a new call that the level admits must be refused instead, because
    /// its capacity went to retries.
    pub fn claims(
        &mut self,
        service: &ServiceName,
        class: LoadClass,
        work_ms: Millis,
        level: &Level,
    ) -> bool {
        if !level.refuses(class) {
            return false;
        }
        let Some(owed_ms) = self.owed_ms.get_mut(service) else {
            return false;
        };
        let work_ms = work_ms.0.max(1) as f64;
        if *owed_ms < work_ms {
            return false;
        }
        *owed_ms -= work_ms;
        true
    }

    /// Discards what is owed at a service that refuses no calls now.
    pub fn forget(&mut self, service: &ServiceName) {
        self.owed_ms.remove(service);
    }
}
