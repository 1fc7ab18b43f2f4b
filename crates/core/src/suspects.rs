//! Requests that are suspected or convicted of crashing targets.

/// What is held against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing.
    Clear,
    /// It was in flight in one crash: it runs alone.
    Suspect,
    /// It crashed a target while it ran alone: it is refused everywhere.
    Convicted,
}

/// Immutable set of standings by fingerprint, published to traffic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectSet {}

impl SuspectSet {
    /// What is held against a fingerprint.
    #[must_use]
    pub fn standing(&self, _fingerprint: u64) -> Standing {
        Standing::Clear
    }
}
