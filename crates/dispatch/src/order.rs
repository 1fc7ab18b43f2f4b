//! The order in which an entry asks the targets of a service.

use std::sync::Arc;

use rand::RngExt;
use rand::seq::SliceRandom;

use crate::failures::Failures;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// One in this many requests goes to an avoided target first, so that its
/// recovery is seen without waiting for its score to fade.
const PROBE_ONE_IN: u32 = 24;

/// A target in the order of asking.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The target.
    pub member: Arc<Member>,
    /// It stands in the entry's own data centre.
    pub is_near: bool,
    /// It failed lately; asked only after the others.
    pub is_avoided: bool,
}

/// What an entry knows when it orders targets.
#[derive(Debug)]
pub struct View<'a> {
    /// The targets of the service that take work.
    pub available: &'a [Arc<Member>],
    /// The entry's own data centre.
    pub data_centre: &'a DataCentre,
    /// What is held against targets.
    pub failures: &'a Failures,
    /// Targets to which the request has gone already.
    pub tried: &'a [TargetId],
    /// Now.
    pub now: Millis,
}

/// Orders the targets: sound before avoided, near before far, at random among
/// equals, so that entries do not all lean on the same target.
///
/// Targets whose VM is away are left out while any other remains: asking them
/// costs a connect timeout.
pub fn candidates(view: &View<'_>, rng: &mut impl rand::Rng) -> Vec<Candidate> {
    let mut found = Vec::with_capacity(view.available.len());
    let mut unreachable = Vec::new();
    for member in view.available {
        if view.tried.contains(&member.id) {
            continue;
        }
        let candidate = Candidate {
            is_near: member.data_centre == *view.data_centre,
            is_avoided: view.failures.is_avoided(member, view.now),
            member: Arc::clone(member),
        };
        if view.failures.is_unreachable(member, view.now) {
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
    found.sort_by_key(|candidate| (candidate.is_avoided != is_probe, !candidate.is_near));
    if !is_probe {
        return found;
    }
    // In a trial only the first avoided target moves ahead.
    let mut rest: Vec<Candidate> = Vec::with_capacity(found.len());
    let mut first = None;
    for candidate in found {
        if candidate.is_avoided && first.is_none() {
            first = Some(candidate);
            continue;
        }
        rest.push(candidate);
    }
    rest.sort_by_key(|candidate| (candidate.is_avoided, !candidate.is_near));
    let mut ordered: Vec<Candidate> = first.into_iter().collect();
    ordered.append(&mut rest);
    ordered
}
