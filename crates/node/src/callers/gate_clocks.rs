//! Reckoning on the clocks of gates from the reports on their answers.
//!
//! The reports in heartbeats are not taken. They were read from the gate up to
//! a heartbeat before they were sent, and would make its clock seem slower by
//! that: an entry that had nothing else refused payments that had time enough.

use std::collections::HashMap;

use hornbeamhitch_core::prelude::*;

/// How long the best of the observations counts before it must be renewed: two
/// clocks drift apart by a few milliseconds in that time at most.
const WINDOW_MS: Millis = Millis::from_secs(30);

/// The clocks of the gates of one service, by VM.
#[derive(Debug, Default)]
pub struct GateClocks {
    by_vm: HashMap<VmId, ClockEstimate>,
}

/// One gate's clock relative to this node's, in milliseconds.
///
/// Each report was under way for an unknown time, which makes the gate's clock
/// seem slower by it and never faster. So the greatest difference is the best.
#[derive(Debug)]
struct ClockEstimate {
    incarnation: Incarnation,
    offset_ms: i64,
    /// The greatest difference of the span before.
    previous_offset_ms: i64,
    since: Millis,
}

impl GateClocks {
    /// Takes in a report that reached this node at `received_at`.
    pub fn observe(&mut self, vm: &VmId, report: &LoadReport, received_at: Millis) {
        let offset_ms = signed(report.gate_clock_ms) - signed(received_at);
        let first = ClockEstimate {
            incarnation: report.incarnation,
            offset_ms,
            previous_offset_ms: offset_ms,
            since: received_at,
        };
        let Some(estimate) = self.by_vm.get_mut(vm) else {
            self.by_vm.insert(vm.clone(), first);
            return;
        };
        if report.incarnation < estimate.incarnation {
            return;
        }
        if report.incarnation > estimate.incarnation {
            *estimate = first;
            return;
        }
        if received_at.since(estimate.since) >= WINDOW_MS {
            estimate.previous_offset_ms = estimate.offset_ms;
            estimate.offset_ms = offset_ms;
            estimate.since = received_at;
            return;
        }
        estimate.offset_ms = estimate.offset_ms.max(offset_ms);
    }

    /// What the clock of one life of a gate shows at least; `None` when nothing
    /// was heard of that life, or a later one was.
    #[must_use]
    pub fn lower_bound(&self, vm: &VmId, incarnation: Incarnation, now: Millis) -> Option<Millis> {
        let estimate = self.by_vm.get(vm)?;
        if estimate.incarnation != incarnation {
            return None;
        }
        let offset_ms = estimate.offset_ms.max(estimate.previous_offset_ms);
        let lower_bound = signed(now).saturating_add(offset_ms);
        Some(Millis(u64::try_from(lower_bound).unwrap_or(0)))
    }

    /// Forgets gates that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&VmId) -> bool) {
        self.by_vm.retain(|vm, _| is_known(vm));
    }
}

fn signed(at: Millis) -> i64 {
    i64::try_from(at.0).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
