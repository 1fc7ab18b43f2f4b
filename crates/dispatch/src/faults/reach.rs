//! Detects whether this node is cut off from all other VMs.

use std::collections::BTreeSet;
use std::net::IpAddr;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Number of VMs that must have been found unreachable, with none reached since, before a
/// node considers itself cut off. Two VMs that fail at the same time are not a partition.
const MIN_UNREACHABLE_VMS: usize = 3;
/// Time for which, in addition, no other VM must have been reached. Links that broke
/// because their gates ended are reopened within this time.
const MIN_UNREACHED_MS: Millis = Millis(600);

/// Results of a node's own attempts to reach other VMs.
///
/// Guards against calls to a node that cannot serve them. Callers of a VM that is cut off
/// from all others keep sending to it, but it can serve only what its own target runs,
/// and that fails wherever the target needs another service. A node that knows that it is
/// cut off reports that it is not ready, so that callers are sent to nodes that can serve
/// them.
#[derive(Debug, Default)]
pub struct Reachability {
    unreachable: BTreeSet<IpAddr>,
    reached_at: Millis,
}

impl Reachability {
    /// Records that another VM answered.
    pub fn note_reached(&mut self, now: Millis) {
        self.unreachable.clear();
        self.reached_at = now;
    }

    /// Records that no link to a VM could be opened, or that its link stopped answering.
    pub fn note_unreachable(&mut self, vm: IpAddr) {
        self.unreachable.insert(vm);
    }

    /// Returns whether the node is cut off, when `others` VMs are listed beside its own.
    #[must_use]
    pub fn is_partitioned(&self, others: usize, now: Millis) -> bool {
        let threshold = MIN_UNREACHABLE_VMS.min(others).max(1);
        self.unreachable.len() >= threshold && now.since(self.reached_at) >= MIN_UNREACHED_MS
    }
}
