//! Measures the load of the target and reports it to entries.

use std::sync::Arc;

use hornbeamhitch_dispatch::gate::admission::{GateCall, QueuePosition, Verdict};
use parking_lot::Mutex;

use super::{Gate, GateEvent, GateState};
use crate::prelude::*;

/// Interval between two reports on one link.
const REPORT_INTERVAL_MS: Millis = Millis(20);
/// Time after its last report of demand for which an entry gets reports of the load. An entry
/// sends a report of demand on each link more often while the part is in force there.
const DEMAND_TTL_MS: Millis = Millis::from_secs(10);

impl GateState {
    /// Decides what to do with a queued call, and measures what it lacks.
    pub(super) fn decide(
        &mut self,
        position: QueuePosition,
        call: &GateCall,
        now: Millis,
    ) -> Verdict {
        let verdict = self.admission.decide(position, call, now);
        if let Some(lack) = self.admission.lack_of(verdict, now) {
            self.room.note_refused(lack, now);
        }
        verdict
    }

    /// Removes a call from the queue and counts it as running.
    pub(super) fn start(&mut self, position: QueuePosition, now: Millis) {
        self.admission.start(position);
        let (running, limit) = (self.admission.in_flight(), self.admission.limit());
        self.room.note_started(running, limit, now);
    }

    /// Measures that a call no longer runs.
    pub(super) fn note_running(&mut self, now: Millis) {
        let (running, limit) = (self.admission.in_flight(), self.admission.limit());
        self.room.note_running(running, limit, now);
    }
}

impl Gate {
    /// Returns the load of the target, or `None` while too little is known.
    fn load(&self, now: Millis) -> Option<GateLoad> {
        let has_left = self.target_has_left();
        let mut state = self.state.lock();
        let mut bounds = state.admission.bounds(now);
        bounds.accepts_work &= !has_left;
        state.room.load(&bounds, now)
    }

    /// Whether the target is listed and gets no new work.
    fn target_has_left(&self) -> bool {
        let directory = self.directory.load();
        let members = &directory.members;
        let Some(member) = members.at_address(self.listed_address) else {
            return false;
        };
        member.draining
            || members.is_evacuated(member)
            || self.departure.lock().has_left(&member.id)
    }
}

/// Reports of a gate's load to one entry, which has asked for them by a report of demand.
#[derive(Debug)]
pub struct LoadReports {
    gate: Arc<Gate>,
    times: Mutex<ReportTimes>,
}

#[derive(Debug, Default)]
struct ReportTimes {
    /// When the entry last reported demand.
    demand_at: Option<Millis>,
    /// When the load was last reported.
    reported_at: Option<Millis>,
}

impl LoadReports {
    /// Creates the reports to an entry that has reported no demand yet.
    #[must_use]
    pub fn new(gate: Arc<Gate>) -> Self {
        Self {
            gate,
            times: Mutex::default(),
        }
    }

    /// Records the demand that the entry reports.
    pub fn note_demand(&self, report: &DemandReport) {
        let now = self.gate.clock.now();
        self.times.lock().demand_at = Some(now);
        self.gate.state.lock().room.note_demand(report, now);
    }

    /// Returns the load to report before an event of a call, if a report is due.
    pub fn due_before(&self, event: &GateEvent) -> Option<GateLoad> {
        if !matches!(event, GateEvent::Started { .. } | GateEvent::Ended(_)) {
            return None;
        }
        let now = self.gate.clock.now();
        let mut times = self.times.lock();
        if times
            .demand_at
            .is_none_or(|at| now.since(at) >= DEMAND_TTL_MS)
        {
            return None;
        }
        if times
            .reported_at
            .is_some_and(|at| now.since(at) < REPORT_INTERVAL_MS)
        {
            return None;
        }
        let load = self.gate.load(now)?;
        times.reported_at = Some(now);
        Some(load)
    }
}
