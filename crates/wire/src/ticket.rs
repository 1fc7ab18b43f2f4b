//! Tickets: the right to run one non-idempotent request on one gate.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hornbeamhitch_types::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::WireError;

/// Maximum length of a ticket in text form.
pub const MAX_TICKET_CHARS: usize = 512;

const FORMAT_VERSION: u8 = 1;
const CHECKSUM_BYTES: usize = 4;

/// Identifies the only gate, and the only incarnation of it, that may run a request.
///
/// Any node that knows the gate can issue a ticket, because a ticket grants nothing by
/// itself: the records of the gate decide. `expires_at` is in the gate's clock, as last
/// known to the issuer, so clocks need not be synchronised.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The service of the call.
    pub service: ServiceName,
    /// The VM of the gate.
    pub gate: VmId,
    /// The incarnation of the gate.
    pub incarnation: Incarnation,
    /// Identity of the request.
    pub key: CallKey,
    /// End of validity, in the gate's clock.
    pub expires_at: Millis,
}

impl Ticket {
    /// Encodes the ticket in a form that is safe in URLs and headers.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut bytes = vec![FORMAT_VERSION];
        let body = postcard::to_stdvec(self).expect("a ticket has no field that cannot be encoded");
        bytes.extend_from_slice(&body);
        let sum = xxh3_64(&bytes).to_le_bytes();
        bytes.extend_from_slice(&sum[..CHECKSUM_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a ticket.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is too long, has another format version, or is
    /// corrupted. The checksum prevents a mistyped ticket from identifying another key.
    pub fn decode(text: &str) -> Result<Self, WireError> {
        if text.len() > MAX_TICKET_CHARS {
            return Err(WireError::TooLong {
                found_bytes: text.len(),
                limit_bytes: MAX_TICKET_CHARS,
            });
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(malformed)?;
        let Some(split) = bytes.len().checked_sub(CHECKSUM_BYTES) else {
            return Err(malformed("too short"));
        };
        let (signed, sum) = bytes.split_at(split);
        if xxh3_64(signed).to_le_bytes()[..CHECKSUM_BYTES] != *sum {
            return Err(WireError::Checksum { what: "ticket" });
        }
        let Some((version, body)) = signed.split_first() else {
            return Err(malformed("too short"));
        };
        if *version != FORMAT_VERSION {
            return Err(WireError::FormatVersion {
                found: *version,
                supported: FORMAT_VERSION,
            });
        }
        postcard::from_bytes(body).map_err(malformed)
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.encode())
    }
}

fn malformed(reason: impl fmt::Display) -> WireError {
    WireError::Malformed {
        what: "ticket",
        reason: reason.to_string(),
    }
}
