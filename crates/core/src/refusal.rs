//! A final answer that the system itself gives.

use hornbeamhitch_types::prelude::*;

/// Why a call ends here, and when its caller may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What the caller is told.
    pub code: ResultCode,
    /// When to come back; `None` when coming back is of no use.
    pub retry_after_ms: Option<Millis>,
}

impl Refusal {
    /// A refusal after which coming back unchanged is of no use.
    #[must_use]
    pub const fn fixed(code: ResultCode) -> Self {
        Self {
            code,
            retry_after_ms: None,
        }
    }

    /// A refusal with the time after which to come back.
    #[must_use]
    pub const fn retry_after(code: ResultCode, retry_after_ms: Millis) -> Self {
        Self {
            code,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}
