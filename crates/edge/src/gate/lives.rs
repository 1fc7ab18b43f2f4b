//! Which life of the target this is, and which it no longer is.

use std::sync::Arc;

use super::{Gate, GateState};
use crate::prelude::*;

impl Gate {
    /// Forgets what was learnt of an earlier life of the target.
    ///
    /// Failure answered: a target starts again under its id and holds nothing of
    /// before. A connection to the earlier life would break the first payment sent
    /// on it, and what was learnt of its speed does not hold. The records of calls
    /// that may run only once stay: those that ran have run.
    pub(super) fn note_life(&self, state: &mut GateState, member: &Member) {
        let life = member.incarnation();
        if state.life.as_ref() == Some(&life) {
            return;
        }
        if state.life.replace(life).is_some() {
            state.admission.forget_target();
            self.target.close_idle();
            log::info!(target_id = member.id.as_str(); "another life of the target is listed");
        }
    }

    /// Whether work for this life of the target is refused.
    ///
    /// Failure answered: a target that has left the list, or drains, gets work
    /// from entries that have not heard of it. The gate reads the list too, and
    /// nothing reaches the target but through it.
    pub(super) fn takes_no_more(self: &Arc<Self>, terms: &CallTerms) -> bool {
        let directory = self.directory.load();
        let id = TargetId::new(&terms.target_id);
        if self.departure.lock().has_left(&id) {
            self.look_up_when_due();
            return true;
        }
        let Some(member) = directory.members.get(&id) else {
            let unlisted = TargetIncarnation {
                id,
                started_at_ms: None,
            };
            return directory.members.has_left(&unlisted.id) || self.has_ended(&unlisted);
        };
        member.draining || self.has_ended(&member.incarnation())
    }

    /// Whether the target said that it is no longer this life of it.
    fn has_ended(&self, life: &TargetIncarnation) -> bool {
        self.state.lock().ended_lives.contains(life)
    }

    /// The target's address belongs to another life of it. Further calls for the
    /// ended one are refused here: each that reached the target would count
    /// against the retry budget.
    pub(super) fn note_ended_life(&self, id: &str) {
        /// Lives that end within the time until all entries have heard of it.
        const MAX_ENDED_LIVES: usize = 16;
        let id = TargetId::new(id);
        let listed = self.directory.load().members.get(&id).cloned();
        let life = TargetIncarnation {
            id,
            started_at_ms: listed.and_then(|member| member.started_at_ms),
        };
        let lives = &mut self.state.lock().ended_lives;
        if lives.len() >= MAX_ENDED_LIVES {
            lives.pop_front();
        }
        lives.push_back(life);
    }
}
