//! Estimates when a gate created a report, from the offset between the clocks.

use crate::prelude::*;

/// Time in which two clocks may drift apart by one millisecond (200 ppm).
const MS_PER_DRIFTED_MS: i64 = 5_000;

/// Far beyond any clock value, and small enough that sums cannot overflow.
const MAX_CLOCK_MS: i64 = i64::MAX / 4;

/// The smallest observed offset of this node's clock from a gate's clock.
///
/// A report that is delayed on the way looks fresh on arrival, although the
/// load has changed since. The report with the smallest offset was the fastest;
/// another report is older on arrival by the difference of the offsets. The
/// delay of the fastest report is unknown, but the network's own delay is
/// small.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GateClock {
    min_offset_ms: Option<i64>,
    measured_at: Millis,
}

impl GateClock {
    /// Returns when a report was created, by this node's clock; never later
    /// than its arrival.
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
