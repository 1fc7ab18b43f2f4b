//! A gate's clock as its reports let it be reckoned.

use super::*;

const LIFE: Incarnation = Incarnation(7);

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

/// The gate's clock is truly 1,000 ms ahead. A report that was held up says
/// less; believed, it would cut every deadline by the time it was held up.
#[test]
fn a_report_that_was_held_up_slows_no_clock() {
    let mut clocks = GateClocks::default();
    clocks.observe(&vm(), &report(LIFE, 1_100), Millis(110));
    clocks.observe(&vm(), &report(LIFE, 1_200), Millis(900));
    let reading = clocks.reading(&vm(), LIFE, Millis(1_000));
    assert_eq!(reading, Some(Millis(1_990)));
}

/// The gate's clock falls behind by drift. Its best observation of old ages
/// out, or deadlines would come to lie ever further in its future.
#[test]
fn old_observations_age_out() {
    let mut clocks = GateClocks::default();
    clocks.observe(&vm(), &report(LIFE, 1_000), Millis(0));
    for second in [30, 60] {
        let at = second * 1_000;
        clocks.observe(&vm(), &report(LIFE, at + 900), Millis(at));
    }
    let reading = clocks.reading(&vm(), LIFE, Millis(70_000));
    assert_eq!(reading, Some(Millis(70_900)));
}

/// Each life has its own clock, and late news of an earlier one is nothing.
#[test]
fn a_new_life_begins_anew() {
    let mut clocks = GateClocks::default();
    let next = Incarnation(8);
    clocks.observe(&vm(), &report(LIFE, 50_000), Millis(0));
    clocks.observe(&vm(), &report(next, 10), Millis(100));
    clocks.observe(&vm(), &report(LIFE, 50_200), Millis(200));
    assert_eq!(clocks.reading(&vm(), LIFE, Millis(300)), None);
    assert_eq!(clocks.reading(&vm(), next, Millis(300)), Some(Millis(210)));
}
