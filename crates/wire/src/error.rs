//! Errors of encoding and decoding messages between processes.

use thiserror::Error;

/// Why a message cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The message has a format version that this build does not support.
    #[error("format version {found} is not supported, only version {supported} is")]
    FormatVersion {
        /// Version of the message.
        found: u8,
        /// Version that this build supports.
        supported: u8,
    },
    /// The message exceeds its size limit.
    #[error("{found_bytes} bytes exceed the limit of {limit_bytes}")]
    TooLong {
        /// Length of the message.
        found_bytes: usize,
        /// Limit on the length.
        limit_bytes: usize,
    },
    /// The bytes are not a valid message of the expected kind.
    #[error("malformed {what}: {reason}")]
    Malformed {
        /// Kind of the expected message.
        what: &'static str,
        /// Reason of the decoder.
        reason: String,
    },
    /// The checksum does not match the content.
    #[error("the checksum of the {what} does not match its content")]
    Checksum {
        /// Kind of the expected message.
        what: &'static str,
    },
}
