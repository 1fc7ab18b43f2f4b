//! Framing of all control messages.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::WireError;

/// Format version, the first byte of every control message.
pub const FORMAT_VERSION: u8 = 1;
/// Maximum length of a datagram. It fits into one packet on all common network paths.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum length of a bulk message. It is sufficient for a text of one megabyte and a
/// list of 16,000 VMs.
pub const MAX_BULK_BYTES: usize = 8 * 1_024 * 1_024;

/// Encodes the format version and the message.
pub(super) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let bytes = vec![FORMAT_VERSION];
    postcard::to_extend(message, bytes)
        .expect("a control message has no field that cannot be encoded")
}

/// Checks length and format version, then decodes the message.
pub(super) fn decode<T: DeserializeOwned>(
    bytes: &[u8],
    limit_bytes: usize,
    what: &'static str,
) -> Result<T, WireError> {
    if bytes.len() > limit_bytes {
        return Err(WireError::TooLong {
            found_bytes: bytes.len(),
            limit_bytes,
        });
    }
    let Some((version, body)) = bytes.split_first() else {
        return Err(malformed(what, "empty"));
    };
    if *version != FORMAT_VERSION {
        return Err(WireError::FormatVersion {
            found: *version,
            supported: FORMAT_VERSION,
        });
    }
    postcard::from_bytes(body).map_err(|error| malformed(what, error))
}

fn malformed(what: &'static str, reason: impl fmt::Display) -> WireError {
    WireError::Malformed {
        what,
        reason: reason.to_string(),
    }
}
