//! Detection of a silent gate on a link, in steps.

use std::time::Duration;

use tokio::time::Instant;

/// Silence while responses are due after which the gate is pinged.
///
/// Runs take about this long, so a link with open calls mostly receives frames
/// before.
const PING_AFTER: Duration = Duration::from_millis(150);
/// Silence after a ping after which the gate counts as unresponsive.
///
/// It answers within one round trip, 20 ms at most, unless the network or its VM
/// has a fault.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(150);
/// Silence after a ping after which the link is closed.
///
/// TCP retransmits a lost packet after 200 ms or a little more, and the next time
/// after twice as long, so one or two losses do not end a link.
const DEAD_AFTER: Duration = Duration::from_millis(800);

/// Liveness of the gate, as seen by the entry.
#[derive(Clone, Copy, Debug)]
pub(super) enum Liveness {
    /// The last frame arrived at this time, or no response was due before it.
    Alive(Instant),
    /// A ping was sent at this time.
    Pinged(Instant),
    /// The ping of this time was not answered within [`UNRESPONSIVE_AFTER`].
    Unresponsive(Instant),
}

impl Liveness {
    /// End of this state if the gate stays silent.
    pub(super) fn expires_at(self) -> Instant {
        match self {
            Self::Alive(at) => at + PING_AFTER,
            Self::Pinged(at) => at + UNRESPONSIVE_AFTER,
            Self::Unresponsive(at) => at + DEAD_AFTER,
        }
    }
}
