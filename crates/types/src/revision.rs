//! Positions in the sequence of changes that a source publishes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position of a change at its source.
///
/// A source that returns from an older copy of itself begins a new era and assigns numbers
/// again that it has assigned before. Positions of different eras are therefore ordered by
/// era, and numbers mean something within one era only.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    // The order of the fields is the order of the type.
    era: u64,
    number: u64,
}

impl Revision {
    /// Position before the first change.
    pub const ZERO: Self = Self { era: 0, number: 0 };

    /// Creates the position of a number within an era.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the number, with which a source is asked for later changes of its era.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Returns whether both positions belong to one era, so that a list of the changes
    /// between them is possible.
    #[must_use]
    pub const fn is_same_era(self, other: Self) -> bool {
        self.era == other.era
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
