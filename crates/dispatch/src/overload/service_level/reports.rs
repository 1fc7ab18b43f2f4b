//! The reports of a service's gates and their sums.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::prelude::*;

/// Time for which a report counts, by the receiver's clock.
const REPORT_TTL_MS: Millis = Millis(1_000);
/// Time constant by which the weight of a report in a mean falls. While most calls are refused,
/// some gates are not called for long, and their reports would prolong an overload that is
/// over.
const WEIGHT_MS: f64 = 100.0;
/// Time constant by which the weight of a data centre falls from its last report on. Far gates
/// are hardly called while near ones suffice for the admitted calls.
const DATA_CENTRE_WEIGHT_MS: f64 = 300.0;
/// Number of reports below which there is no level, unless fewer are half of the targets.
const MIN_REPORTS: usize = 3;

/// Load of a whole service, estimated from the fresh reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inputs {
    /// Room of all available targets.
    pub room_slots: f64,
    /// Demand by class.
    pub demand_slots: [f64; LOAD_CLASSES],
    /// Number of fresh reports.
    pub reports: usize,
    /// Standard error of the demand, in multiples of the standard deviation of a single
    /// report. It is zero if all targets have reported.
    pub error: f64,
    /// Mean age of the reports.
    pub mean_age_ms: Millis,
    /// Age of the oldest report.
    pub max_age_ms: Millis,
}

impl Inputs {
    fn add(&mut self, load: &GateLoad, weight: f64) {
        self.room_slots += slots(load.room_centislots) * weight;
        for (sum, demand) in self.demand_slots.iter_mut().zip(load.demand_centislots) {
            *sum += slots(demand) * weight;
        }
    }
}

/// Sums over the weights of the reports from one data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Weights {
    reports: usize,
    sum: f64,
    sum_of_squares: f64,
    /// Age of the youngest report.
    min_age_ms: Option<Millis>,
}

#[derive(Debug)]
struct Report {
    load: GateLoad,
    at: Millis,
    data_centre: DataCentre,
    started_at_ms: Option<Millis>,
}

/// Latest report of each target's gate.
#[derive(Debug, Default)]
pub(super) struct Reports {
    by_target: HashMap<TargetId, Report>,
    /// Available targets, as far as they are known, by data centre.
    targets: BTreeMap<DataCentre, Vec<TargetId>>,
}

impl Reports {
    pub(super) fn note(&mut self, target: &Member, load: GateLoad, now: Millis) {
        let report = Report {
            load,
            at: now,
            data_centre: target.data_centre.clone(),
            started_at_ms: target.started_at_ms,
        };
        self.by_target.insert(target.id.clone(), report);
    }

    pub(super) fn note_targets(&mut self, available: &[Arc<Member>]) {
        if self.has_targets(available) {
            return;
        }
        self.targets.clear();
        for member in available {
            let ids = self.targets.entry(member.data_centre.clone()).or_default();
            ids.push(member.id.clone());
        }
    }

    /// Returns whether exactly these targets are known. Most calls find them unchanged.
    fn has_targets(&self, available: &[Arc<Member>]) -> bool {
        let known: usize = self.targets.values().map(Vec::len).sum();
        let is_known = |member: &Arc<Member>| {
            let ids = self.targets.get(&member.data_centre);
            ids.is_some_and(|ids| ids.binary_search(&member.id).is_ok())
        };
        known == available.len() && available.iter().all(is_known)
    }

    /// Returns the load of the service, or `None` if too few gates have reported recently.
    ///
    /// Targets of one data centre are called by the same entries, so the mean of each data
    /// centre stands for its own targets. Otherwise an entry whose near targets are full
    /// would take the few far ones that it has reports of for full as well.
    pub(super) fn inputs(&self, targets: usize, now: Millis) -> Option<Inputs> {
        let by_data_centre = self.weigh_fresh(now);
        let reports: usize = by_data_centre.values().map(|weights| weights.reports).sum();
        if targets == 0 || reports < MIN_REPORTS.min(targets.div_ceil(2)) {
            return None;
        }
        let mut represented = 0.0;
        for (data_centre, weights) in &by_data_centre {
            represented += self.represented(data_centre, weights);
        }
        // Data centres without a recent report count like the mean of the others.
        let scale = targets as f64 / represented;
        let mut inputs = Inputs {
            room_slots: 0.0,
            demand_slots: [0.0; LOAD_CLASSES],
            reports,
            error: self.sampling_error(&by_data_centre, scale / targets as f64),
            mean_age_ms: Millis::ZERO,
            max_age_ms: Millis::ZERO,
        };
        let mut ages_ms = 0;
        for report in self.fresh(now) {
            let weights = by_data_centre[&report.data_centre];
            let represented = self.represented(&report.data_centre, &weights);
            let part = weight(report, now) / weights.sum;
            inputs.add(&report.load, scale * represented * part);
            let age_ms = now.since(report.at);
            ages_ms += age_ms.0;
            inputs.max_age_ms = inputs.max_age_ms.max(age_ms);
        }
        inputs.mean_age_ms = Millis(ages_ms / reports as u64);
        Some(inputs)
    }

    /// Returns the error of a sum of means, each of which stands for the targets of its data
    /// centre. `target_weight` is the weight of one target.
    fn sampling_error(
        &self,
        by_data_centre: &BTreeMap<&DataCentre, Weights>,
        target_weight: f64,
    ) -> f64 {
        let mut variance = 0.0;
        for (data_centre, weights) in by_data_centre {
            let listed = self.listed(data_centre).unwrap_or(weights.reports) as f64;
            // The number of equally weighted reports with the same error.
            let reports = weights.sum.powi(2) / weights.sum_of_squares;
            let missing = 1.0 - reports / listed;
            let represented = self.represented(data_centre, weights);
            variance += (represented * target_weight).powi(2) * missing / reports;
        }
        variance.max(0.0).sqrt()
    }

    /// Returns the number of targets for which the reports of a data centre stand.
    fn represented(&self, data_centre: &DataCentre, weights: &Weights) -> f64 {
        let listed = self.listed(data_centre).unwrap_or(weights.reports) as f64;
        let age = weights.min_age_ms.map_or(0.0, |age_ms| age_ms.0 as f64);
        listed * (-age / DATA_CENTRE_WEIGHT_MS).exp()
    }

    /// Returns the weights of the fresh reports by data centre.
    fn weigh_fresh(&self, now: Millis) -> BTreeMap<&DataCentre, Weights> {
        let mut by_data_centre: BTreeMap<&DataCentre, Weights> = BTreeMap::new();
        for report in self.fresh(now) {
            let weights = by_data_centre.entry(&report.data_centre).or_default();
            let weight = weight(report, now);
            weights.reports += 1;
            let age_ms = now.since(report.at);
            weights.min_age_ms = Some(weights.min_age_ms.map_or(age_ms, |min| min.min(age_ms)));
            weights.sum += weight;
            weights.sum_of_squares += weight * weight;
        }
        by_data_centre
    }

    /// Returns the number of available targets in a data centre, if it is known.
    fn listed(&self, data_centre: &DataCentre) -> Option<usize> {
        self.targets.get(data_centre).map(Vec::len)
    }

    pub(super) fn free_centislots(&self, target: &Member, now: Millis) -> Option<u32> {
        let report = self.by_target.get(&target.id)?;
        let is_same = report.started_at_ms == target.started_at_ms;
        if !is_same || !is_fresh(report, now) {
            return None;
        }
        let demand: u64 = report
            .load
            .demand_centislots
            .iter()
            .copied()
            .map(u64::from)
            .sum();
        let free = u64::from(report.load.room_centislots).saturating_sub(demand);
        Some(u32::try_from(free).expect("the room is the upper bound"))
    }

    pub(super) fn retain(&mut self, members: &Members) {
        self.by_target.retain(|id, report| {
            let listed = members.get(id);
            listed.is_some_and(|member| member.started_at_ms == report.started_at_ms)
        });
    }

    /// Returns the fresh reports of available targets.
    fn fresh(&self, now: Millis) -> impl Iterator<Item = &Report> {
        let reports = self.by_target.iter();
        reports
            .filter(move |(id, report)| is_fresh(report, now) && self.is_available(id, report))
            .map(|(_, report)| report)
    }

    fn is_available(&self, id: &TargetId, report: &Report) -> bool {
        if self.targets.is_empty() {
            return true;
        }
        let ids = self.targets.get(&report.data_centre);
        ids.is_some_and(|ids| ids.binary_search(id).is_ok())
    }
}

/// Returns the weight of a report in a mean, which falls with its age.
fn weight(report: &Report, now: Millis) -> f64 {
    (-(now.since(report.at).0 as f64) / WEIGHT_MS).exp()
}

fn is_fresh(report: &Report, now: Millis) -> bool {
    now.since(report.at) < REPORT_TTL_MS
}

fn slots(centislots: u32) -> f64 {
    f64::from(centislots) / 100.0
}
