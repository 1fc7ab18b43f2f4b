//! The admission level of each service, from the load that its gates report.

use crate::prelude::*;

/// The level of one service at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Number of requests that all targets can run at once, in slots.
    pub room_slots: f64,
    /// Offered work per time by class, in slots.
    pub demand_slots: [f64; LOAD_CLASSES],
    /// Part of the calls that is admitted, by class, from 0 to 1.
    pub admitted: [f64; LOAD_CLASSES],
}

impl Level {
    /// Returns whether calls of this class are refused.
    #[must_use]
    pub fn refuses(&self, class: LoadClass) -> bool {
        self.admitted[class.index()] < 1.0
    }

    /// Returns whether calls of any class are refused.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        LoadClass::all().any(|class| self.refuses(class))
    }
}

/// Reports of gates and the levels that follow from them.
#[derive(Debug, Default)]
pub struct ServiceLevels {}

impl ServiceLevels {
    /// Records a report of the target's gate.
    pub fn note_load(&mut self, _target: &Member, _load: GateLoad, _now: Millis) {}

    /// Counts a call that has entered at this entry, also if it is refused later.
    pub fn note_arrival(
        &mut self,
        _service: &ServiceName,
        _class: LoadClass,
        _work_ms: Millis,
        _now: Millis,
    ) {
    }

    /// Returns the work that has entered for a service since the last report, if a report
    /// is due.
    pub fn take_demand(&mut self, _service: &ServiceName, _now: Millis) -> Option<DemandReport> {
        None
    }

    /// Returns the level of a service with this number of available targets, or `None` if
    /// too few gates have reported recently.
    pub fn level(
        &mut self,
        _service: &ServiceName,
        _targets: usize,
        _now: Millis,
    ) -> Option<Level> {
        None
    }

    /// Decides whether the next call of a class is admitted at this level.
    pub fn admits(&mut self, _service: &ServiceName, _class: LoadClass, _level: &Level) -> bool {
        true
    }

    /// Returns this entry's part of the demand for a service, from 0 to 1.
    #[must_use]
    pub fn own_share(&self, _service: &ServiceName, _level: &Level, _now: Millis) -> f64 {
        0.0
    }

    /// Returns the free capacity that the target's gate has reported recently, in
    /// hundredths of a slot.
    #[must_use]
    pub fn free_centislots(&self, _target: &Member, _now: Millis) -> Option<u32> {
        None
    }

    /// Discards reports of targets that are no longer listed.
    pub fn retain(&mut self, _members: &Members) {}
}
