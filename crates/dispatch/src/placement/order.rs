//! Order in which an entry tries the targets of a service.

use std::sync::Arc;

use rand::RngExt;
use rand::seq::SliceRandom;

use crate::faults::failures::Failures;
use crate::faults::silence::SilentVms;
use crate::placement::notices::TargetNotices;
use crate::placement::refusals::{Refusals, Throttle};
use crate::prelude::*;
use crate::routing::regions::Regions;

#[cfg(test)]
mod tests;

/// One in this many requests is sent to an avoided target first, as a half-open probe, so
/// that its recovery is noticed before its failure score decays.
const PROBE_ONE_IN: u32 = 24;

/// Weight of a target without free capacity, whose report may be outdated: one slot.
const MIN_WEIGHT_CENTISLOTS: u32 = 100;
/// Resolution of weighted draws.
const RANKS: f64 = 1e12;

/// A target, with the properties that decide its position in the order.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The target.
    pub member: Arc<Member>,
    /// Whether it is in the entry's own data centre.
    pub is_near: bool,
    /// Whether it failed recently; such targets are tried after all others.
    pub is_avoided: bool,
    /// Whether other nodes reported that its VM is silent; such targets are tried last.
    pub is_demoted: bool,
    /// When its gate can accept the next call, if it cannot yet.
    pub throttle: Option<Throttle>,
}

impl Candidate {
    /// When the gate can accept the next call; `None` if it may do so now.
    fn free_at(&self) -> Option<Millis> {
        self.throttle.map(|throttle| throttle.free_at)
    }
}

/// Input for ordering the targets of one request.
#[derive(Debug)]
pub struct View<'a> {
    /// Targets of the service that take new work.
    pub available: &'a [Arc<Member>],
    /// Route of the request.
    pub route: &'a Route,
    /// Regions of the data centres.
    pub regions: &'a Regions,
    /// The entry's own data centre.
    pub data_centre: &'a DataCentre,
    /// Recent failures of the targets.
    pub failures: &'a Failures,
    /// Recent refusals of the targets' gates.
    pub refusals: &'a Refusals,
    /// What the targets stated about themselves.
    pub notices: &'a TargetNotices,
    /// The silent VMs, if any are known.
    pub silent: Option<&'a SilentVms>,
    /// Targets to which the request was sent before.
    pub tried: &'a [TargetId],
    /// The current time.
    pub now: Millis,
}

impl View<'_> {
    fn is_silent(&self, member: &Member) -> bool {
        self.silent
            .is_some_and(|silent| silent.is_silent(member.vm_ip(), self.now))
    }

    fn demoted(&self) -> Vec<&TargetId> {
        match self.silent {
            Some(silent) => silent.demoted(self.available, self.now),
            None => Vec::new(),
        }
    }
}

/// Orders the targets: those of silent VMs last, healthy before avoided ones, those whose
/// gates accept calls before those whose gates do not yet, near before far ones, and at random
/// among equals, so that entries do not all choose the same target.
///
/// Targets whose VM is unreachable, or silent by own observation, are left out while any
/// other remains, since trying one costs a timeout.
pub fn candidates(view: &View<'_>, rng: &mut impl rand::Rng) -> Vec<Candidate> {
    let mut found = Vec::with_capacity(view.available.len());
    let mut unreachable = Vec::new();
    let demoted = view.demoted();
    for member in view.available {
        if view.tried.contains(&member.id) {
            continue;
        }
        if !view.regions.allows(view.route, &member.data_centre) {
            continue;
        }
        if view.notices.is_leaving(member, view.now) {
            continue;
        }
        let candidate = Candidate {
            is_near: member.data_centre == *view.data_centre,
            is_avoided: view.failures.is_avoided(member, view.now),
            is_demoted: demoted.contains(&&member.id),
            throttle: view.refusals.throttle(member, view.now),
            member: Arc::clone(member),
        };
        if view.failures.is_unreachable(member, view.now) || view.is_silent(member) {
            unreachable.push(candidate);
            continue;
        }
        found.push(candidate);
    }
    if found.is_empty() {
        found = unreachable;
    }
    found.shuffle(rng);
    let is_probe = rng.random_range(0..PROBE_ONE_IN) == 0;
    found.sort_by_key(|candidate| {
        let is_last = candidate.is_avoided != is_probe;
        let order = (is_last, candidate.free_at(), !candidate.is_near);
        (candidate.is_demoted, order)
    });
    if !is_probe {
        return found;
    }
    // A probe moves only the first avoided target ahead.
    let mut rest: Vec<Candidate> = Vec::with_capacity(found.len());
    let mut first = None;
    for candidate in found {
        if candidate.is_avoided && !candidate.is_demoted && first.is_none() {
            first = Some(candidate);
            continue;
        }
        rest.push(candidate);
    }
    rest.sort_by_key(|candidate| {
        let is_last = candidate.is_avoided;
        let order = (is_last, candidate.free_at(), !candidate.is_near);
        (candidate.is_demoted, order)
    });
    let mut ordered: Vec<Candidate> = first.into_iter().collect();
    ordered.append(&mut rest);
    ordered
}

/// Reorders the targets for a call that tries only few of them: near before far ones, and by a
/// draw that is weighted with their free capacity, those with the most first on average.
///
/// If all calls went to the gate with the most free capacity, it would be full before its next
/// report, and the reports of the others would grow old and show too much demand.
///
/// While no near gate has free capacity, far ones that have go first, and the last attempt
/// goes to a far one that has not reported recently. Otherwise an entry in a full data centre
/// would never hear of free capacity in another one.
///
/// Avoided targets and those whose gates accept no calls yet stay last, and a probe of an
/// avoided target stays first.
pub fn by_free_capacity(
    mut candidates: Vec<Candidate>,
    attempts: usize,
    free_centislots: impl Fn(&Member) -> Option<u32>,
    rng: &mut impl rand::Rng,
) -> Vec<Candidate> {
    let may_be_free = |candidate: &Candidate| free_centislots(&candidate.member) != Some(0);
    let is_unknown = |candidate: &Candidate| free_centislots(&candidate.member).is_none();
    let is_near_full = !candidates
        .iter()
        .any(|candidate| candidate.is_near && may_be_free(candidate));
    let is_probe = |candidate: &Candidate| candidate.is_avoided;
    let has_probe = candidates.first().is_some_and(is_probe) && !candidates.iter().all(is_probe);
    let rest = &mut candidates[usize::from(has_probe)..];
    rest.sort_by_cached_key(|candidate| {
        let free_centislots = free_centislots(&candidate.member).unwrap_or(0);
        let is_first = match is_near_full {
            true => free_centislots > 0,
            false => candidate.is_near,
        };
        let free_at = candidate.free_at();
        let draw = weighted_draw(free_centislots, rng);
        (
            candidate.is_demoted,
            candidate.is_avoided,
            free_at,
            !is_first,
            !candidate.is_near,
            draw,
        )
    });
    let is_usable = |candidate: &Candidate| !candidate.is_avoided && candidate.throttle.is_none();
    let unknown = candidates
        .iter()
        .position(|candidate| !candidate.is_near && is_usable(candidate) && is_unknown(candidate));
    if let Some(unknown) = unknown.filter(|unknown| is_near_full && *unknown >= attempts) {
        candidates.swap(unknown, attempts - 1);
    }
    candidates
}

/// Draws a rank that is the lowest one with a probability in proportion to the capacity.
fn weighted_draw(free_centislots: u32, rng: &mut impl rand::Rng) -> u64 {
    let draw: f64 = rng.random();
    let weight = f64::from(free_centislots.max(MIN_WEIGHT_CENTISLOTS));
    (-(1.0 - draw).ln() / weight * RANKS) as u64
}
