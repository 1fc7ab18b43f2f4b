//! A compacted log that holds the latest change of each key in the order of revisions.
//!
//! A new subscriber can always be served from the log. The size of the log depends on the
//! number of listed entries, not on the number of changes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;

use bytes::Bytes;

use crate::prelude::*;
use crate::source::{Change, Fact};

/// Number of removals retained for subscribers that are behind. A subscriber that is
/// further behind reads the source. At a few removals per second this covers minutes.
const MAX_TOMBSTONES: usize = 1_024;

/// Subject of a change. A change replaces earlier changes with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Key {
    Routes,
    Target(TargetId),
    Evacuation(DataCentre),
    /// The listing of this revision.
    Listing(Revision),
}

impl Key {
    fn of(change: &Change) -> Self {
        match &change.fact {
            Fact::Routes(_)
            | Fact::LargeRoutes(_)
            | Fact::RoutesInParts(_)
            | Fact::RoutesByDigest { .. } => Self::Routes,
            Fact::Listed(member) => Self::Target(member.id.clone()),
            Fact::Removed(id) => Self::Target(id.clone()),
            Fact::EvacuationStarted(data_centre) | Fact::EvacuationEnded(data_centre) => {
                Self::Evacuation(data_centre.clone())
            }
            Fact::DerivedFromListing { .. } => Self::Listing(change.revision),
        }
    }
}

/// Position in the log: revision, then order of appending.
type Position = (Revision, u64);

/// The latest change of each key.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    entries: BTreeMap<Position, Bytes>,
    positions: HashMap<Key, Position>,
    /// Removals, ends of evacuations and listings, oldest first. Later changes of the same
    /// key may have replaced some of them.
    tombstones: VecDeque<(Key, Position)>,
    appended: u64,
    /// Removals up to this revision may be missing.
    compacted_to: Revision,
    /// Any change up to this revision may be missing.
    lost_to: Revision,
}

impl ChangeLog {
    /// Appends a change in its encoded form.
    pub(super) fn append(&mut self, change: &Change, encoded: Bytes) {
        self.appended += 1;
        let position = (change.revision, self.appended);
        let key = Key::of(change);
        if let Some(replaced) = self.positions.insert(key.clone(), position) {
            self.entries.remove(&replaced);
        }
        self.entries.insert(position, encoded);
        let adds_no_state = matches!(
            change.fact,
            Fact::Removed(_) | Fact::EvacuationEnded(_) | Fact::DerivedFromListing { .. }
        );
        if adds_no_state {
            self.tombstones.push_back((key, position));
            self.compact();
        }
    }

    /// Records that changes up to this revision cannot be sent to subscribers.
    pub(super) fn note_lost(&mut self, revision: Revision) {
        self.lost_to = self.lost_to.max(revision);
    }

    /// Returns the changes for a subscriber that knows everything up to `revision`, or
    /// `None` if some are missing. A new subscriber needs no removals.
    pub(super) fn after(&self, revision: Revision) -> Option<Vec<Bytes>> {
        let knows_removals = revision == Revision::ZERO || revision >= self.compacted_to;
        if revision < self.lost_to || !knows_removals {
            return None;
        }
        let after = (Bound::Excluded((revision, u64::MAX)), Bound::Unbounded);
        let new = self.entries.range(after);
        Some(new.map(|(_, encoded)| encoded.clone()).collect())
    }

    /// Drops the oldest removals beyond [`MAX_TOMBSTONES`].
    fn compact(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((key, position)) = self.tombstones.pop_front() else {
                return;
            };
            if self.positions.get(&key) != Some(&position) {
                continue;
            }
            self.positions.remove(&key);
            self.entries.remove(&position);
            self.compacted_to = position.0;
        }
    }
}
