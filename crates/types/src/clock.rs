//! The one clock type of the project.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time or a span of it, in whole milliseconds.
///
/// A point counts from an origin that belongs to one process (its start), so
/// points of two processes must never be compared; a ticket's expiry, for
/// instance, is only ever read by the gate whose clock it was written in.
/// Spans are free of that restriction. All arithmetic saturates: a pause or an
/// absurd input may make a deadline late, but can never wrap it into the past.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The origin of a clock, or an empty span.
    pub const ZERO: Self = Self(0);
    /// A point that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// A span of whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// The span from `earlier` to `self`, empty when `earlier` lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Shortens by `span`, stopping at zero.
    #[must_use]
    pub const fn minus(self, span: Self) -> Self {
        self.since(span)
    }

    /// The same span for the standard library's timers.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Rounds a standard span down to whole milliseconds.
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
