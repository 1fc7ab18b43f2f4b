//! The immutable set of marks that traffic threads read.

use super::{Mark, SuspicionLevel};

/// One fingerprint and its mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct MarkedFingerprint {
    fingerprint: u64,
    mark: Mark,
}

/// An immutable set of suspicion levels by fingerprint, published to traffic
/// threads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectSet {
    /// Sorted by fingerprint.
    marked: Vec<MarkedFingerprint>,
}

impl SuspectSet {
    /// Adds a mark. The fingerprint must be higher than all those in the set.
    pub(crate) fn push(&mut self, fingerprint: u64, mark: Mark) {
        debug_assert!(
            self.marked
                .last()
                .is_none_or(|last| last.fingerprint < fingerprint)
        );
        self.marked.push(MarkedFingerprint { fingerprint, mark });
    }

    /// Returns the suspicion level of a fingerprint.
    #[must_use]
    pub fn level(&self, fingerprint: u64) -> SuspicionLevel {
        self.mark(fingerprint).level
    }

    /// Whether the set is empty, which is the usual case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marked.is_empty()
    }

    /// Returns the number of fingerprints with this level.
    #[must_use]
    pub fn count(&self, level: SuspicionLevel) -> usize {
        let mut count = 0;
        for entry in &self.marked {
            count += usize::from(entry.mark.level == level);
        }
        count
    }

    /// Returns every fingerprint with its level, ordered by fingerprint.
    pub fn iter(&self) -> impl Iterator<Item = (u64, SuspicionLevel)> + '_ {
        self.marked
            .iter()
            .map(|entry| (entry.fingerprint, entry.mark.level))
    }

    pub(crate) fn mark(&self, fingerprint: u64) -> Mark {
        let found = self
            .marked
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint);
        match found {
            Ok(index) => self.marked[index].mark,
            Err(_) => Mark::default(),
        }
    }
}
