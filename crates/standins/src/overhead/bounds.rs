//! Limits on ratios within one run.
//!
//! The limits are wide, because other load on the machine slows the longer routes more
//! than the direct call. They are exceeded by faults in the call path, such as a lock
//! held during I/O or a timer per call.

use super::report::Report;
use super::series::{Route, Series};

/// A call through two nodes uses four more connections than a direct call.
const MAX_P50_RATIO_TWO_VMS: f64 = 20.0;
const MAX_P50_RATIO_ONE_VM: f64 = 20.0;

/// Describes every failure and every exceeded limit of a run.
#[must_use]
pub fn violations(report: &Report) -> Vec<String> {
    let mut violations = Vec::new();
    for one in &report.series {
        for (reason, count) in &one.failures {
            violations.push(format!("{}: {count} calls failed: {reason}", one.series));
        }
        violations.extend(ratio_violation(report, one.series));
    }
    violations
}

fn ratio_violation(report: &Report, series: Series) -> Option<String> {
    let max_ratio = match series.route {
        Route::Direct => return None,
        Route::OneVm => MAX_P50_RATIO_ONE_VM,
        Route::TwoVms => MAX_P50_RATIO_TWO_VMS,
    };
    let direct = Series {
        route: Route::Direct,
        ..series
    };
    let direct_us = report.of(direct)?.median().p50_us;
    let added_us = report.added(series)?.median.p50_us;
    let ratio = added_us / direct_us;
    if ratio <= max_ratio {
        return None;
    }
    Some(format!(
        "{series}: adds {ratio:.1} times the direct p50, the limit is {max_ratio}"
    ))
}
