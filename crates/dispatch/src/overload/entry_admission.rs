//! Admission at the entry: the order in which the parts of overload control decide.
//!
//! A retry at its reserved time and a call that is made by a run pass all parts. Other
//! calls are checked against the share of their caller, then against the level of their
//! service. Each part reads a signal of its own, so that no two of them steer by the same
//! one: the offered work of callers, the load that gates report, and the reservations of
//! this entry.

use std::sync::Arc;

use strum::IntoStaticStr;

use super::caller_shares::{CallerId, CallerShares, Offer, ShareVerdict};
use super::nested::NestedRoutes;
use super::return_schedule::{Arrival, RequestKey, RetryTime, RetryWish, ReturnSchedule};
use super::service_level::{Level, LevelChange, ServiceLevels};
use super::set_aside::SetAside;
use super::settings::{OverloadPart, OverloadParts, PartsInForce};
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Part of an entry's capacity that is set aside for callers that retry.
const RETRY_SHARE: f64 = 0.2;
/// Range of the wait of callers that are refused while retries are not scheduled, as after
/// a refusal by gates. The spread keeps callers from retrying in lockstep.
const UNSCHEDULED_WAIT_MS: std::ops::Range<u64> = 60..260;

/// A call that enters.
#[derive(Clone, Copy, Debug)]
pub struct EnteringCall<'a> {
    /// Service to which it goes.
    pub service: &'a ServiceName,
    /// Its route.
    pub route: &'a Route,
    /// Identifies the request across its caller's attempts.
    pub key: RequestKey,
    /// Its caller.
    pub caller: CallerId,
    /// Expected run time at usual speed.
    pub work_ms: Millis,
    /// Number of available targets of the service.
    pub targets: usize,
    /// Whether the own target runs nothing.
    pub target_is_idle: bool,
    /// Part of the recent requests for the service that targets rejected, from 0 to 1.
    pub rejected_part: f64,
}

/// Why the entry refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EntryRefusal {
    /// The service has no capacity for calls of this class.
    Level,
    /// The caller has used more than its share.
    Share,
    /// The caller retries before the time that it was given.
    EarlyReturn,
}

/// How a call continues.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Entering {
    /// It is sent to a target.
    Admitted(Admitted),
    /// It is refused and has not run.
    Refused {
        /// The reason.
        reason: EntryRefusal,
        /// When the caller may retry.
        retry_at: Millis,
    },
}

/// How an admitted call is placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admitted {
    /// Class of the call.
    pub class: LoadClass,
    /// Whether the service refuses calls now, so that the call tries only few gates.
    pub is_overloaded: bool,
    /// Whether only less urgent calls are refused. The call then waits in the queue of the
    /// first gate, where it goes before those, instead of competing with them for slots that
    /// become free elsewhere.
    pub is_preferred: bool,
    /// Whether the call is a caller's retry at its reserved time.
    pub has_reservation: bool,
}

/// State of all parts at one entry.
#[derive(Debug)]
pub struct EntryAdmission {
    parts: PartsInForce,
    levels: ServiceLevels,
    schedule: ReturnSchedule,
    set_aside: SetAside,
    shares: CallerShares,
    nested: NestedRoutes,
}

impl EntryAdmission {
    /// Creates the admission of an entry that has seen no call.
    #[must_use]
    pub fn new(switched_off: OverloadParts) -> Self {
        Self {
            parts: PartsInForce::new(switched_off),
            levels: ServiceLevels::default(),
            schedule: ReturnSchedule::default(),
            set_aside: SetAside::default(),
            shares: CallerShares::default(),
            nested: NestedRoutes::default(),
        }
    }

    /// Replaces the parts that the settings switch off.
    pub const fn switch_off(&mut self, parts: OverloadParts) {
        self.parts.switch_off(parts);
    }

    /// Adopts the parts that a configuration calls for.
    pub fn adopt(&mut self, routes: &RouteSet) {
        if self.parts.adopt(routes) {
            self.nested.adopt(routes);
        }
    }

    /// Returns whether a part is in force.
    #[must_use]
    pub const fn has(&self, part: OverloadPart) -> bool {
        self.parts.has(part)
    }

    /// Decides whether a call is sent to a target.
    pub fn enter(&mut self, call: &EnteringCall<'_>, now: Millis) -> Entering {
        self.nested
            .note_arrival(&call.route.name, call.target_is_idle);
        let class = self.class_of(call.route);
        let level = self.note_arrival(call, class, now);
        let is_overloaded = level.is_some_and(|level| level.is_overloaded());
        let admitted = Admitted {
            class,
            is_overloaded,
            is_preferred: is_overloaded && level.is_some_and(|level| !level.refuses(class)),
            has_reservation: false,
        };
        if class == LoadClass::NESTED {
            return Entering::Admitted(admitted);
        }
        if self.has(OverloadPart::ScheduledReturns) {
            match self.schedule.arrive(call.service, call.key, now) {
                Arrival::OnTime => {
                    self.note_return(call, class, level.as_ref());
                    return Entering::Admitted(Admitted {
                        has_reservation: true,
                        ..admitted
                    });
                }
                Arrival::Early(retry_at) => return refused(EntryRefusal::EarlyReturn, retry_at),
                Arrival::New => {}
            }
        }
        match self.share_verdict(call, class, level.as_ref(), now) {
            ShareVerdict::Admitted => Entering::Admitted(admitted),
            ShareVerdict::ExceedsShare => refused(EntryRefusal::Share, self.retry_at(call, now)),
            ShareVerdict::NoTurn => refused(EntryRefusal::Level, self.retry_at(call, now)),
        }
    }

    /// Decides whether the level admits a new call, less what went to retries.
    fn level_admits(&mut self, call: &EnteringCall<'_>, class: LoadClass, level: &Level) -> bool {
        if !level.is_overloaded() {
            self.set_aside.forget(call.service);
        }
        let (service, work_ms) = (call.service, call.work_ms);
        self.levels.admits(service, class, level)
            && !self.set_aside.claims(service, class, work_ms, level)
    }

    fn note_return(&mut self, call: &EnteringCall<'_>, class: LoadClass, level: Option<&Level>) {
        if let Some(level) = level {
            self.set_aside
                .note_return(call.service, class, call.work_ms, level);
        }
    }

    /// Decides by the share of the caller and by the level of the service. The level is
    /// asked also for a caller above its share, since the turn of that call goes to another
    /// caller.
    fn share_verdict(
        &mut self,
        call: &EnteringCall<'_>,
        class: LoadClass,
        level: Option<&Level>,
        now: Millis,
    ) -> ShareVerdict {
        let has_turn = level.is_none_or(|level| self.level_admits(call, class, level));
        if !self.has(OverloadPart::CallerShares) {
            return ShareVerdict::by_level(has_turn);
        }
        let offer = Offer {
            service: call.service,
            class,
            caller: call.caller,
            work_ms: call.work_ms,
            is_contended: level.is_some_and(|level| level.refuses(class)),
            has_turn,
        };
        self.shares.decide(&offer, now)
    }

    /// Returns the caller of a request that only its content identifies.
    pub fn caller_by_content(&mut self, key: RequestKey, now: Millis) -> CallerId {
        self.shares.caller_by_content(key, now)
    }

    /// Returns when the caller of a refused call may retry, or `None` if no overload is
    /// known.
    pub fn retry_time(&mut self, call: &EnteringCall<'_>, now: Millis) -> Option<RetryTime> {
        if !self.has(OverloadPart::ScheduledReturns) {
            return None;
        }
        let level = self.current_level(call, now)?;
        if !level.is_overloaded() {
            return None;
        }
        let class = self.class_of(call.route);
        let share = self.levels.own_share(call.service, &level, now);
        let work_ms = call.work_ms.0.max(1) as f64;
        let rate_per_s = level.room_slots * share * RETRY_SHARE * 1_000.0 / work_ms;
        let wish = RetryWish {
            key: call.key,
            service: call.service,
            class,
            work_ms: call.work_ms,
            rate_per_s,
        };
        Some(self.schedule.reserve(&wish, now))
    }

    fn retry_at(&mut self, call: &EnteringCall<'_>, now: Millis) -> Millis {
        match self.retry_time(call, now) {
            Some(RetryTime::Reserved(at) | RetryTime::Unreserved(at)) => at,
            None => now + unscheduled_wait(call.key, now),
        }
    }

    /// Returns the class of a route's calls.
    #[must_use]
    pub fn class_of(&self, route: &Route) -> LoadClass {
        let is_nested = self.has(OverloadPart::NestedFirst) && self.nested.is_nested(&route.name);
        match is_nested {
            true => LoadClass::NESTED,
            false => LoadClass::of_priority(route.priority),
        }
    }

    fn note_arrival(
        &mut self,
        call: &EnteringCall<'_>,
        class: LoadClass,
        now: Millis,
    ) -> Option<Level> {
        if !self.has(OverloadPart::ServiceLevel) {
            return None;
        }
        // A request that its target rejects takes no slot.
        let run_ms = call.work_ms.0 as f64 * (1.0 - call.rejected_part);
        self.levels
            .note_arrival(call.service, class, Millis(run_ms.ceil() as u64), now);
        self.levels.level(call.service, call.targets, now)
    }

    fn current_level(&mut self, call: &EnteringCall<'_>, now: Millis) -> Option<Level> {
        if !self.has(OverloadPart::ServiceLevel) {
            return None;
        }
        self.levels.level(call.service, call.targets, now)
    }

    /// Replaces the targets of a service that take new work.
    pub fn note_targets(&mut self, service: &ServiceName, available: &[Arc<Member>]) {
        if self.has(OverloadPart::ServiceLevel) {
            self.levels.note_targets(service, available);
        }
    }

    /// Returns a change of the service's level that is to be logged.
    pub fn take_level_change(&mut self, service: &ServiceName, now: Millis) -> Option<LevelChange> {
        if !self.has(OverloadPart::ServiceLevel) {
            return None;
        }
        self.levels.take_change(service, now)
    }

    /// Returns the current level of each service that calls have entered for.
    pub fn current_levels(&mut self, now: Millis) -> Vec<(ServiceName, Option<Level>)> {
        let is_on = self.has(OverloadPart::ServiceLevel);
        let mut levels = Vec::new();
        for (service, level) in self.levels.levels(now) {
            levels.push((service.clone(), level.filter(|_| is_on)));
        }
        levels
    }

    /// Records a report of the target's gate.
    pub fn note_load(&mut self, target: &Member, load: GateLoad, now: Millis) {
        self.levels.note_load(target, load, now);
    }

    /// Returns the work to report to a gate of the service, if a report is due.
    pub fn take_demand(&mut self, service: &ServiceName, now: Millis) -> Option<DemandReport> {
        if !self.has(OverloadPart::ServiceLevel) {
            return None;
        }
        self.levels.take_demand(service, now)
    }

    /// Returns the reports of gates and the levels.
    #[must_use]
    pub const fn levels(&self) -> &ServiceLevels {
        &self.levels
    }

    /// Returns the reservations.
    #[must_use]
    pub const fn schedule(&self) -> &ReturnSchedule {
        &self.schedule
    }

    /// Discards what is past or concerns targets that are no longer listed.
    pub fn retain(&mut self, members: &Members, now: Millis) {
        self.levels.retain(members);
        self.schedule.forget_expired(now);
        self.shares.forget_idle(now);
    }
}

/// Returns how long a caller waits while retries are not scheduled: at most a third of the
/// time that it has left.
fn unscheduled_wait(key: RequestKey, now: Millis) -> Millis {
    let span_ms = UNSCHEDULED_WAIT_MS.end - UNSCHEDULED_WAIT_MS.start;
    let spread_ms = key.fingerprint.wrapping_add(now.0) % span_ms;
    let left_ms = key.deadline_at.since(now);
    Millis((UNSCHEDULED_WAIT_MS.start + spread_ms).min(left_ms.0 / 3))
}

const fn refused(reason: EntryRefusal, retry_at: Millis) -> Entering {
    Entering::Refused { reason, retry_at }
}
