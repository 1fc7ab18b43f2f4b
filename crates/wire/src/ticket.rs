//! Tickets: the right to run one non-idempotent request on one gate.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hornbeamhitch_types::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::WireError;

/// Longest ticket in its text form.
pub const MAX_TICKET_CHARS: usize = 512;

const FORMAT_VERSION: u8 = 1;
const CHECKSUM_BYTES: usize = 4;

/// Names the only life of the only gate that may run a request.
///
/// Any node that knows the gate can write one, because a ticket grants nothing
/// by itself: the gate's records decide. `expires_at` is in the gate's own
/// clock, as the writer last heard it, so no two clocks need to agree.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The service that the call is for.
    pub service: ServiceName,
    /// The VM of the gate.
    pub gate: VmId,
    /// The life of the gate.
    pub incarnation: Incarnation,
    /// Identity of the request.
    pub key: CallKey,
    /// End of validity, in the gate's clock.
    pub expires_at: Millis,
}

impl Ticket {
    /// Writes the ticket in a form that is safe in URLs and headers.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut bytes = vec![FORMAT_VERSION];
        let body = postcard::to_stdvec(self).expect("a ticket has no field that cannot be encoded");
        bytes.extend_from_slice(&body);
        let sum = xxh3_64(&bytes).to_le_bytes();
        bytes.extend_from_slice(&sum[..CHECKSUM_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a ticket.
    ///
    /// # Errors
    ///
    /// A text that is too long, of another format, or damaged on the way is
    /// refused; the checksum keeps a mistyped ticket from naming another key.
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
