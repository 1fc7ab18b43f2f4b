//! Acts on what the target states about itself in its answers and health checks.

use hornbeamhitch_dispatch::gate::stated_limit::LimitSource;

use super::{Gate, GateState};
use crate::prelude::*;

/// The statements in one message of the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Statement {
    pub(super) source: LimitSource,
    pub(super) notice: TargetNotice,
    /// Whether the message has a successful status. Others may lack the statements.
    pub(super) is_success: bool,
    /// When the request was sent that the message answers.
    pub(super) asked_at: Millis,
}

impl Gate {
    /// Records what this target states in a message, and logs what changes.
    pub(super) fn note_statement(&self, id: &TargetId, statement: &Statement) {
        let now = self.clock.now();
        let Statement {
            source,
            notice,
            is_success,
            asked_at,
        } = *statement;
        let limit = notice.max_requests_per_1000_s;
        if is_success || limit.is_some() {
            let mut state = self.state.lock();
            let stated_limit = state.admission.stated_limit();
            if stated_limit.note(source, limit, asked_at, now) {
                log_limit(stated_limit.per_1000_s());
                self.changed.notify_waiters();
            }
        }
        if !is_success && !notice.is_leaving {
            return;
        }
        let mut departure = self.departure.lock();
        if departure.note_statement(id, notice.is_leaving, asked_at, now) {
            let target_id = id.as_str();
            match notice.is_leaving {
                true => log::info!(target_id; "the target states that it leaves"),
                false => log::info!(target_id; "the target no longer states that it leaves"),
            }
            self.changed.notify_waiters();
        }
    }

    /// Records what an entry has received from the target, which counts until the target
    /// answers a request of this process.
    pub(super) fn note_entry_notice(&self, state: &mut GateState, notice: &TargetNotice) {
        let stated_limit = state.admission.stated_limit();
        if stated_limit.note_from_entry(notice.max_requests_per_1000_s, self.clock.now()) {
            log_limit(stated_limit.per_1000_s());
        }
    }
}

fn log_limit(per_1000_s: Option<u64>) {
    match per_1000_s {
        Some(max_requests_per_1000_s) => {
            log::info!(max_requests_per_1000_s; "the target limits its requests");
        }
        None => log::info!("the target no longer limits its requests"),
    }
}
