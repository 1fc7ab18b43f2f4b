//! The mark that keeps the control messages of two deployments apart.

use xxhash_rust::xxh3::xxh3_64;

/// Bytes in front of each control message.
const TAG_BYTES: usize = 4;

/// A hash of the deployment's name, in front of every datagram and bulk frame.
///
/// Failure answered: VMs and their addresses are handed on. A node whose list
/// still names an address that now belongs to another deployment would greet a
/// stranger there; the two fleets would take each other's members for their
/// own, and the one with the lower text version would take over the other's
/// whole configuration, for good, since versions never go back. With the tag a
/// message of another deployment is dropped before it is read. It keeps
/// accidents out, not attackers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetTag([u8; TAG_BYTES]);

impl FleetTag {
    /// The tag of a deployment.
    #[must_use]
    pub fn of(deployment: &str) -> Self {
        let hash = xxh3_64(deployment.as_bytes()).to_be_bytes();
        Self([hash[0], hash[1], hash[2], hash[3]])
    }

    /// Puts the tag in front of a message.
    #[must_use]
    pub fn prepend(self, message: &[u8]) -> Vec<u8> {
        let mut tagged = Vec::with_capacity(TAG_BYTES + message.len());
        tagged.extend_from_slice(&self.0);
        tagged.extend_from_slice(message);
        tagged
    }

    /// Takes the tag off; `None` for a message of another deployment.
    #[must_use]
    pub fn strip(self, tagged: &[u8]) -> Option<&[u8]> {
        let (tag, message) = tagged.split_at_checked(TAG_BYTES)?;
        (tag == self.0).then_some(message)
    }
}
