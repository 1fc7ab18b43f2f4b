//! A baseline policy: a simple chooser with the core's retries and hedges.

use std::sync::Arc;

use hornbeamhitch_core::entry::EntryService;

use super::choosers::Chooser;
use super::{Policy, Truth};
use crate::prelude::*;

/// A target as choosers see it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) index: TargetIndex,
    pub(super) host: usize,
    pub(super) distance_us: u32,
    pub(super) own_in_flight: u32,
    pub(super) load: Option<LoadReport>,
    usable: bool,
}

#[derive(Debug)]
pub(super) struct Baseline {
    core: EntryService,
    candidates: Vec<Candidate>,
    chooser: Box<dyn Chooser>,
    /// Buffer that is reused by all picks.
    eligible: Vec<Candidate>,
    view: Arc<ServiceView>,
}

impl Baseline {
    pub(super) fn new(
        core: EntryService,
        view: Arc<ServiceView>,
        chooser: Box<dyn Chooser>,
    ) -> Self {
        let mut candidates = Vec::with_capacity(view.targets.len());
        for (host, target) in view.targets.iter().enumerate() {
            let found = core.target_on(&target.vm);
            let (index, _) = found.expect("the core knows every VM of its view");
            candidates.push(Candidate {
                index,
                host,
                distance_us: target.distance_us,
                own_in_flight: 0,
                load: None,
                usable: is_usable(target),
            });
        }
        Self {
            core,
            candidates,
            chooser,
            eligible: Vec::new(),
            view,
        }
    }

    fn choose(&mut self, exclude: &[TargetIndex], truth: &Truth<'_>) -> Result<Candidate, Refusal> {
        self.eligible.clear();
        for candidate in &self.candidates {
            if !candidate.usable || exclude.contains(&candidate.index) {
                continue;
            }
            self.eligible.push(*candidate);
        }
        if self.eligible.is_empty() {
            let retry_after_ms = self.core.retry_after_ms(truth.now.floor_millis());
            return Err(Refusal::retry_after(ResultCode::NoTarget, retry_after_ms));
        }
        let position = self.chooser.choose(&self.eligible, truth);
        Ok(self.eligible[position])
    }

    /// Lets the core pick a target for the first attempt and cancels that pick.
    ///
    /// The core's retry and hedge budgets grow with the first attempts that it picks
    /// itself, and a baseline must have the same budgets.
    fn credit_budgets(&mut self, request: &PickRequest<'_>, now: Millis) {
        let Ok(pick) = self.core.pick(request, now) else {
            return;
        };
        let cancelled = AttemptOutcome {
            end: AttemptEnd::Cancelled,
            latency_us: 0,
            load: None,
        };
        self.core.finish(&pick, &cancelled, now);
    }

    fn candidate_mut(&mut self, index: TargetIndex) -> Option<&mut Candidate> {
        self.candidates
            .iter_mut()
            .find(|candidate| candidate.index == index)
    }
}

impl Policy for Baseline {
    fn pick(&mut self, request: &PickRequest<'_>, truth: &Truth<'_>) -> Result<Pick, Refusal> {
        let now = truth.now.floor_millis();
        if request.exclude.is_empty() {
            self.credit_budgets(request, now);
        }
        let chosen = self.choose(request.exclude, truth)?;
        if let Some(candidate) = self.candidate_mut(chosen.index) {
            candidate.own_in_flight += 1;
        }
        Ok(self.core.pick_fixed(chosen.index, now))
    }

    fn pick_ticket_gate(
        &mut self,
        _key: CallKey,
        _maker: KeyMaker,
        truth: &Truth<'_>,
    ) -> Result<VmId, Refusal> {
        let chosen = self.choose(&[], truth)?;
        Ok(self.view.targets[chosen.host].vm.clone())
    }

    fn has_free_slot(&self, truth: &Truth<'_>) -> bool {
        self.chooser.has_free_slot(truth)
    }

    fn finish(&mut self, pick: &Pick, outcome: &AttemptOutcome, now: Millis) {
        if let Some(candidate) = self.candidate_mut(pick.target) {
            candidate.own_in_flight = candidate.own_in_flight.saturating_sub(1);
            candidate.load = outcome.load.or(candidate.load);
        }
        self.core.finish(pick, outcome, now);
    }

    fn update(&mut self, view: Arc<ServiceView>, now: Millis) {
        for candidate in &mut self.candidates {
            candidate.usable = is_usable(&view.targets[candidate.host]);
        }
        self.view = Arc::clone(&view);
        self.core.update(view, now);
    }

    fn core(&mut self) -> &mut EntryService {
        &mut self.core
    }

    fn host_of(&self, target: TargetIndex) -> usize {
        let found = self
            .candidates
            .iter()
            .find(|candidate| candidate.index == target);
        found.expect("a baseline picks its own candidates").host
    }
}

fn is_usable(target: &TargetView) -> bool {
    !target.leaving && !target.doubtful
}
