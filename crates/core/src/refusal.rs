//! Final answers that the load balancer gives itself.

use hornbeamhitch_types::prelude::*;

/// Why a call is refused, and when its caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The result code sent to the caller.
    pub code: ResultCode,
    /// Time after which the caller may retry; `None` if a retry cannot succeed.
    pub retry_after_ms: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal of a call for which a retry cannot succeed.
    #[must_use]
    pub const fn fixed(code: ResultCode) -> Self {
        Self {
            code,
            retry_after_ms: None,
        }
    }

    /// Creates a refusal that allows a retry after the given time.
    #[must_use]
    pub const fn retry_after(code: ResultCode, retry_after_ms: Millis) -> Self {
        Self {
            code,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}
