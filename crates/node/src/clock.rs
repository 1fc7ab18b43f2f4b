//! The process's monotonic clock, as [`Millis`] since it was started.

use hornbeamhitch_types::prelude::*;
use tokio::time::Instant;

/// Converts the operating system's monotonic clock to the project's clock type.
///
/// The clock keeps running while the process is stopped by a signal, so a
/// process that resumes late sees its deadlines as passed.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Creates a clock that reads zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from_duration(self.origin.elapsed())
    }

    /// Converts a time of this clock to an instant for the runtime's timers.
    #[must_use]
    pub fn to_instant(&self, at: Millis) -> Instant {
        let point = self.origin.checked_add(at.to_duration());
        point.unwrap_or_else(distant_instant)
    }
}

/// Returns an instant in place of a deadline that the platform's clock cannot
/// express. One day is longer than any call may take, so this equals no
/// deadline.
fn distant_instant() -> Instant {
    Instant::now() + std::time::Duration::from_secs(86_400)
}
