//! Requests that are suspected or convicted of crashing targets.
//!
//! A request is identified only by its fingerprint. Fingerprint 0 means none
//! and is never suspected. Each node keeps a [`Suspects`] store, receives
//! [`SuspectEntry`] values from other nodes, and publishes a [`SuspectSet`] to
//! its traffic threads.
//!
//! See `docs/design/crash-requests.md` for the rules and the bound on the
//! number of crashes.

use hornbeamhitch_types::clock::Millis;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

mod mark;
mod set;
mod store;

#[cfg(test)]
mod tests;

pub(crate) use mark::Mark;
pub use mark::SuspectEntry;
pub use set::SuspectSet;
pub use store::{MAX_SUSPECTS, Suspects};

/// Time after which the sender of a convicted request may retry.
pub const CONVICTED_RETRY_AFTER_MS: Millis = Millis::from_secs(600);

/// Fingerprint of a call that has none.
pub const NO_FINGERPRINT: u64 = 0;

/// The suspicion level of a request. Later variants take precedence over
/// earlier ones.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum SuspicionLevel {
    /// The request is not suspected.
    #[default]
    Clear,
    /// The request was in flight in a crash. It runs alone.
    Suspect,
    /// The request crashed a target while it ran alone as a suspect, or was in
    /// flight in too many crashes without a successful run in between. It is
    /// refused everywhere.
    Convicted,
}
