//! One target of a service as its entry keeps it.

use xxhash_rust::xxh3::xxh3_64;

use crate::entry::Pick;
use crate::entry::ejection::Health;
use crate::entry::score::{TargetEstimate, ServiceAverages};
use crate::entry::target_stats::{ReportSource, TargetStats};
use crate::prelude::*;

/// A refusal says "leaving" without saying when in the gate's clock; a report
/// that denies it is believed when it arrives this much later.
const LEAVING_SETTLE_MS: Millis = Millis(1_000);

/// How far a target may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tier {
    /// For any attempt.
    Ready,
    /// Only when no target is ready.
    Doubtful,
    /// Only for single trials.
    Ejected,
    /// Not for new work: leaving, or no longer known.
    Closed,
}

/// What a gate said about its leaving.
#[derive(Clone, Copy, Debug)]
struct HeardLeaving {
    at: Millis,
    /// The gate's clock, where a report said it.
    gate_clock_ms: Option<Millis>,
}

/// A gate that was away must not be named for long stretches to catch up.
const MAX_TURNS: f32 = 3.0;

/// A target with everything learnt about it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) vm: VmId,
    pub(crate) vm_hash: u64,
    /// Place in the view; `None` once the VM has left it.
    pub(crate) view_place: Option<u32>,
    pub(crate) incarnation: Option<Incarnation>,
    view_incarnation: Option<Incarnation>,
    /// Counts the lives seen; an attempt of an earlier one teaches nothing.
    pub(crate) life: u32,
    pub(crate) distance_us: u32,
    pub(crate) stats: TargetStats,
    pub(crate) health: Health,
    /// Tickets that this entry has named it for beyond its even share.
    pub(crate) tickets_ahead: f32,
    view_leaving: bool,
    doubtful: bool,
    heard_leaving: Option<HeardLeaving>,
}

impl Target {
    pub(crate) fn new(view: &TargetView, life: u32, now: Millis) -> Self {
        Self {
            vm: view.vm.clone(),
            vm_hash: xxh3_64(view.vm.as_str().as_bytes()),
            view_place: None,
            incarnation: view.incarnation,
            view_incarnation: view.incarnation,
            life,
            distance_us: view.distance_us,
            stats: TargetStats::new(now),
            health: Health::new(),
            tickets_ahead: 0.0,
            view_leaving: view.leaving,
            doubtful: view.doubtful,
            heard_leaving: None,
        }
    }

    /// Counts tickets by which it is ahead of its even share.
    pub(crate) fn advance_tickets(&mut self, tickets: f32) {
        let ahead = self.tickets_ahead + tickets;
        self.tickets_ahead = ahead.clamp(-MAX_TURNS, MAX_TURNS);
    }

    /// Takes over what the control state knows.
    pub(crate) fn update(&mut self, view: &TargetView, place: u32, now: Millis) {
        self.view_place = Some(place);
        self.distance_us = view.distance_us;
        self.view_leaving = view.leaving;
        self.doubtful = view.doubtful;
        self.view_incarnation = view.incarnation;
        if let Some(incarnation) = view.incarnation {
            self.meet(incarnation, now);
        }
        if let Some(heard) = &view.load {
            self.hear(&heard.report, heard.received_at, ReportSource::Published, now);
        }
    }

    /// Takes a report; false when it is of another life or older than what is
    /// known.
    fn hear(
        &mut self,
        report: &LoadReport,
        received_at: Millis,
        source: ReportSource,
        now: Millis,
    ) -> bool {
        self.meet(report.incarnation, now);
        if self.incarnation != Some(report.incarnation) {
            return false;
        }
        if self.stats.knows_newer_than(report) {
            return false;
        }
        self.hear_leaving(report, received_at);
        self.stats.hear(report, received_at, source);
        true
    }

    /// Takes a report that rode on an answer, and so was given by the process
    /// that is there now.
    ///
    /// Where a VM's wall clock went back between two lives, the later one has
    /// the lower incarnation. It is taken once the control state agrees.
    pub(crate) fn hear_on_answer(&mut self, report: &LoadReport, now: Millis) -> bool {
        let incarnation = Some(report.incarnation);
        if incarnation == self.view_incarnation && incarnation != self.incarnation {
            self.start_life(report.incarnation, now);
        }
        self.hear(report, now, ReportSource::Answer, now)
    }

    /// Learns from an answer. Also one that a ticket sent here while the target
    /// was ejected proves that it works again.
    pub(crate) fn learn_success(&mut self, pick: &Pick, service_us: f32, now: Millis) {
        self.stats.learn_success(service_us, now);
        if !self.health.is_ejected() {
            self.health.count_success();
            return;
        }
        if !pick.is_trial && !self.health.was_ejected_before(pick.started_at) {
            return;
        }
        self.health.count_success();
        self.health.readmit(now);
        self.stats.restart_ramp(now);
    }

    /// Learns from a failure, however quick it was.
    pub(crate) fn learn_failure(&mut self, pick: &Pick, policy: &EjectionPolicy, now: Millis) {
        self.stats.learn_failure(now);
        self.health.count_failure();
        if pick.is_trial {
            self.health.fail_trial(policy, now);
        }
    }

    /// Learns that nothing listens there.
    pub(crate) fn learn_absence(&mut self, pick: &Pick, policy: &EjectionPolicy, now: Millis) {
        self.stats.learn_absence(now);
        self.health.count_absence(policy);
        if pick.is_trial {
            self.health.fail_trial(policy, now);
        }
    }

    /// Learns that the gate had no room, which is no fault of the target.
    pub(crate) fn learn_refusal(&mut self, pick: &Pick, now: Millis) {
        self.stats.learn_refusal(now);
        self.learn_nothing(pick, now);
    }

    /// Learns that the gate takes no new work.
    pub(crate) fn learn_leaving(&mut self, pick: &Pick, now: Millis) {
        self.refuse_as_leaving(now);
        self.learn_nothing(pick, now);
    }

    /// Ends a trial that told nothing.
    pub(crate) fn learn_nothing(&mut self, pick: &Pick, now: Millis) {
        if pick.is_trial {
            self.health.postpone_trial(now);
        }
    }

    fn refuse_as_leaving(&mut self, now: Millis) {
        if self.heard_leaving.is_some() {
            return;
        }
        self.heard_leaving = Some(HeardLeaving {
            at: now,
            gate_clock_ms: None,
        });
    }

    pub(crate) fn tier(&self) -> Tier {
        if self.view_place.is_none() || self.view_leaving || self.heard_leaving.is_some() {
            return Tier::Closed;
        }
        if self.health.is_ejected() {
            return Tier::Ejected;
        }
        if self.doubtful {
            return Tier::Doubtful;
        }
        Tier::Ready
    }

    /// What the tiers were sorted by; they are sorted anew when it changes.
    pub(crate) fn standing(&self) -> (Tier, u32) {
        (self.tier(), self.life)
    }

    pub(crate) fn is_doubtful(&self) -> bool {
        self.doubtful
    }

    pub(crate) fn round_trip_us(&self) -> f32 {
        self.distance_us as f32 * 2.0
    }

    /// Everything believed about an attempt here, `ramp` relative to others.
    ///
    /// A gate reports a low limit while its target is cold, which says it all;
    /// the ramp stands in for the limit until the first report.
    pub(crate) fn belief(&self, typical: &ServiceAverages, slots: u32, ramp: f32, now: Millis) -> TargetEstimate {
        let is_limit_known = self.stats.report().is_some();
        TargetEstimate {
            ramp: if is_limit_known { 1.0 } else { ramp },
            round_trip_us: self.round_trip_us(),
            ..self.stats.belief(typical, slots, now)
        }
    }

    /// Enters a new life: what was learnt of the old one is void.
    ///
    /// Only a later incarnation is taken for a new life. The control state and
    /// the answers reach this node by two ways, and the slower one still tells
    /// of the old life for a while; equality alone would swing between both.
    fn meet(&mut self, incarnation: Incarnation, now: Millis) {
        match self.incarnation {
            Some(known) if known >= incarnation => {}
            Some(_) => self.start_life(incarnation, now),
            None => self.incarnation = Some(incarnation),
        }
    }

    fn start_life(&mut self, incarnation: Incarnation, now: Millis) {
        self.incarnation = Some(incarnation);
        self.life = self.life.wrapping_add(1);
        self.stats.reset(now);
        self.health = Health::new();
        self.heard_leaving = None;
    }

    fn hear_leaving(&mut self, report: &LoadReport, received_at: Millis) {
        if report.leaving {
            self.heard_leaving = Some(HeardLeaving {
                at: received_at,
                gate_clock_ms: Some(report.gate_clock_ms),
            });
            return;
        }
        let Some(heard) = &self.heard_leaving else {
            return;
        };
        let is_newer = match heard.gate_clock_ms {
            Some(clock_ms) => report.gate_clock_ms > clock_ms,
            None => received_at > heard.at + LEAVING_SETTLE_MS,
        };
        if is_newer {
            self.heard_leaving = None;
        }
    }
}
