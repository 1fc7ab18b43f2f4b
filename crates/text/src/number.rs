//! Conversions of range-checked numbers.
//!
//! Numbers in the text are parsed as doubles. The ranges of all whole numbers
//! are far below 2^53 and are checked before conversion, so these conversions
//! are exact.

use hornbeamhitch_types::clock::Millis;

pub(crate) fn to_u32(number: f64) -> u32 {
    number as u32
}

pub(crate) fn to_u64(number: f64) -> u64 {
    number as u64
}

pub(crate) fn to_millis(number: f64) -> Millis {
    Millis(to_u64(number))
}

/// Converts fractional milliseconds to whole microseconds.
pub(crate) fn to_micros(ms: f64) -> u32 {
    const US_PER_MS: f64 = 1_000.0;
    (ms * US_PER_MS).round() as u32
}
