//! Decodes what a target reports about itself in the header of an answer.

use crate::dialect::TargetLoad;
use crate::http1;
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// What one answer of a target reports about it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// Load of the target and speed of its VM.
    pub load: Option<TargetLoad>,
    /// Time for which the target stays cold.
    pub warm_up_left_ms: Option<Millis>,
    /// Limit on requests, and whether the target is leaving.
    pub notice: TargetNotice,
}

impl TargetReport {
    /// Decodes the header fields of an answer. A malformed value counts as absent.
    #[must_use]
    pub fn decode(fields: &[HeaderField], dialect: &dyn Dialect) -> Self {
        let names = dialect.names();
        let load = http1::field(fields, names.load);
        let is_leaving = decode_first(fields, names.leaving, |value| {
            (value.trim() == "1").then_some(true)
        });
        Self {
            load: load.and_then(|value| dialect.load(value)),
            warm_up_left_ms: decode_first(fields, names.warm_up_left_ms, |value| {
                non_negative(value).map(|number| Millis(number.ceil() as u64))
            }),
            notice: TargetNotice {
                max_requests_per_1000_s: decode_first(fields, names.max_requests_per_s, |value| {
                    non_negative(value).map(|number| (number * 1_000.0) as u64)
                }),
                is_leaving: is_leaving.unwrap_or(false),
            },
        }
    }
}

/// Decodes the field that has the first of these names.
fn decode_first<T>(
    fields: &[HeaderField],
    names: &[&str],
    decode: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let (name, value) = names
        .iter()
        .find_map(|name| Some((name, http1::field(fields, name)?)))?;
    let decoded = decode(value);
    if decoded.is_none() {
        log::warn!("ignored a malformed header field of the target, {name}: {value}");
    }
    decoded
}

/// Parses a finite number of at least 0.
fn non_negative(value: &str) -> Option<f64> {
    let number: f64 = value.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
