//! A target whose first call was slow and that therefore got no further calls.

use crate::entry::score::ServiceAverages;
use crate::entry::target_stats::{ReportSource, TargetStats};
use crate::prelude::*;

const AVERAGE_US: f32 = 1_000.0;
/// Service times up to this multiple of the average count as equal.
const NORMAL: f32 = 1.5;

/// The first call of a target took 200 times as long as calls take elsewhere.
/// The target gets no further calls, so its gate repeats that one time twice a
/// second. The other targets once served a lone caller for half a minute; after
/// ten seconds this target must be tried again.
#[test]
fn a_slow_call_is_forgotten_although_its_report_is_repeated() {
    const SLOW_US: u32 = 200_000;
    let mut averages = ServiceAverages::new();
    averages.record_service(AVERAGE_US);
    let mut stats = TargetStats::new(Millis::ZERO);
    stats.record_success(SLOW_US as f32, Millis::ZERO);
    let mut report = LoadReport {
        in_flight: 0,
        queued: 0,
        limit: 4,
        service_time_us: SLOW_US,
        gate_clock_ms: Millis::ZERO,
        incarnation: Incarnation(1),
        leaving: false,
    };
    for now in (0..=10_000).step_by(500).map(Millis) {
        report.gate_clock_ms = now;
        stats.record_report(&report, now, ReportSource::Published);
    }
    let first = stats.estimate(&averages, 4, Millis::ZERO).relative_service;
    assert!(first > NORMAL, "{first}");
    let later = stats
        .estimate(&averages, 4, Millis(10_000))
        .relative_service;
    assert!(later <= NORMAL, "{later}");
}
