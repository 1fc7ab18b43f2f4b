//! Estimates the clocks of gates from the load reports in their answers.
//!
//! Load reports in heartbeats are ignored. They are read from the gate up to
//! one heartbeat interval before they are sent, which makes its clock seem
//! slower by that time. An entry that used them refused payments that had
//! enough time.

use std::collections::HashMap;

use hornbeamhitch_core::prelude::*;

/// How long the highest observed offset is used before it must be observed
/// again. Two clocks drift apart by a few milliseconds at most in this time.
const WINDOW_MS: Millis = Millis::from_secs(30);

/// Clock estimates of the gates of one service, by VM.
#[derive(Debug, Default)]
pub struct GateClocks {
    by_vm: HashMap<VmId, ClockEstimate>,
}

/// The offset of one gate's clock from this node's clock, in milliseconds.
///
/// Each report spends an unknown time in transit, which makes the gate's clock
/// seem slower by that time and never faster. The highest offset is therefore
/// the most accurate.
#[derive(Debug)]
struct ClockEstimate {
    incarnation: Incarnation,
    offset_ms: i64,
    /// The highest offset of the previous window.
    previous_offset_ms: i64,
    since: Millis,
}

impl GateClocks {
    /// Updates the estimate with a report that reached this node at
    /// `received_at`.
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

    /// Returns a lower bound of the time on the clock of one incarnation of a
    /// gate; `None` if no report of that incarnation was received, or one of a
    /// later incarnation was.
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

    /// Removes the estimates of gates that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&VmId) -> bool) {
        self.by_vm.retain(|vm, _| is_known(vm));
    }
}

fn signed(at: Millis) -> i64 {
    i64::try_from(at.0).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
