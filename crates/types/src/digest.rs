//! Digests by which nodes name the parts of a large state.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Digest of a part's encoded content. Equal digests mean equal content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartDigest([u8; 16]);

impl PartDigest {
    /// Creates a digest from the output of a 128-bit hash.
    #[must_use]
    pub const fn new(hash: u128) -> Self {
        Self(hash.to_le_bytes())
    }
}

impl fmt::Display for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_le_bytes(self.0))
    }
}
