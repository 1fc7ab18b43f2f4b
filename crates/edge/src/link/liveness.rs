//! How long the other end of a link has been silent, and what that means.

use std::time::Duration;

use tokio::time::Instant;

/// While answers are awaited and nothing is heard for this long, the gate is
/// asked whether it is there. Runs take about this long, so that a link with
/// work on it mostly speaks before.
const PING_AFTER: Duration = Duration::from_millis(150);
/// A gate that has not answered after this long is in doubt. It answers in one
/// round trip, 20 ms at most, unless the network or its VM is in trouble.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(150);
/// The link is given up when the gate has not answered for this long. A lost
/// packet is sent again after 200 ms or a little more, and the next time after
/// twice as long, so one loss or two do not end a link.
const DEAD_AFTER: Duration = Duration::from_millis(800);

/// How long the gate has been silent.
#[derive(Clone, Copy, Debug)]
pub(super) enum Liveness {
    /// It was last heard then.
    Alive(Instant),
    /// It was asked then whether it is there.
    Pinged(Instant),
    /// The same, and it should have answered.
    Unresponsive(Instant),
}

impl Liveness {
    /// When the next step is due.
    pub(super) fn expires_at(self) -> Instant {
        match self {
            Self::Alive(at) => at + PING_AFTER,
            Self::Pinged(at) => at + UNRESPONSIVE_AFTER,
            Self::Unresponsive(at) => at + DEAD_AFTER,
        }
    }
}
