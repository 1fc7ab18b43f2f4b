//! The wall-free clock of one stand-in.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use hornbeamhitch_types::prelude::*;

/// Counts milliseconds from its own creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that stands at zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from_duration(self.origin.elapsed())
    }
}

/// The wall clock, for logs that several processes write.
#[must_use]
pub fn wall_clock() -> Millis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis::from_duration(since_epoch.unwrap_or_default())
}
