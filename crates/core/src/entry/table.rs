//! All targets of a service, sorted by whether they may currently be used.

use std::collections::HashMap;

use crate::entry::TargetIndex;
use crate::entry::ejection::max_ejected;
use crate::entry::target::{Target, Tier};
use crate::entry::target_stats::ramp_after;
use crate::prelude::*;

/// Targets by index, grouped into tiers.
///
/// The tiers are lists that are rebuilt when a target changes its tier, which
/// is rare. A pick reads a list and does not need to check each target.
#[derive(Debug)]
pub(crate) struct TargetTable {
    targets: Vec<Target>,
    by_vm: HashMap<VmId, u32>,
    free: Vec<u32>,
    pub(crate) ready: Vec<u32>,
    pub(crate) doubtful: Vec<u32>,
    pub(crate) ejected: Vec<u32>,
    /// Time of the earliest pending trial; `MAX` if there is none.
    next_trial_at: Millis,
    /// When the longest-known usable target was first seen.
    earliest_seen: Millis,
    /// When the newest target will have finished its warm-up.
    warm_at: Millis,
}

impl TargetTable {
    pub(crate) fn new() -> Self {
        Self {
            targets: Vec::new(),
            by_vm: HashMap::new(),
            free: Vec::new(),
            ready: Vec::new(),
            doubtful: Vec::new(),
            ejected: Vec::new(),
            next_trial_at: Millis::MAX,
            earliest_seen: Millis::MAX,
            warm_at: Millis::ZERO,
        }
    }

    /// Applies the targets of a view. Other targets are kept only while
    /// attempts are in flight there.
    pub(crate) fn update(&mut self, view: &ServiceView, now: Millis) {
        for target in &mut self.targets {
            target.view_position = None;
        }
        for (position, target_view) in view.targets.iter().enumerate() {
            let index = self.index_for(target_view, now);
            self.targets[index as usize].update(target_view, position as u32, now);
        }
        for index in 0..self.targets.len() {
            self.release_if_gone(index as u32);
        }
        self.rebuild(&view.policy, now);
    }

    pub(crate) fn get(&self, index: TargetIndex) -> Option<&Target> {
        self.targets.get(index.0 as usize)
    }

    pub(crate) fn get_mut(&mut self, index: TargetIndex) -> Option<&mut Target> {
        self.targets.get_mut(index.0 as usize)
    }

    /// Returns the target for an index from a tier.
    pub(crate) fn at(&self, index: u32) -> &Target {
        &self.targets[index as usize]
    }

    pub(crate) fn find(&self, vm: &VmId) -> Option<TargetIndex> {
        self.by_vm.get(vm).map(|index| TargetIndex(*index))
    }

    /// Returns the number of targets that accept work, including ejected
    /// targets that may be tried.
    pub(crate) fn usable_targets(&self) -> usize {
        if self.ready.is_empty() {
            return self.doubtful.len() + self.ejected.len();
        }
        self.ready.len() + self.ejected.len()
    }

    /// Returns the tier to which first attempts go.
    pub(crate) fn first_tier(&self) -> &[u32] {
        if self.ready.is_empty() {
            return &self.doubtful;
        }
        &self.ready
    }

    /// Counts a ticket issued for a gate: it is one ticket ahead, and all gates
    /// of the tier fall back by an equal share.
    pub(crate) fn count_ticket(&mut self, named: TargetIndex) {
        let tier = match self.ready.is_empty() {
            true => &self.doubtful,
            false => &self.ready,
        };
        let share = 1.0 / tier.len().max(1) as f32;
        for index in tier {
            self.targets[*index as usize].advance_tickets(-share);
        }
        self.targets[named.0 as usize].advance_tickets(1.0);
    }

    /// Whether every target has finished its warm-up.
    pub(crate) fn all_warm(&self, now: Millis) -> bool {
        now >= self.warm_at
    }

    /// Returns a target's warm-up share relative to that of the warmest target.
    /// If all targets are equally new, as when this node has just started, none
    /// is restricted.
    pub(crate) fn relative_ramp(&self, target: &Target, ramp_ms: Millis, now: Millis) -> f32 {
        let warmest = ramp_after(now.since(self.earliest_seen), ramp_ms);
        (target.stats.ramp(ramp_ms, now) / warmest).min(1.0)
    }

    /// Returns an ejected target whose trial is due and marks it as under
    /// trial.
    pub(crate) fn start_due_trial(&mut self, now: Millis) -> Option<TargetIndex> {
        if now < self.next_trial_at {
            return None;
        }
        for position in 0..self.ejected.len() {
            let index = self.ejected[position];
            let target = &mut self.targets[index as usize];
            if target.is_doubtful() {
                continue;
            }
            if target.health.trial_at().is_none_or(|at| now < at) {
                continue;
            }
            target.health.start_trial();
            self.find_next_trial();
            return Some(TargetIndex(index));
        }
        self.find_next_trial();
        None
    }

    /// Removes a target that has left the view once no attempts are in flight
    /// there.
    pub(crate) fn release_if_gone(&mut self, index: u32) {
        let target = &self.targets[index as usize];
        if target.view_position.is_some() || target.stats.in_flight() > 0 {
            return;
        }
        if self.by_vm.get(&target.vm) != Some(&index) {
            return;
        }
        self.by_vm.remove(&target.vm);
        self.free.push(index);
    }

    /// Ejects a target with enough failures if the maximum ejected share allows
    /// it. If that share is exhausted, a much worse target replaces the least
    /// bad ejected one.
    pub(crate) fn eject_if_failing(
        &mut self,
        index: TargetIndex,
        policy: &ServicePolicy,
        now: Millis,
    ) {
        let target = &self.targets[index.0 as usize];
        if target.tier() == Tier::Closed || !target.health.should_eject(&policy.ejection) {
            return;
        }
        let taking_work = self.ready.len() + self.doubtful.len() + self.ejected.len();
        let allowed = max_ejected(taking_work, policy.ejection.max_ejected_share);
        if self.ejected.len() >= allowed {
            let Some(least_bad) = self.least_bad_ejected() else {
                return;
            };
            let ejected = &self.targets[least_bad as usize].health;
            if !target.health.is_much_worse_than(ejected) {
                return;
            }
            self.targets[least_bad as usize].health.readmit(now);
        }
        let target = &mut self.targets[index.0 as usize];
        target.health.eject(&policy.ejection, now);
        self.rebuild(policy, now);
    }

    /// Sorts the targets into tiers again.
    pub(crate) fn rebuild(&mut self, policy: &ServicePolicy, now: Millis) {
        self.sort_into_tiers();
        self.readmit_above_share(policy, now);
        self.find_next_trial();
        self.find_ramp_times(policy.cold_ramp_ms);
    }

    fn index_for(&mut self, view: &TargetView, now: Millis) -> u32 {
        if let Some(index) = self.by_vm.get(&view.vm) {
            return *index;
        }
        let index = match self.free.pop() {
            Some(index) => {
                let generation = self.targets[index as usize].generation.wrapping_add(1);
                self.targets[index as usize] = Target::new(view, generation, now);
                index
            }
            None => {
                self.targets.push(Target::new(view, 0, now));
                (self.targets.len() - 1) as u32
            }
        };
        self.by_vm.insert(view.vm.clone(), index);
        index
    }

    fn sort_into_tiers(&mut self) {
        self.ready.clear();
        self.doubtful.clear();
        self.ejected.clear();
        for (index, target) in self.targets.iter().enumerate() {
            let list = match target.tier() {
                Tier::Ready => &mut self.ready,
                Tier::Doubtful => &mut self.doubtful,
                Tier::Ejected => &mut self.ejected,
                Tier::Closed => continue,
            };
            list.push(index as u32);
        }
    }

    /// Readmits targets while more are ejected than allowed. Otherwise, if one
    /// target is ejected and then the others leave, calls to the service would
    /// be refused although a target is available.
    fn readmit_above_share(&mut self, policy: &ServicePolicy, now: Millis) {
        loop {
            let taking_work = self.ready.len() + self.doubtful.len() + self.ejected.len();
            let allowed = max_ejected(taking_work, policy.ejection.max_ejected_share);
            if self.ejected.len() <= allowed {
                return;
            }
            let Some(least_bad) = self.least_bad_ejected() else {
                return;
            };
            self.targets[least_bad as usize].health.readmit(now);
            self.sort_into_tiers();
        }
    }

    fn least_bad_ejected(&self) -> Option<u32> {
        let failures = |index: &&u32| self.at(**index).health.consecutive_failures();
        self.ejected.iter().min_by_key(failures).copied()
    }

    pub(crate) fn find_next_trial(&mut self) {
        self.next_trial_at = Millis::MAX;
        for index in &self.ejected {
            let target = &self.targets[*index as usize];
            if target.is_doubtful() {
                continue;
            }
            if let Some(at) = target.health.trial_at() {
                self.next_trial_at = self.next_trial_at.min(at);
            }
        }
    }

    fn find_ramp_times(&mut self, cold_ramp_ms: Millis) {
        self.earliest_seen = Millis::MAX;
        self.warm_at = Millis::ZERO;
        for index in self.ready.iter().chain(&self.doubtful) {
            let seen = self.targets[*index as usize].stats.first_seen();
            self.earliest_seen = self.earliest_seen.min(seen);
            self.warm_at = self.warm_at.max(seen + cold_ramp_ms);
        }
    }
}
