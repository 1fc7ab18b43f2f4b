//! The core's own target selection.

use std::sync::Arc;

use hornbeamhitch_core::entry::EntryService;

use super::{Policy, Truth, position_of};
use crate::prelude::*;

#[derive(Debug)]
pub(super) struct CorePolicy {
    core: EntryService,
    view: Arc<ServiceView>,
}

impl CorePolicy {
    pub(super) fn new(core: EntryService, view: Arc<ServiceView>) -> Self {
        Self { core, view }
    }
}

impl Policy for CorePolicy {
    fn pick(&mut self, request: &PickRequest<'_>, truth: &Truth<'_>) -> Result<Pick, Refusal> {
        self.core.pick(request, truth.now.floor_millis())
    }

    fn pick_ticket_gate(
        &mut self,
        key: CallKey,
        maker: KeyMaker,
        truth: &Truth<'_>,
    ) -> Result<VmId, Refusal> {
        let now = truth.now.floor_millis();
        let gate = match maker {
            KeyMaker::Entry => self.core.ticket_gate_in_turn(now)?,
            KeyMaker::Caller => self.core.ticket_gate(key, now)?,
        };
        Ok(gate.vm)
    }

    fn has_free_slot(&self, _truth: &Truth<'_>) -> bool {
        true
    }

    fn finish(&mut self, pick: &Pick, outcome: &AttemptOutcome, now: Millis) {
        self.core.finish(pick, outcome, now);
    }

    fn update(&mut self, view: Arc<ServiceView>, now: Millis) {
        self.view = Arc::clone(&view);
        self.core.update(view, now);
    }

    fn core(&mut self) -> &mut EntryService {
        &mut self.core
    }

    fn host_of(&self, target: TargetIndex) -> usize {
        let target = self.core.target(target);
        let target = target.expect("a target of a run stays in its views");
        position_of(&self.view, &target.vm)
    }
}
