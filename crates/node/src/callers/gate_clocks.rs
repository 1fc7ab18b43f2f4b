//! Reckoning on the clocks of gates from the reports on their answers.
//!
//! The reports in heartbeats are not taken. They were read from the gate up to
//! a heartbeat before they were sent, and would make its clock seem slower by
//! that: an entry that had nothing else refused payments that had time enough.

use std::collections::HashMap;

use hornbeamhitch_core::prelude::*;

/// How long the best of the observations counts before it must be renewed: two
/// clocks drift apart by a few milliseconds in that time at most.
const TRUSTED_FOR: Millis = Millis::from_secs(30);

/// The clocks of the gates of one service, by VM.
#[derive(Debug, Default)]
pub struct GateClocks {
    by_vm: HashMap<VmId, Reckoning>,
}

/// One gate's clock relative to this node's, in milliseconds.
///
/// Each report was under way for an unknown time, which makes the gate's clock
/// seem slower by it and never faster. So the greatest difference is the best.
#[derive(Debug)]
struct Reckoning {
    incarnation: Incarnation,
    ahead_ms: i64,
    /// The greatest difference of the span before.
    ahead_before_ms: i64,
    since: Millis,
}

impl GateClocks {
    /// Takes in a report that reached this node at `heard_at`.
    pub fn observe(&mut self, vm: &VmId, report: &LoadReport, heard_at: Millis) {
        let ahead_ms = signed(report.gate_clock_ms) - signed(heard_at);
        let first = Reckoning {
            incarnation: report.incarnation,
            ahead_ms,
            ahead_before_ms: ahead_ms,
            since: heard_at,
        };
        let Some(known) = self.by_vm.get_mut(vm) else {
            self.by_vm.insert(vm.clone(), first);
            return;
        };
        if report.incarnation < known.incarnation {
            return;
        }
        if report.incarnation > known.incarnation {
            *known = first;
            return;
        }
        if heard_at.since(known.since) >= TRUSTED_FOR {
            known.ahead_before_ms = known.ahead_ms;
            known.ahead_ms = ahead_ms;
            known.since = heard_at;
            return;
        }
        known.ahead_ms = known.ahead_ms.max(ahead_ms);
    }

    /// What the clock of one life of a gate shows at least; `None` when nothing
    /// was heard of that life, or a later one was.
    #[must_use]
    pub fn reading(&self, vm: &VmId, life: Incarnation, now: Millis) -> Option<Millis> {
        let known = self.by_vm.get(vm)?;
        if known.incarnation != life {
            return None;
        }
        let ahead_ms = known.ahead_ms.max(known.ahead_before_ms);
        let reading = signed(now).saturating_add(ahead_ms);
        Some(Millis(u64::try_from(reading).unwrap_or(0)))
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
