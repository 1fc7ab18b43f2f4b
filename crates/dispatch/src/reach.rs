//! Whether this node still reaches the others.

use std::collections::BTreeSet;
use std::net::IpAddr;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// So many VMs must have been found unreachable, with none reached since, before
/// a node takes itself for cut off: two that die together are no partition.
const MIN_UNREACHABLE_VMS: usize = 3;
/// And none must have been reached for this long: links that broke with their
/// gates are opened anew within it.
const MIN_UNREACHED_MS: Millis = Millis(600);

/// What a node's own attempts say of its way to others.
///
/// Failure answered: a VM is cut off from all others and its callers go on
/// sending to it. It can serve only what its own target runs, and that fails
/// wherever the target needs another. A node that knows it is cut off says that
/// it is not ready, so that callers are sent to nodes that can serve them.
#[derive(Debug, Default)]
pub struct Reachability {
    unreachable: BTreeSet<IpAddr>,
    reached_at: Millis,
}

impl Reachability {
    /// Another VM answered.
    pub fn note_reached(&mut self, now: Millis) {
        self.unreachable.clear();
        self.reached_at = now;
    }

    /// No link to a VM could be had, or it fell silent.
    pub fn note_unreachable(&mut self, vm: IpAddr) {
        self.unreachable.insert(vm);
    }

    /// Whether the node is cut off. `others` VMs are listed beside its own.
    #[must_use]
    pub fn is_partitioned(&self, others: usize, now: Millis) -> bool {
        let threshold = MIN_UNREACHABLE_VMS.min(others).max(1);
        self.unreachable.len() >= threshold && now.since(self.reached_at) >= MIN_UNREACHED_MS
    }
}
