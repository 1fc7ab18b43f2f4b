//! The work that enters at this entry for one service.

use crate::prelude::*;

/// Interval between two reports.
const REPORT_INTERVAL_MS: Millis = Millis(50);
/// Time to which the work of a report is limited. Gates average over this time, and work that
/// came earlier would count twice as much as it was.
const MAX_SPAN_MS: f64 = 500.0;
/// Time over which the recent rate is averaged.
const RECENT_MS: f64 = 500.0;

/// Work that has entered, in milliseconds of run time at usual speed.
#[derive(Debug, Default)]
pub(super) struct OwnDemand {
    unreported_ms: [f64; LOAD_CLASSES],
    /// When the last report was taken, or when the first call entered.
    reported_at: Option<Millis>,
    has_reported: bool,
    /// Decayed sum of all classes.
    recent_ms: f64,
    updated_at: Millis,
}

impl OwnDemand {
    pub(super) fn add(&mut self, class: LoadClass, work_ms: Millis, now: Millis) {
        self.reported_at.get_or_insert(now);
        self.unreported_ms[class.index()] += work_ms.0 as f64;
        self.recent_ms = self.decayed_ms(now) + work_ms.0 as f64;
        self.updated_at = now;
    }

    /// Returns the work since the last report, if a report is due and there is work.
    pub(super) fn take_report(&mut self, now: Millis) -> Option<DemandReport> {
        let span_ms = now.since(self.reported_at?);
        if self.has_reported && span_ms < REPORT_INTERVAL_MS {
            return None;
        }
        if self.unreported_ms.iter().sum::<f64>() <= 0.0 {
            return None;
        }
        let part = (MAX_SPAN_MS / span_ms.0.max(1) as f64).min(1.0);
        let unreported_ms = std::mem::take(&mut self.unreported_ms);
        self.reported_at = Some(now);
        self.has_reported = true;
        Some(DemandReport {
            work_ms: unreported_ms.map(|work_ms| (work_ms * part).round() as u32),
        })
    }

    /// Returns the recent work per time, in slots.
    pub(super) fn recent_slots(&self, now: Millis) -> f64 {
        self.decayed_ms(now) / RECENT_MS
    }

    fn decayed_ms(&self, now: Millis) -> f64 {
        let age = now.since(self.updated_at).0 as f64 / RECENT_MS;
        self.recent_ms * (-age).exp()
    }
}
