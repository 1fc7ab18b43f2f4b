//! How old a report was when it arrived.

use crate::prelude::*;

/// Two clocks drift apart by at most a millisecond in this time (200 ppm).
const MS_PER_DRIFTED_MS: i64 = 5_000;

/// Far beyond any clock, and small enough that sums cannot overflow.
const MAX_CLOCK_MS: i64 = i64::MAX / 4;

/// The lead of this node's clock over a gate's, from the fastest report.
///
/// Failure answered: a report that was delayed on its way looks fresh on
/// arrival, and is believed although the load has changed since. A report is
/// older than the fastest one was by as much as its lead exceeds that one's. How
/// late the fastest one was stays unknown; the network's own delay is small.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GateClock {
    min_offset_ms: Option<i64>,
    measured_at: Millis,
}

impl GateClock {
    /// When a report was made, in this node's clock; never after its arrival.
    pub(crate) fn created_at(&mut self, gate_clock_ms: Millis, received_at: Millis) -> Millis {
        let offset_ms = signed(received_at) - signed(gate_clock_ms);
        let drift_ms = signed(received_at.since(self.measured_at)) / MS_PER_DRIFTED_MS;
        let min_ms = self
            .min_offset_ms
            .map_or(offset_ms, |known_ms| known_ms + drift_ms);
        if offset_ms <= min_ms {
            self.min_offset_ms = Some(offset_ms);
            self.measured_at = received_at;
            return received_at;
        }
        let late_ms = offset_ms - min_ms;
        received_at.minus(Millis(late_ms.unsigned_abs()))
    }
}

fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).map_or(MAX_CLOCK_MS, |ms| ms.min(MAX_CLOCK_MS))
}
