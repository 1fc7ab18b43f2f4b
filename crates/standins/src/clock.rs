//! The wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

use hornbeamhitch_types::prelude::*;

/// The wall clock, for logs that several processes write.
#[must_use]
pub fn wall_clock() -> Millis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis::from_duration(since_epoch.unwrap_or_default())
}
