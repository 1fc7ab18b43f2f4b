//! What nodes tell each other about requests that were in flight in crashes of targets.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Identifies one crash of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Hash of the id of the target that crashed.
    pub target: u64,
    /// Number that tells the crashes of one target apart.
    pub number: u64,
}

/// One crash in which a request was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The crash.
    pub id: CrashId,
    /// Whether the request ran as a trial.
    pub was_trial: bool,
    /// Whether the request has succeeded on a node that knew of the crash.
    pub is_cleared: bool,
    /// Time since the crash.
    pub age_ms: Millis,
}

/// All crashes in which a request was in flight, as far as the sender knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Hash of the parts of the request that do not change when it is sent again.
    pub fingerprint: u64,
    /// The crashes.
    pub crashes: Vec<CrashRecord>,
}
