//! The time type that all crates use.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in whole milliseconds.
///
/// Points in time count from the start of a process, so points of two processes
/// must never be compared. For example, only the gate that issued a ticket reads
/// the ticket's expiry. Durations may be compared across processes. All
/// arithmetic saturates: a paused process or an absurd input can delay a
/// deadline, but never wrap it into the past.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The origin of a clock, or an empty duration.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a duration from whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Subtracts `span`, saturating at zero.
    #[must_use]
    pub const fn minus(self, span: Self) -> Self {
        self.since(span)
    }

    /// Converts to a standard library duration.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Converts from a standard library duration, rounding down to whole
    /// milliseconds.
    #[must_use]
    pub fn from_duration(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
