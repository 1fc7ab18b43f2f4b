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

/// Orders the targets: those of silent VMs last, healthy before avoided ones, those whose gates accept calls before
/// those whose gates do not yet, near before far ones, and at random among equals, so that
/// entries do not all choose the same target.
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
