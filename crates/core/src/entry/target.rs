//! One target of a service, as the entry tracks it.

use xxhash_rust::xxh3::xxh3_64;

use crate::entry::Pick;
use crate::entry::ejection::Health;
use crate::entry::score::{ServiceAverages, TargetEstimate};
use crate::entry::target_stats::{ReportSource, TargetStats};
use crate::prelude::*;

/// A refusal for leaving carries no time of the gate's clock. A report that
/// says the gate is not leaving is accepted only if it arrives at least this
/// much later.
const LEAVING_SETTLE_MS: Millis = Millis(1_000);

/// How a target may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tier {
    /// For any attempt.
    Ready,
    /// Only if no target is ready.
    Doubtful,
    /// Only for single trials.
    Ejected,
    /// Not for new work: the target is leaving or no longer known.
    Closed,
}

/// A notice from the gate that it is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    at: Millis,
    /// Time of the notice by the gate's clock, if it came in a report.
    gate_clock_ms: Option<Millis>,
}

/// Bound on how many tickets a gate may be ahead or behind, so that a gate that
/// was unavailable does not receive long runs of tickets to catch up.
const MAX_TICKETS_AHEAD: f32 = 3.0;

/// A target and everything that is known about it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) vm: VmId,
    pub(crate) vm_hash: u64,
    /// Position in the view; `None` once the VM has left it.
    pub(crate) view_position: Option<u32>,
    pub(crate) incarnation: Option<Incarnation>,
    view_incarnation: Option<Incarnation>,
    /// Counts the incarnations seen. Outcomes of attempts from an earlier
    /// generation are ignored.
    pub(crate) generation: u32,
    pub(crate) distance_us: u32,
    pub(crate) stats: TargetStats,
    pub(crate) health: Health,
    /// Number of tickets issued for this gate beyond its equal share.
    pub(crate) tickets_ahead: f32,
    view_leaving: bool,
    doubtful: bool,
    leaving_notice: Option<LeavingNotice>,
}

impl Target {
    pub(crate) fn new(view: &TargetView, generation: u32, now: Millis) -> Self {
        Self {
            vm: view.vm.clone(),
            vm_hash: xxh3_64(view.vm.as_str().as_bytes()),
            view_position: None,
            incarnation: view.incarnation,
            view_incarnation: view.incarnation,
            generation,
            distance_us: view.distance_us,
            stats: TargetStats::new(now),
            health: Health::new(),
            tickets_ahead: 0.0,
            view_leaving: view.leaving,
            doubtful: view.doubtful,
            leaving_notice: None,
        }
    }

    /// Adds to the number of tickets by which this gate is ahead of its equal
    /// share.
    pub(crate) fn advance_tickets(&mut self, tickets: f32) {
        let ahead = self.tickets_ahead + tickets;
        self.tickets_ahead = ahead.clamp(-MAX_TICKETS_AHEAD, MAX_TICKETS_AHEAD);
    }

    /// Applies the data of a view published by the control thread.
    pub(crate) fn update(&mut self, view: &TargetView, position: u32, now: Millis) {
        self.view_position = Some(position);
        self.distance_us = view.distance_us;
        self.view_leaving = view.leaving;
        self.doubtful = view.doubtful;
        self.view_incarnation = view.incarnation;
        if let Some(incarnation) = view.incarnation {
            self.observe_incarnation(incarnation, now);
        }
        if let Some(received) = &view.load {
            self.record_report(
                &received.report,
                received.received_at,
                ReportSource::Published,
                now,
            );
        }
    }

    /// Records a report. Returns false if it belongs to another incarnation or
    /// is older than the one known.
    fn record_report(
        &mut self,
        report: &LoadReport,
        received_at: Millis,
        source: ReportSource,
        now: Millis,
    ) -> bool {
        self.observe_incarnation(report.incarnation, now);
        if self.incarnation != Some(report.incarnation) {
            return false;
        }
        if self.stats.has_newer_report_than(report) {
            return false;
        }
        self.update_leaving_notice(report, received_at);
        self.stats.record_report(report, received_at, source);
        true
    }

    /// Records a report that came with an answer and therefore from the process
    /// that is currently running.
    ///
    /// If a VM's wall clock was set back between two incarnations, the later
    /// one has the lower number. It is accepted once the view names it as well.
    pub(crate) fn record_answer_report(&mut self, report: &LoadReport, now: Millis) -> bool {
        let incarnation = Some(report.incarnation);
        if incarnation == self.view_incarnation && incarnation != self.incarnation {
            self.start_incarnation(report.incarnation, now);
        }
        self.record_report(report, now, ReportSource::Answer, now)
    }

    /// Records a successful answer. A success of a ticketed call sent after the
    /// ejection also proves that the target works again.
    pub(crate) fn record_success(&mut self, pick: &Pick, service_us: f32, now: Millis) {
        self.stats.record_success(service_us, now);
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

    /// Records a failure, however quick it was.
    pub(crate) fn record_failure(&mut self, pick: &Pick, policy: &EjectionPolicy, now: Millis) {
        self.stats.record_failure(now);
        self.health.count_failure();
        if pick.is_trial {
            self.health.fail_trial(policy, now);
        }
    }

    /// Records that nothing listens at the address.
    pub(crate) fn record_unreachable(&mut self, pick: &Pick, policy: &EjectionPolicy, now: Millis) {
        self.stats.record_unreachable(now);
        self.health.count_unreachable(policy);
        if pick.is_trial {
            self.health.fail_trial(policy, now);
        }
    }

    /// Records that the gate had no capacity, which is not a failure of the
    /// target.
    pub(crate) fn record_refusal(&mut self, pick: &Pick, now: Millis) {
        self.stats.record_refusal(now);
        self.record_inconclusive(pick, now);
    }

    /// Records that the gate accepts no new work.
    pub(crate) fn record_leaving(&mut self, pick: &Pick, now: Millis) {
        self.note_leaving_refusal(now);
        self.record_inconclusive(pick, now);
    }

    /// Ends a trial that gave no information about the target.
    pub(crate) fn record_inconclusive(&mut self, pick: &Pick, now: Millis) {
        if pick.is_trial {
            self.health.postpone_trial(now);
        }
    }

    fn note_leaving_refusal(&mut self, now: Millis) {
        if self.leaving_notice.is_some() {
            return;
        }
        self.leaving_notice = Some(LeavingNotice {
            at: now,
            gate_clock_ms: None,
        });
    }

    pub(crate) fn tier(&self) -> Tier {
        if self.view_position.is_none() || self.view_leaving || self.leaving_notice.is_some() {
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

    /// Returns the properties by which the tiers are sorted. The tiers are
    /// rebuilt if they change.
    pub(crate) fn tier_key(&self) -> (Tier, u32) {
        (self.tier(), self.generation)
    }

    pub(crate) fn is_doubtful(&self) -> bool {
        self.doubtful
    }

    pub(crate) fn round_trip_us(&self) -> f32 {
        self.distance_us as f32 * 2.0
    }

    /// Returns the estimate for an attempt at this target; `ramp` is its
    /// warm-up share relative to other targets.
    ///
    /// A gate reports a low limit while its target is cold, so after the first
    /// report the limit alone is sufficient. Until then the ramp takes its
    /// place.
    pub(crate) fn estimate(
        &self,
        averages: &ServiceAverages,
        slots: u32,
        ramp: f32,
        now: Millis,
    ) -> TargetEstimate {
        let is_limit_known = self.stats.report().is_some();
        TargetEstimate {
            ramp: if is_limit_known { 1.0 } else { ramp },
            round_trip_us: self.round_trip_us(),
            ..self.stats.estimate(averages, slots, now)
        }
    }

    /// Records an incarnation. A later one discards everything known about the
    /// previous one.
    ///
    /// Only a higher incarnation counts as new. Views and answers reach this
    /// node on two paths, and the slower path still names the old incarnation
    /// for a while; a test for inequality would switch back and forth.
    fn observe_incarnation(&mut self, incarnation: Incarnation, now: Millis) {
        match self.incarnation {
            Some(known) if known >= incarnation => {}
            Some(_) => self.start_incarnation(incarnation, now),
            None => self.incarnation = Some(incarnation),
        }
    }

    fn start_incarnation(&mut self, incarnation: Incarnation, now: Millis) {
        self.incarnation = Some(incarnation);
        self.generation = self.generation.wrapping_add(1);
        self.stats.reset(now);
        self.health = Health::new();
        self.leaving_notice = None;
    }

    fn update_leaving_notice(&mut self, report: &LoadReport, received_at: Millis) {
        if report.leaving {
            self.leaving_notice = Some(LeavingNotice {
                at: received_at,
                gate_clock_ms: Some(report.gate_clock_ms),
            });
            return;
        }
        let Some(notice) = &self.leaving_notice else {
            return;
        };
        let is_newer = match notice.gate_clock_ms {
            Some(clock_ms) => report.gate_clock_ms > clock_ms,
            None => received_at > notice.at + LEAVING_SETTLE_MS,
        };
        if is_newer {
            self.leaving_notice = None;
        }
    }
}
