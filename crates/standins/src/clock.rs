//! The wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

use hornbeamhitch_types::prelude::*;

/// Reads the wall clock, whose times can be compared between processes.
#[must_use]
pub fn wall_clock() -> Millis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis::from_duration(since_epoch.unwrap_or_default())
}
