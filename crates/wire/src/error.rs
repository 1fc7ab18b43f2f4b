//! Errors of decoding what another process sent.

use thiserror::Error;

/// Why bytes or text from outside were not understood.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The message claims a format that this build does not speak.
    #[error("format version {found} is not spoken here, {supported} is")]
    FormatVersion {
        /// The version in the message.
        found: u8,
        /// The version of this build.
        supported: u8,
    },
    /// The message is longer than its limit.
    #[error("{found_bytes} bytes are above the limit of {limit_bytes}")]
    TooLong {
        /// Length found.
        found_bytes: usize,
        /// Length allowed.
        limit_bytes: usize,
    },
    /// The bytes are no message of this kind.
    #[error("malformed {what}: {reason}")]
    Malformed {
        /// What was expected.
        what: &'static str,
        /// The codec's reason.
        reason: String,
    },
    /// The checksum does not fit the content.
    #[error("the checksum of the {what} does not fit its content")]
    Checksum {
        /// What was expected.
        what: &'static str,
    },
}
