//! Requests that are suspected or convicted of crashing targets.
//!
//! A request is known by its fingerprint only; fingerprint 0 means none and is
//! never held against anyone. Each node keeps [`Suspects`], hears
//! [`SuspectEntry`] values from others, and publishes a [`SuspectSet`] to its
//! traffic threads.
//!
//! `docs/design/crash-requests.md` gives the rules and the bound on crashes.

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

/// When the sender of a convicted request may ask again.
pub const CONVICTED_RETRY_AFTER_MS: Millis = Millis::from_secs(600);

/// Fingerprint of a call that has none.
pub const NO_FINGERPRINT: u64 = 0;

/// What is held against a request; a later variant outranks an earlier one.
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
    /// Nothing.
    #[default]
    Clear,
    /// It was in flight in a crash: it runs alone.
    Suspect,
    /// It crashed a target while it ran alone as a suspect, or was in too many
    /// crashes without ever running well: it is refused everywhere.
    Convicted,
}
