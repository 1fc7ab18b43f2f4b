//! Virtual time in microseconds.

use std::ops::Add;

use hornbeamhitch_types::clock::Millis;

/// A point or span of virtual time in whole microseconds.
///
/// The core's clock counts whole milliseconds, which is too coarse for queues of calls
/// that take a few milliseconds. The core gets the time rounded down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

const MICROS_PER_MILLI: u64 = 1_000;

impl Micros {
    /// The start of every run.
    pub const ZERO: Self = Self(0);

    /// Converts whole milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * MICROS_PER_MILLI)
    }

    /// Rounds a number of microseconds to the nearest span. Negative numbers become 0.
    #[must_use]
    pub fn from_f64(micros: f64) -> Self {
        Self(micros.max(0.0).round() as u64)
    }

    /// Rounds down to whole milliseconds of the core's clock.
    #[must_use]
    pub const fn floor_millis(self) -> Millis {
        Millis(self.0 / MICROS_PER_MILLI)
    }

    /// Span from `earlier` to `self`, or 0 if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts the span to the type in the core's messages. It saturates.
    #[must_use]
    pub fn to_u32(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }

    /// Converts the span to seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add for Micros {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0 + span.0)
    }
}

impl From<Millis> for Micros {
    fn from(millis: Millis) -> Self {
        Self(millis.0.saturating_mul(MICROS_PER_MILLI))
    }
}
