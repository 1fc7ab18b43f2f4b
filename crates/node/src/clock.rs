//! The process's monotonic clock as [`Millis`] since its start.

use hornbeamhitch_types::prelude::*;
use tokio::time::Instant;

/// Turns the operating system's monotonic clock into the project's clock type.
///
/// The monotonic clock goes on while the process is stopped by a signal, so a
/// process that wakes late sees its deadlines as passed.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// A clock that reads zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from_duration(self.origin.elapsed())
    }

    /// The same point for the runtime's timers.
    #[must_use]
    pub fn to_instant(&self, at: Millis) -> Instant {
        let point = self.origin.checked_add(at.to_duration());
        point.unwrap_or_else(distant_instant)
    }
}

/// A deadline beyond what the platform's clock can express is as good as none;
/// a day is longer than any call may take.
fn distant_instant() -> Instant {
    Instant::now() + std::time::Duration::from_secs(86_400)
}
