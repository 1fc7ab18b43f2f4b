//! Tracks the current incarnation of the target and those that have ended.

use std::sync::Arc;

use super::{Gate, GateState};
use crate::prelude::*;

impl Gate {
    /// Discards what was learnt about an earlier incarnation of the target.
    ///
    /// A target that restarts under its id keeps no state. A connection to the earlier
    /// incarnation would break the first payment sent on it, and the learnt speed no
    /// longer applies. The records of non-idempotent calls stay: restarting does not
    /// undo their runs.
    pub(super) fn note_incarnation(&self, state: &mut GateState, member: &Member) {
        let incarnation = member.incarnation();
        if state.incarnation.as_ref() == Some(&incarnation) {
            return;
        }
        if state.incarnation.replace(incarnation).is_some() {
            state.admission.forget_target();
            state.room.forget_target();
            self.target.close_idle();
            self.departure.lock().forget_target();
            log::info!(
                target_id = member.id.as_str();
                "another incarnation of the target is listed"
            );
        }
    }

    /// Whether calls for the given target must be refused because it has left the list,
    /// is draining, its incarnation has ended, or its data centre is evacuated.
    ///
    /// Entries with stale lists still send calls to such a target. All calls pass
    /// through the gate, which reads the list itself and refuses them.
    pub(super) fn rejects_new_work(self: &Arc<Self>, terms: &CallTerms) -> bool {
        let directory = self.directory.load();
        let id = TargetId::new(&terms.target_id);
        if self.departure.lock().has_left(&id) {
            self.look_up_entry_if_due();
            self.check_statement_if_due();
            return true;
        }
        let Some(member) = directory.members.get(&id) else {
            let unlisted = TargetIncarnation {
                id,
                started_at_ms: None,
            };
            return directory.members.has_left(&unlisted.id) || self.has_ended(&unlisted);
        };
        let takes_no_work = member.draining || directory.members.is_evacuated(member);
        takes_no_work || self.has_ended(&member.incarnation())
    }

    /// Whether the target has said that this incarnation of it has ended.
    fn has_ended(&self, incarnation: &TargetIncarnation) -> bool {
        self.state.lock().ended_incarnations.contains(incarnation)
    }

    /// Records that the target's address now belongs to another incarnation. The gate
    /// refuses further calls for the ended one, because each call that reaches the
    /// target counts against the retry budget.
    pub(super) fn note_ended_incarnation(&self, id: &str) {
        /// Number of ended incarnations that are remembered. Fewer end before all
        /// entries have noticed.
        const MAX_ENDED_INCARNATIONS: usize = 16;
        let id = TargetId::new(id);
        let listed = self.directory.load().members.get(&id).cloned();
        let incarnation = TargetIncarnation {
            id,
            started_at_ms: listed.and_then(|member| member.started_at_ms),
        };
        let ended = &mut self.state.lock().ended_incarnations;
        if ended.len() >= MAX_ENDED_INCARNATIONS {
            ended.pop_front();
        }
        ended.push_back(incarnation);
    }
}
