//! What is known about one fingerprint, and how two nodes' knowledge merges.

use hornbeamhitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::SuspicionLevel;

/// Crashes without a good run in between after which a suspect is convicted
/// even though it never crashed a target alone.
///
/// A suspect whose run outlasts its time alone shares the target again, so its
/// crash never counts as a crash alone; without this bound it would go on for
/// ever. An innocent request is cleared by its first good run alone, long
/// before it has been in this many.
pub(crate) const SHARED_CRASHES_TO_CONVICT: u8 = 4;

/// The mergeable part of what is known about a fingerprint.
///
/// The derived order is the merge rule: the higher version wins, then the
/// graver standing, then the higher count. A maximum is commutative,
/// associative and idempotent, so nodes may hear each other in any order and
/// any number of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Mark {
    /// Goes up by one with each observation on top of what was known.
    pub(crate) version: u32,
    /// What is held against the fingerprint.
    pub(crate) standing: SuspicionLevel,
    /// Crashes since it was last cleared.
    pub(crate) crashes: u8,
}

impl Mark {
    /// This mark after one more crash.
    pub(crate) fn after_crash(self, alone: bool) -> Self {
        let crashes = self.crashes.saturating_add(1);
        let repeated_alone = alone && self.standing != SuspicionLevel::Clear;
        let standing = if repeated_alone || crashes >= SHARED_CRASHES_TO_CONVICT {
            SuspicionLevel::Convicted
        } else {
            self.standing.max(SuspicionLevel::Suspect)
        };
        Self {
            version: self.version.saturating_add(1),
            standing,
            crashes,
        }
    }

    /// This mark after a good run alone. A conviction only ages out.
    pub(crate) fn after_successful_run(self) -> Self {
        if self.standing != SuspicionLevel::Suspect {
            return self;
        }
        Self {
            version: self.version.saturating_add(1),
            standing: SuspicionLevel::Clear,
            crashes: 0,
        }
    }

    /// How long a mark of this standing is kept.
    ///
    /// A clearance is kept as long as a suspicion, so that it outlives every
    /// older suspicion that it has to beat.
    pub(crate) const fn lifetime(self) -> Millis {
        match self.standing {
            SuspicionLevel::Clear | SuspicionLevel::Suspect => Millis::from_secs(10 * 60),
            SuspicionLevel::Convicted => Millis::from_secs(30 * 60),
        }
    }
}

/// What one node tells others about one fingerprint.
///
/// Times travel as spans of age, because clocks of two nodes must not be
/// compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Count of observations that led here.
    pub version: u32,
    /// What is held against the request.
    pub standing: SuspicionLevel,
    /// Crashes since it was last cleared.
    pub crashes: u8,
    /// Time since the observation.
    pub age_ms: Millis,
}

impl SuspectEntry {
    pub(crate) const fn new(fingerprint: u64, mark: Mark, age_ms: Millis) -> Self {
        Self {
            fingerprint,
            version: mark.version,
            standing: mark.standing,
            crashes: mark.crashes,
            age_ms,
        }
    }

    pub(crate) const fn mark(&self) -> Mark {
        Mark {
            version: self.version,
            standing: self.standing,
            crashes: self.crashes,
        }
    }
}
