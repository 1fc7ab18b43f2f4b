//! What an entry has measured about one target in its current incarnation.

use crate::entry::gate_clock::GateClock;
use crate::entry::score::{ServiceAverages, TargetEstimate, decay};
use crate::prelude::*;

/// Half-life of an unusual service time, so that a target that was slow is
/// tried again.
const SERVICE_HALF_LIFE_MS: f32 = 2_000.0;
/// Half-life of the failure rate. It is short because a healthy target
/// occasionally answers a bad call with a 500; a target that keeps failing is
/// ejected.
const FAILURE_HALF_LIFE_MS: f32 = 500.0;
/// Upper bound of the recorded service time relative to the average. Such a
/// target gets no calls anyway while others have capacity, and a higher value
/// would only delay its next try.
const MAX_RELATIVE_SERVICE: f32 = 10.0;
/// Weight of the newest outcome in the failure rate.
const FAILURE_WEIGHT: f32 = 0.25;
/// Weight of the newest latency in the service time.
const SERVICE_WEIGHT: f32 = 0.125;
/// The service time measured by the entry includes queueing and network
/// variation. It overrides the time measured by the gate only beyond this
/// multiple of it.
const OWN_OVER_REPORTED: f32 = 2.0;
/// Share of a warm target's work that a cold target starts with.
const MIN_RAMP: f32 = 0.1;

/// Trust in a published report at its arrival.
const PUBLISHED_TRUST: f32 = 0.1;

/// How a load report reached this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportSource {
    /// With an answer to this entry; few other entries have it.
    Answer,
    /// Through control messages. Every entry has the report and is about to act
    /// on it, so capacity that it shows as free will not stay free for long.
    Published,
}

/// A load report, and how much of the load this entry caused itself.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    report: LoadReport,
    received_at: Millis,
    /// When the gate created the report, as estimated from the clock offset.
    created_at: Millis,
    /// When the reported service time last changed.
    service_time_changed_at: Millis,
    own_in_flight: u32,
    source: ReportSource,
}

impl ReceivedReport {
    fn trust(&self) -> f32 {
        match self.source {
            ReportSource::Answer => 1.0,
            ReportSource::Published => PUBLISHED_TRUST,
        }
    }

    fn ratio(&self) -> f32 {
        let outstanding = self.report.in_flight.saturating_add(self.report.queued);
        outstanding as f32 / self.report.limit.max(1) as f32
    }

    /// Returns the load from other entries as a multiple of the target's limit.
    fn others_ratio(&self) -> f32 {
        let outstanding = self.report.in_flight.saturating_add(self.report.queued);
        let others = outstanding.saturating_sub(self.own_in_flight);
        others as f32 / self.report.limit.max(1) as f32
    }
}

/// A smoothed value and when it last changed.
#[derive(Clone, Copy, Debug)]
struct TimedValue {
    value: f32,
    at: Millis,
}

/// Counters and smoothed values of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetStats {
    in_flight: u32,
    first_seen: Millis,
    load: Option<ReceivedReport>,
    clock: GateClock,
    own_service_us: Option<TimedValue>,
    failure: TimedValue,
    refused_at: Option<Millis>,
}

impl TargetStats {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            in_flight: 0,
            first_seen: now,
            load: None,
            clock: GateClock::default(),
            own_service_us: None,
            failure: TimedValue {
                value: 0.0,
                at: now,
            },
            refused_at: None,
        }
    }

    /// Discards everything about an earlier incarnation except the attempts in
    /// flight, whose count stays exact because each attempt will be ended.
    pub(crate) fn reset(&mut self, now: Millis) {
        let in_flight = self.in_flight;
        *self = Self::new(now);
        self.in_flight = in_flight;
    }

    /// Restarts the warm-up; everything else that is known remains.
    pub(crate) fn restart_ramp(&mut self, now: Millis) {
        self.first_seen = now;
        self.failure.value = 0.0;
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(crate) fn first_seen(&self) -> Millis {
        self.first_seen
    }

    /// Returns the newest report of the current incarnation.
    pub(crate) fn report(&self) -> Option<&LoadReport> {
        self.load.as_ref().map(|known| &known.report)
    }

    /// Returns the service time measured by the gate, if there is one.
    pub(crate) fn reported_service_us(&self) -> Option<f32> {
        let reported_us = self.report()?.service_time_us;
        (reported_us > 0).then_some(reported_us as f32)
    }

    pub(crate) fn start_attempt(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn end_attempt(&mut self) {
        debug_assert!(self.in_flight > 0, "every pick is ended exactly once");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether a newer report arrived before this one.
    pub(crate) fn has_newer_report_than(&self, report: &LoadReport) -> bool {
        self.report()
            .is_some_and(|known| known.gate_clock_ms > report.gate_clock_ms)
    }

    /// Records the newest report of the current incarnation.
    pub(crate) fn record_report(
        &mut self,
        report: &LoadReport,
        received_at: Millis,
        source: ReportSource,
    ) {
        let service_time_changed_at = self.service_time_changed_at(report, received_at);
        self.load = Some(ReceivedReport {
            report: *report,
            received_at,
            service_time_changed_at,
            created_at: self.clock.created_at(report.gate_clock_ms, received_at),
            own_in_flight: self.in_flight,
            source,
        });
    }

    /// Returns when the service time of this report was first received.
    ///
    /// If the first call of a target is slow, the target gets no further calls,
    /// and its gate repeats the same service time in every report. If each
    /// report counted as a new measurement, the slow call would never be
    /// forgotten and the target would stay idle.
    fn service_time_changed_at(&self, report: &LoadReport, received_at: Millis) -> Millis {
        match &self.load {
            Some(known) if known.report.service_time_us == report.service_time_us => {
                known.service_time_changed_at
            }
            _ => received_at,
        }
    }

    /// Returns this entry's attempts in flight as a multiple of the limit.
    pub(crate) fn own_ratio(&self, slots: u32) -> f32 {
        self.in_flight as f32 / self.limit(slots) as f32
    }

    /// Returns the load from other entries according to the newest report.
    pub(crate) fn others_ratio(&self) -> Option<f32> {
        self.load.map(|known| known.others_ratio())
    }

    /// Returns all outstanding calls according to the newest report, as a
    /// multiple of the limit; 0 if the report is older than `oldest`.
    pub(crate) fn reported_ratio_within(&self, oldest: Millis, now: Millis) -> f32 {
        match &self.load {
            Some(known) if now.since(known.received_at) <= oldest => known.ratio(),
            _ => 0.0,
        }
    }

    /// Records a successful answer; `service_us` excludes the network round
    /// trip.
    pub(crate) fn record_success(&mut self, service_us: f32, now: Millis) {
        self.update_failure_rate(0.0, now);
        self.update_own_service(service_us, now);
    }

    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.update_failure_rate(1.0, now);
    }

    /// Sets the failure rate to 1, as when nothing listens at the address.
    pub(crate) fn record_unreachable(&mut self, now: Millis) {
        self.failure = TimedValue {
            value: 1.0,
            at: now,
        };
    }

    /// Records that an answer would have taken at least this long.
    pub(crate) fn record_lower_bound(&mut self, service_us: f32, now: Millis) {
        if self
            .own_service_us
            .is_some_and(|known| known.value >= service_us)
        {
            return;
        }
        self.update_own_service(service_us, now);
    }

    pub(crate) fn record_refusal(&mut self, now: Millis) {
        self.refused_at = Some(now);
    }

    /// Returns the latency without the queueing that the load explains.
    ///
    /// The calculation uses the load estimate at the time of the answer. It is
    /// the inverse of the calculation in a pick.
    pub(crate) fn unloaded_us(&self, latency_us: f32, limit: u32) -> f32 {
        let others = self.others_ratio().unwrap_or(0.0);
        let own = self.in_flight as f32 / limit.max(1) as f32;
        latency_us / (1.0 + others + own)
    }

    /// Returns the share of a warm target's work that this target may get, from
    /// the time since it was first seen.
    pub(crate) fn ramp(&self, cold_ramp_ms: Millis, now: Millis) -> f32 {
        ramp_after(now.since(self.first_seen), cold_ramp_ms)
    }

    pub(crate) fn failure_rate(&self, now: Millis) -> f32 {
        let age = now.since(self.failure.at);
        self.failure.value * decay(age, FAILURE_HALF_LIFE_MS)
    }

    /// Returns the estimated number of outstanding calls as a multiple of the
    /// limit. This entry's own attempts are exact; those of others come from
    /// the report as far as it is trusted.
    ///
    /// Without this, many entries would receive a report that one target is
    /// idle and all would send to it until the next report. This entry's own
    /// attempts count at once. As trust in the report fades, the load of others
    /// is estimated from this entry's own attempts compared with the average,
    /// which makes targets look alike unless attempts pile up on one.
    pub(crate) fn load_ratio(&self, averages: &ServiceAverages, slots: u32, now: Millis) -> f32 {
        let own = self.own_ratio(slots);
        let sampled = averages.sampled_ratio(own, 1.0 / self.limit(slots) as f32);
        let Some(known) = &self.load else {
            return own + sampled;
        };
        let age = now.since(known.created_at);
        let left = decay(age, averages.load_half_life_ms()) * known.trust();
        own + known.others_ratio() * left + sampled * (1.0 - left)
    }

    /// Returns the last reported limit of the gate, or the policy's slots
    /// before the first report.
    pub(crate) fn limit(&self, slots: u32) -> u32 {
        match self.report() {
            Some(report) => report.limit.max(1),
            None => slots.max(1),
        }
    }

    /// Returns the current estimate without the parts that depend on the
    /// network and on other targets.
    pub(crate) fn estimate(
        &self,
        averages: &ServiceAverages,
        slots: u32,
        now: Millis,
    ) -> TargetEstimate {
        TargetEstimate {
            load_ratio: self.load_ratio(averages, slots, now),
            relative_service: self.relative_service(averages, now),
            failure: self.failure_rate(now),
            refused: self.refused(averages, now),
            ramp: 1.0,
            round_trip_us: 0.0,
        }
    }

    fn update_failure_rate(&mut self, outcome: f32, now: Millis) {
        let rate = self.failure_rate(now);
        self.failure = TimedValue {
            value: rate + (outcome - rate) * FAILURE_WEIGHT,
            at: now,
        };
    }

    fn update_own_service(&mut self, service_us: f32, now: Millis) {
        let value = match self.own_service_us {
            Some(known) => known.value + (service_us - known.value) * SERVICE_WEIGHT,
            None => service_us,
        };
        self.own_service_us = Some(TimedValue { value, at: now });
    }

    /// Returns the service time as a multiple of the average one, converging to
    /// 1 with age.
    fn relative_service(&self, averages: &ServiceAverages, now: Millis) -> f32 {
        let average_us = averages.service_us();
        let (measured_us, at) = match (self.own_service_us, &self.load) {
            (None, None) => return 1.0,
            (Some(own), None) => (own.value, own.at),
            (None, Some(known)) => {
                let reported_us = known.report.service_time_us as f32;
                (reported_us, known.service_time_changed_at)
            }
            (Some(own), Some(known)) => {
                let reported_us = known.report.service_time_us as f32;
                let measured_us = reported_us.max(own.value / OWN_OVER_REPORTED);
                (measured_us, own.at.max(known.service_time_changed_at))
            }
        };
        let left = decay(now.since(at), SERVICE_HALF_LIFE_MS);
        let relative = (measured_us / average_us).min(MAX_RELATIVE_SERVICE);
        1.0 + (relative - 1.0) * left
    }

    fn refused(&self, averages: &ServiceAverages, now: Millis) -> f32 {
        match self.refused_at {
            Some(at) => decay(now.since(at), averages.load_half_life_ms()),
            None => 0.0,
        }
    }
}

/// Returns the share of a warm target's work at `age`; it grows linearly.
pub(crate) fn ramp_after(age: Millis, cold_ramp_ms: Millis) -> f32 {
    if age >= cold_ramp_ms {
        return 1.0;
    }
    (age.0 as f32 / cold_ramp_ms.0 as f32).max(MIN_RAMP)
}
