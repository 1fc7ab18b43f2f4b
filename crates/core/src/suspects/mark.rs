//! What is known about one fingerprint, and how the knowledge of two nodes is
//! merged.

use hornbeamhitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::SuspicionLevel;

/// Number of crashes without a successful run in between after which a suspect
/// is convicted although it never crashed a target while running alone.
///
/// A suspect that exceeds its exclusive time shares the target again, so its
/// crash never counts as a crash alone; without this limit it could continue to
/// crash targets. An innocent request is cleared by its first successful run
/// alone, long before it reaches this number.
pub(crate) const SHARED_CRASHES_TO_CONVICT: u8 = 4;

/// The mergeable part of what is known about a fingerprint.
///
/// The derived order is the merge rule: the higher version wins, then the more
/// severe level, then the higher count. A maximum is commutative, associative
/// and idempotent, so nodes may exchange entries in any order and any number of
/// times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Mark {
    /// Increases by one with each observation.
    pub(crate) version: u32,
    /// The suspicion level of the fingerprint.
    pub(crate) level: SuspicionLevel,
    /// Number of crashes since the request was last cleared.
    pub(crate) crashes: u8,
}

impl Mark {
    /// Returns this mark after one more crash.
    pub(crate) fn after_crash(self, alone: bool) -> Self {
        let crashes = self.crashes.saturating_add(1);
        let repeated_alone = alone && self.level != SuspicionLevel::Clear;
        let level = if repeated_alone || crashes >= SHARED_CRASHES_TO_CONVICT {
            SuspicionLevel::Convicted
        } else {
            self.level.max(SuspicionLevel::Suspect)
        };
        Self {
            version: self.version.saturating_add(1),
            level,
            crashes,
        }
    }

    /// Returns this mark after a successful run alone. A conviction only ends
    /// by expiry.
    pub(crate) fn after_successful_run(self) -> Self {
        if self.level != SuspicionLevel::Suspect {
            return self;
        }
        Self {
            version: self.version.saturating_add(1),
            level: SuspicionLevel::Clear,
            crashes: 0,
        }
    }

    /// Returns how long a mark of this level is kept.
    ///
    /// A clearance is kept as long as a suspicion, so that it outlives every
    /// older suspicion that it overrides.
    pub(crate) const fn lifetime(self) -> Millis {
        match self.level {
            SuspicionLevel::Clear | SuspicionLevel::Suspect => Millis::from_secs(10 * 60),
            SuspicionLevel::Convicted => Millis::from_secs(30 * 60),
        }
    }
}

/// What one node sends to others about one fingerprint.
///
/// Times are sent as ages, because clocks of different nodes cannot be
/// compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Number of observations that led to this entry.
    pub version: u32,
    /// The suspicion level of the request.
    #[serde(rename = "standing")]
    pub level: SuspicionLevel,
    /// Number of crashes since the request was last cleared.
    pub crashes: u8,
    /// Time since the observation.
    pub age_ms: Millis,
}

impl SuspectEntry {
    pub(crate) const fn new(fingerprint: u64, mark: Mark, age_ms: Millis) -> Self {
        Self {
            fingerprint,
            version: mark.version,
            level: mark.level,
            crashes: mark.crashes,
            age_ms,
        }
    }

    pub(crate) const fn mark(&self) -> Mark {
        Mark {
            version: self.version,
            level: self.level,
            crashes: self.crashes,
        }
    }
}
