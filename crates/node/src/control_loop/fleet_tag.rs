//! The tag that separates the control messages of different deployments.

use xxhash_rust::xxh3::xxh3_64;

/// Length of the tag in bytes.
const TAG_BYTES: usize = 4;

/// A hash of the deployment's name, which precedes every datagram and bulk
/// frame.
///
/// VMs and their addresses are reassigned. A node whose VM list still contains
/// an address that now belongs to another deployment would contact a node of
/// that deployment. The two fleets would then accept each other's members, and
/// the one with the lower configuration version would adopt the whole
/// configuration of the other, permanently, since versions never decrease. With
/// the tag, a message of another deployment is dropped before it is decoded.
/// The tag guards against accidents, not against attackers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetTag([u8; TAG_BYTES]);

impl FleetTag {
    /// Returns the tag of a deployment.
    #[must_use]
    pub fn of(deployment: &str) -> Self {
        let hash = xxh3_64(deployment.as_bytes()).to_be_bytes();
        Self([hash[0], hash[1], hash[2], hash[3]])
    }

    /// Prepends the tag to a message.
    #[must_use]
    pub fn prepend(self, message: &[u8]) -> Vec<u8> {
        let mut tagged = Vec::with_capacity(TAG_BYTES + message.len());
        tagged.extend_from_slice(&self.0);
        tagged.extend_from_slice(message);
        tagged
    }

    /// Strips the tag from a message; returns `None` for a message of another
    /// deployment.
    #[must_use]
    pub fn strip(self, tagged: &[u8]) -> Option<&[u8]> {
        let (tag, message) = tagged.split_at_checked(TAG_BYTES)?;
        (tag == self.0).then_some(message)
    }
}
