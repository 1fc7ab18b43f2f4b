//! A target whose first call was slow, and that got no other.

use crate::entry::score::ServiceAverages;
use crate::entry::target_stats::{ReportSource, TargetStats};
use crate::prelude::*;

const TYPICAL_US: f32 = 1_000.0;
/// Up to this a target counts as quick as any other.
const NORMAL: f32 = 1.5;

/// The first call of a target took 200 times as long as calls take elsewhere. It gets no
/// other, so its gate reports that one time twice a second. A lone caller was served by
/// the other targets for half a minute; after ten seconds the target is tried again.
#[test]
fn a_slow_call_is_forgotten_although_its_report_is_repeated() {
    const SLOW_US: u32 = 200_000;
    let mut averages = ServiceAverages::new();
    averages.record_service(TYPICAL_US);
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
