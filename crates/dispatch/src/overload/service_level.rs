//! The admission level of each service, from the load that its gates report.
//!
//! All gates report their room and the demand that entries have reported to them. Demand above the
//! room begins a level: the classes are admitted in their order until the room is used up.
//! Sampling errors must not begin one, so the demand has to exceed the room by more than the
//! error of a mean of that many reports, and for some time. Once a level has begun, it follows
//! the quotient of room and demand until all classes are admitted again.

mod own_demand;
mod reports;

use std::collections::HashMap;

use crate::prelude::*;
use own_demand::OwnDemand;
pub use reports::Inputs;
use reports::Reports;

#[cfg(test)]
mod tests;

/// Part of the room by which the demand must exceed it before calls are refused, if all
/// targets have reported. Errors of the expected run times are smaller.
const BEGIN_MARGIN: f64 = 0.1;
/// Two standard deviations of the demand that a single gate reports, relative to the mean.
/// An entry reports to one gate at a time, so that a gate receives some dozen reports in its
/// windows.
const REPORT_ERROR: f64 = 0.6;
/// Time for which the demand must exceed the room before calls are refused.
const BEGIN_AFTER_MS: Millis = Millis(300);
/// Time without a call after which the demand must exceed the room for that long again. The
/// process may have been paused, and what it reads then is old.
const MAX_CALL_GAP_MS: Millis = Millis(600);
/// Part of the room that is admitted beyond it. Some admitted calls find no free gate in the
/// few attempts that they have; without a surplus, their slots would stay idle.
const SURPLUS: f64 = 0.06;
/// Time constant of the admitted part downwards.
const DOWN_MS: f64 = 100.0;
/// Time constant of the admitted part upwards.
const UP_MS: f64 = 300.0;
/// Upper bound of the quotient of room and demand that the admitted part moves towards. It
/// exceeds 1, so that the admitted part reaches 1.
const MAX_QUOTIENT: f64 = 2.0;
/// Gain of the part of the quotient above 1, so that little free capacity suffices to admit all
/// calls soon.
const EXCESS_GAIN: f64 = 8.0;
/// Time between two reported changes of a service's level.
const CHANGE_INTERVAL_MS: Millis = Millis(1_000);
/// Change of an admitted part that is reported.
const REPORTED_CHANGE: f64 = 0.1;

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

impl LevelChange {
    /// Returns what the change is, in words.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        let admits_all = |admitted: &[f64]| admitted.iter().all(|admitted| *admitted >= 1.0);
        match (admits_all(&self.before), admits_all(&self.admitted)) {
            (true, _) => "begins",
            (_, true) => "ends",
            (false, false) => "has changed",
        }
    }
}

/// A change of a service's level, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelChange {
    /// Part of the calls that was admitted at the last reported change, by class.
    pub before: [f64; LOAD_CLASSES],
    /// Part of the calls that is admitted now, by class.
    pub admitted: [f64; LOAD_CLASSES],
    /// What it was determined from, or `None` if too few gates have reported.
    pub inputs: Option<Inputs>,
}

/// Reports of gates and the levels that follow from them.
#[derive(Debug, Default)]
pub struct ServiceLevels {
    by_service: HashMap<ServiceName, ServiceState>,
}

impl ServiceLevels {
    /// Records a report of the target's gate.
    pub fn note_load(&mut self, target: &Member, load: GateLoad, now: Millis) {
        let state = self.state(&target.service);
        state.reports.note(target, load, now);
    }

    /// Replaces the targets of a service that take new work.
    pub fn note_targets(&mut self, service: &ServiceName, available: &[std::sync::Arc<Member>]) {
        self.state(service).reports.note_targets(available);
    }

    /// Counts a call that has entered at this entry, also if it is refused later.
    pub fn note_arrival(
        &mut self,
        service: &ServiceName,
        class: LoadClass,
        work_ms: Millis,
        now: Millis,
    ) {
        self.state(service).demand.add(class, work_ms, now);
    }

    /// Returns the work that has entered for a service since the last report, if a report
    /// is due.
    pub fn take_demand(&mut self, service: &ServiceName, now: Millis) -> Option<DemandReport> {
        self.by_service.get_mut(service)?.demand.take_report(now)
    }

    /// Returns the level of a service with this number of available targets, or `None` if
    /// too few gates have reported recently.
    pub fn level(&mut self, service: &ServiceName, targets: usize, now: Millis) -> Option<Level> {
        self.by_service.get_mut(service)?.level(targets, now)
    }

    /// Returns the level of each service that was last determined.
    pub fn levels(&mut self, now: Millis) -> impl Iterator<Item = (&ServiceName, Option<Level>)> {
        self.by_service.iter_mut().map(move |(service, state)| {
            let targets = state.targets;
            (service, state.level(targets, now))
        })
    }

    /// Returns a change of the service's level that is to be logged.
    pub fn take_change(&mut self, service: &ServiceName, now: Millis) -> Option<LevelChange> {
        self.by_service.get_mut(service)?.take_change(now)
    }

    /// Decides whether the next call of a class is admitted at this level.
    ///
    /// The admitted parts are added up and a call is admitted for each whole one, so that the
    /// calls are spread evenly.
    pub fn admits(&mut self, service: &ServiceName, class: LoadClass, level: &Level) -> bool {
        if !level.refuses(class) {
            return true;
        }
        let Some(state) = self.by_service.get_mut(service) else {
            return true;
        };
        let sum = &mut state.admitted_sums[class.index()];
        *sum += level.admitted[class.index()];
        if *sum < 1.0 {
            return false;
        }
        *sum -= 1.0;
        true
    }

    /// Returns this entry's part of the demand for a service, from 0 to 1.
    #[must_use]
    pub fn own_share(&self, service: &ServiceName, level: &Level, now: Millis) -> f64 {
        let Some(state) = self.by_service.get(service) else {
            return 0.0;
        };
        let demand_slots: f64 = level.demand_slots.iter().sum();
        if demand_slots <= 0.0 {
            return 0.0;
        }
        (state.demand.recent_slots(now) / demand_slots).min(1.0)
    }

    /// Returns the free capacity that the target's gate has reported recently, in
    /// hundredths of a slot.
    #[must_use]
    pub fn free_centislots(&self, target: &Member, now: Millis) -> Option<u32> {
        let state = self.by_service.get(&target.service)?;
        state.reports.free_centislots(target, now)
    }

    /// Discards reports of targets that are no longer listed.
    pub fn retain(&mut self, members: &Members) {
        for state in self.by_service.values_mut() {
            state.reports.retain(members);
        }
    }

    fn state(&mut self, service: &ServiceName) -> &mut ServiceState {
        self.by_service.entry(service.clone()).or_default()
    }
}

/// What an entry knows of one service.
#[derive(Debug)]
struct ServiceState {
    reports: Reports,
    demand: OwnDemand,
    /// Number of available targets when the level was last determined.
    targets: usize,
    inputs: Option<Inputs>,
    /// Since when the demand has exceeded the room by the margin.
    exceeds_since: Option<Millis>,
    is_overloaded: bool,
    admitted: [f64; LOAD_CLASSES],
    updated_at: Millis,
    /// Sums of admitted parts that have not admitted a call yet.
    admitted_sums: [f64; LOAD_CLASSES],
    reported: [f64; LOAD_CLASSES],
    reported_at: Option<Millis>,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            reports: Reports::default(),
            demand: OwnDemand::default(),
            targets: 0,
            inputs: None,
            exceeds_since: None,
            is_overloaded: false,
            admitted: [1.0; LOAD_CLASSES],
            updated_at: Millis::ZERO,
            admitted_sums: [0.0; LOAD_CLASSES],
            reported: [1.0; LOAD_CLASSES],
            reported_at: None,
        }
    }
}

impl ServiceState {
    fn level(&mut self, targets: usize, now: Millis) -> Option<Level> {
        self.targets = targets;
        self.inputs = self.reports.inputs(targets, now);
        let span_ms = now.since(self.updated_at);
        self.updated_at = now;
        let Some(inputs) = self.inputs else {
            self.end();
            return None;
        };
        if span_ms > MAX_CALL_GAP_MS {
            self.exceeds_since = None;
        }
        if !self.is_overloaded {
            self.begin_if_due(&inputs, now);
        }
        if self.is_overloaded {
            self.follow(&inputs, span_ms);
        }
        Some(Level {
            room_slots: inputs.room_slots,
            demand_slots: inputs.demand_slots,
            admitted: self.admitted,
        })
    }

    fn begin_if_due(&mut self, inputs: &Inputs, now: Millis) {
        let demand_slots: f64 = inputs.demand_slots.iter().sum();
        let margin = BEGIN_MARGIN + REPORT_ERROR * inputs.error;
        if demand_slots <= inputs.room_slots * (1.0 + margin) {
            self.exceeds_since = None;
            return;
        }
        let since = *self.exceeds_since.get_or_insert(now);
        self.is_overloaded = now.since(since) >= BEGIN_AFTER_MS;
    }

    /// Moves the admitted parts towards the quotients of room and demand.
    fn follow(&mut self, inputs: &Inputs, span_ms: Millis) {
        let quotients = quotients(inputs);
        for (admitted, quotient) in self.admitted.iter_mut().zip(quotients) {
            let time_ms = match quotient < *admitted {
                true => DOWN_MS,
                false => UP_MS,
            };
            let gain = 1.0 - (-(span_ms.0 as f64) / time_ms).exp();
            *admitted = (*admitted + (quotient - *admitted) * gain).min(1.0);
        }
        if self.admitted.iter().all(|admitted| *admitted >= 1.0) && demand_fits(inputs) {
            self.end();
        }
    }

    fn end(&mut self) {
        self.is_overloaded = false;
        self.exceeds_since = None;
        self.admitted = [1.0; LOAD_CLASSES];
        self.admitted_sums = [0.0; LOAD_CLASSES];
    }

    fn take_change(&mut self, now: Millis) -> Option<LevelChange> {
        if self
            .reported_at
            .is_some_and(|at| now.since(at) < CHANGE_INTERVAL_MS)
        {
            return None;
        }
        let is_change = self
            .admitted
            .iter()
            .zip(self.reported)
            .any(|(admitted, reported)| is_reported_change(*admitted, reported));
        if !is_change {
            return None;
        }
        let before = std::mem::replace(&mut self.reported, self.admitted);
        self.reported_at = Some(now);
        Some(LevelChange {
            before,
            admitted: self.admitted,
            inputs: self.inputs,
        })
    }
}

/// Returns whether a change of an admitted part is a begin, an end, or large.
fn is_reported_change(admitted: f64, reported: f64) -> bool {
    (admitted < 1.0) != (reported < 1.0) || (admitted - reported).abs() > REPORTED_CHANGE
}

fn demand_fits(inputs: &Inputs) -> bool {
    inputs.demand_slots.iter().sum::<f64>() <= inputs.room_slots * (1.0 + SURPLUS)
}

/// Returns the quotient of the room that is left for a class and its demand, by class.
fn quotients(inputs: &Inputs) -> [f64; LOAD_CLASSES] {
    let mut left_slots = inputs.room_slots * (1.0 + SURPLUS);
    let mut quotients = [MAX_QUOTIENT; LOAD_CLASSES];
    for class in LoadClass::all() {
        let demand_slots = inputs.demand_slots[class.index()];
        if class != LoadClass::NESTED {
            quotients[class.index()] = quotient(left_slots, demand_slots);
        }
        left_slots = (left_slots - demand_slots).max(0.0);
    }
    quotients
}

fn quotient(left_slots: f64, demand_slots: f64) -> f64 {
    if left_slots <= 0.0 {
        return 0.0;
    }
    if demand_slots <= 0.0 {
        return MAX_QUOTIENT;
    }
    let quotient = left_slots / demand_slots;
    if quotient <= 1.0 {
        return quotient;
    }
    (1.0 + (quotient - 1.0) * EXCESS_GAIN).min(MAX_QUOTIENT)
}
