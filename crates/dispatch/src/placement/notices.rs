//! What targets stated about themselves in the answers that an entry received.
//!
//! An entry chooses no target that has stated that it leaves, and tells the limits that it
//! has received to the gates, which may have restarted since.

use std::collections::HashMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Time for which a departure counts after it was last received. The target ends earlier; a
/// target that is still listed afterwards may have been wrong about it.
const LEAVING_TTL_MS: Millis = Millis::from_secs(60);

/// The latest statements of each incarnation of a target.
#[derive(Debug, Default)]
pub struct TargetNotices {
    by_incarnation: HashMap<TargetIncarnation, Received>,
}

#[derive(Clone, Copy, Debug)]
struct Received {
    notice: TargetNotice,
    at: Millis,
}

impl TargetNotices {
    /// Records the statements in an answer to a request of `asked_at`.
    pub fn note(&mut self, target: &Member, notice: TargetNotice, asked_at: Millis, now: Millis) {
        let incarnation = target.incarnation();
        let known = self.by_incarnation.get(&incarnation);
        if notice == TargetNotice::default() {
            // The target may have begun an older answer before it made its statement.
            if known.is_some_and(|received| asked_at >= received.at) {
                self.by_incarnation.remove(&incarnation);
            }
            return;
        }
        let received = Received { notice, at: now };
        self.by_incarnation.insert(incarnation, received);
    }

    /// Returns the latest statements of the target.
    #[must_use]
    pub fn of(&self, target: &Member) -> TargetNotice {
        let received = self.by_incarnation.get(&target.incarnation());
        received.map_or_else(TargetNotice::default, |received| received.notice)
    }

    /// Returns whether the target has stated that it leaves.
    #[must_use]
    pub fn is_leaving(&self, target: &Member, now: Millis) -> bool {
        let received = self.by_incarnation.get(&target.incarnation());
        received.is_some_and(|received| {
            received.notice.is_leaving && now.since(received.at) < LEAVING_TTL_MS
        })
    }

    /// Discards incarnations that are no longer listed.
    pub fn retain(&mut self, members: &Members) {
        self.by_incarnation
            .retain(|incarnation, _| members.contains(incarnation));
    }
}
