//! The immutable set of marks that traffic reads.

use super::{Mark, Standing};

/// One fingerprint with its mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Marked {
    fingerprint: u64,
    mark: Mark,
}

/// Immutable set of standings by fingerprint, published to traffic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectSet {
    /// Sorted by fingerprint.
    marked: Vec<Marked>,
}

impl SuspectSet {
    /// Collects marks that come sorted by fingerprint.
    pub(crate) fn from_sorted<'a>(marks: impl Iterator<Item = (&'a u64, Mark)>) -> Self {
        let mut marked = Vec::new();
        for (fingerprint, mark) in marks {
            let fingerprint = *fingerprint;
            marked.push(Marked { fingerprint, mark });
        }
        debug_assert!(marked.is_sorted_by_key(|entry| entry.fingerprint));
        Self { marked }
    }

    /// What is held against a fingerprint.
    #[must_use]
    pub fn standing(&self, fingerprint: u64) -> Standing {
        self.mark(fingerprint).standing
    }

    /// Whether nothing at all is known; the usual case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marked.is_empty()
    }

    /// How many fingerprints have a standing.
    #[must_use]
    pub fn count(&self, standing: Standing) -> usize {
        let mut count = 0;
        for entry in &self.marked {
            count += usize::from(entry.mark.standing == standing);
        }
        count
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
