//! Tests of the estimate of a gate's clock from its load reports.

use super::*;

const INCARNATION: Incarnation = Incarnation(7);

fn vm() -> VmId {
    VmId::new("cashier-1")
}

fn report(incarnation: Incarnation, gate_clock_ms: u64) -> LoadReport {
    LoadReport {
        in_flight: 0,
        queued: 0,
        limit: 1,
        service_time_us: 0,
        gate_clock_ms: Millis(gate_clock_ms),
        incarnation,
        leaving: false,
    }
}

/// The gate's clock is 1,000 ms ahead. A delayed report shows a smaller offset;
/// using it would shorten every deadline by the delay.
#[test]
fn a_delayed_report_does_not_lower_the_estimate() {
    let mut clocks = GateClocks::default();
    clocks.observe(&vm(), &report(INCARNATION, 1_100), Millis(110));
    clocks.observe(&vm(), &report(INCARNATION, 1_200), Millis(900));
    let lower_bound = clocks.lower_bound(&vm(), INCARNATION, Millis(1_000));
    assert_eq!(lower_bound, Some(Millis(1_990)));
}

/// The gate's clock drifts and falls behind. If its highest old offset stayed
/// in use, deadlines would move ever further into the gate's future.
#[test]
fn old_observations_age_out() {
    let mut clocks = GateClocks::default();
    clocks.observe(&vm(), &report(INCARNATION, 1_000), Millis(0));
    for second in [30, 60] {
        let at = second * 1_000;
        clocks.observe(&vm(), &report(INCARNATION, at + 900), Millis(at));
    }
    let lower_bound = clocks.lower_bound(&vm(), INCARNATION, Millis(70_000));
    assert_eq!(lower_bound, Some(Millis(70_900)));
}

/// Each incarnation has its own clock, and late reports of an earlier one are
/// ignored.
#[test]
fn a_new_incarnation_starts_a_new_estimate() {
    let mut clocks = GateClocks::default();
    let next = Incarnation(8);
    clocks.observe(&vm(), &report(INCARNATION, 50_000), Millis(0));
    clocks.observe(&vm(), &report(next, 10), Millis(100));
    clocks.observe(&vm(), &report(INCARNATION, 50_200), Millis(200));
    assert_eq!(clocks.lower_bound(&vm(), INCARNATION, Millis(300)), None);
    assert_eq!(
        clocks.lower_bound(&vm(), next, Millis(300)),
        Some(Millis(210))
    );
}
