//! Tests of the admission level on a small fleet in virtual time.

mod fleet;
mod steps;

use super::*;
use fleet::{Counts, Fault, Fleet, Settings, WORK_MS};

/// Part of its peak that goodput must keep in an overload.
const MIN_OF_PEAK: f64 = 0.95;
/// Load in multiples of the capacity below which nothing may be refused.
const MAX_UNREFUSED: f64 = 0.95;
/// Capacity of a noisy fleet in multiples of its slots: a quarter of the time is five times
/// slower, and runs that began before take longer.
const NOISY_CAPACITY: f64 = 0.7;

/// Returns a load that is spread over three classes.
fn mixed(load: f64) -> [f64; 4] {
    [0.1 * load, 0.3 * load, 0.6 * load, 0.0]
}

fn sum(counts: &[Counts]) -> Counts {
    let mut sum = Counts::default();
    for one in counts {
        sum.arrived += one.arrived;
        sum.in_time += one.in_time;
        sum.answered += one.answered;
        sum.by_level += one.by_level;
        sum.no_room += one.no_room;
        sum.attempts += one.attempts;
    }
    sum
}

/// Returns the outcomes of a fleet at a steady load, added up over several seeds.
fn steady(settings: impl Fn() -> Settings, load: f64) -> Counts {
    const SEEDS: u64 = 3;
    let mut counts = Vec::new();
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(Settings { seed, ..settings() });
        fleet.run(2_000, mixed(load));
        counts.push(sum(&fleet.run(5_000, mixed(load))));
    }
    sum(&counts)
}

/// Asserts that a fleet keeps what it does at its best at twice its capacity.
fn assert_keeps(done: fn(&Counts) -> u32, settings: impl Fn() -> Settings, capacity: f64) {
    let mut peak = 0;
    for load in [0.8, 0.9, 1.0, 1.1, 1.5, 2.0] {
        peak = peak.max(done(&steady(&settings, load * capacity)));
    }
    let overloaded = done(&steady(&settings, 2.0 * capacity));
    assert!(
        f64::from(overloaded) >= MIN_OF_PEAK * f64::from(peak),
        "{overloaded} of {peak}"
    );
}

fn in_time(counts: &Counts) -> u32 {
    counts.in_time
}

fn assert_nothing_refused(counts: &[Counts]) {
    let counts = sum(counts);
    assert!(counts.arrived > 0);
    assert_eq!(counts.by_level, 0, "{counts:?}");
}

/// Guards against an overload in which targets run calls that are late, or stay idle because
/// too many calls are refused.
#[test]
fn goodput_at_twice_the_capacity_is_near_its_peak() {
    assert_keeps(in_time, Settings::default, 1.0);
    let noisy = || Settings {
        is_noisy: true,
        ..Settings::default()
    };
    assert_keeps(in_time, noisy, NOISY_CAPACITY);
}

/// Guards against callers that retry and keep an overload going. Only fresh calls can meet
/// the objective, so all answers before the deadline count.
#[test]
fn retries_do_not_lower_the_number_of_answers() {
    let retrying = || Settings {
        retries: 2,
        ..Settings::default()
    };
    assert_keeps(|counts| counts.answered, retrying, 1.0);
}

/// Guards against refusals on a service that can serve all calls.
#[test]
fn nothing_is_refused_below_the_capacity() {
    for retries in [0, 2] {
        for load in [0.3, 0.6, 0.9, 0.99 * MAX_UNREFUSED] {
            let mut fleet = Fleet::new(Settings {
                retries,
                ..Settings::default()
            });
            assert_nothing_refused(&fleet.run(8_000, mixed(load)));
        }
    }
}

/// Guards against refusals because targets are slow for moments, in which their gates start
/// nothing.
#[test]
fn nothing_is_refused_for_noise_below_the_capacity() {
    for load in [0.3, 0.6, 0.9, 0.99 * MAX_UNREFUSED] {
        let mut fleet = Fleet::new(Settings {
            is_noisy: true,
            retries: 2,
            ..Settings::default()
        });
        assert_nothing_refused(&fleet.run(8_000, mixed(load * NOISY_CAPACITY)));
    }
}

/// Guards against refusals on a fleet that has enough other targets while some are slow for
/// seconds.
#[test]
fn nothing_is_refused_for_slow_targets_while_others_suffice() {
    let mut fleet = Fleet::new(Settings::default());
    fleet.run(2_000, mixed(0.6));
    for number in 0..3 {
        fleet.set_slowness(number, 500);
    }
    assert_nothing_refused(&fleet.run(9_000, mixed(0.6)));
    for number in 0..3 {
        fleet.set_slowness(number, 100);
    }
    assert_nothing_refused(&fleet.run(2_000, mixed(0.9)));
}

/// Guards against refusals on a fleet whose targets are all cold and slow after a power loss,
/// but suffice.
#[test]
fn nothing_is_refused_on_a_slow_fleet_that_suffices() {
    let mut fleet = Fleet::new(Settings::default());
    for number in 0..12 {
        fleet.set_slowness(number, 200);
    }
    assert_nothing_refused(&fleet.run(3_000, mixed(0.4)));
    for number in 0..12 {
        fleet.set_slowness(number, 100);
    }
    assert_nothing_refused(&fleet.run(3_000, mixed(0.9)));
}

/// Guards against refusals on a fleet that has just started and whose expected run times are
/// too high or too low, also while they are learnt.
#[test]
fn nothing_is_refused_while_run_times_are_learnt() {
    for wrong_ms in [WORK_MS / 3, 2 * WORK_MS] {
        let mut fleet = Fleet::new(Settings::default());
        fleet.expected_ms = wrong_ms;
        let mut counts = vec![sum(&fleet.run(1_000, mixed(0.85)))];
        for step in 0..10 {
            fleet.expected_ms = (wrong_ms * (10 - step) + WORK_MS * step) / 10;
            counts.push(sum(&fleet.run(100, mixed(0.85))));
        }
        fleet.expected_ms = WORK_MS;
        counts.push(sum(&fleet.run(2_000, mixed(0.85))));
        assert_nothing_refused(&counts);
    }
}

/// Guards against refusals for a burst that the queues take up.
#[test]
fn nothing_is_refused_for_a_short_burst() {
    let mut fleet = Fleet::new(Settings::default());
    fleet.run(2_000, mixed(0.5));
    let burst = fleet.run(100, mixed(2.0));
    let after = fleet.run(2_000, mixed(0.5));
    assert_nothing_refused(&[sum(&burst), sum(&after)]);
}

/// Guards against a full data centre that refuses calls while another has free capacity.
#[test]
fn nothing_is_refused_while_another_data_centre_has_room() {
    let mut fleet = Fleet::new(Settings {
        first_data_centre_percent: 85,
        ..Settings::default()
    });
    assert_nothing_refused(&fleet.run(6_000, mixed(0.8)));
}

/// Guards against targets that leave and stay in the estimate with their last reports.
#[test]
fn nothing_is_refused_when_targets_leave_and_the_rest_suffices() {
    let mut fleet = Fleet::new(Settings::default());
    fleet.run(2_000, mixed(0.5));
    for number in 0..4 {
        fleet.delist(number);
    }
    assert_nothing_refused(&fleet.run(3_000, mixed(0.6)));
}

/// Guards against a level that begins late or does not end.
#[test]
fn a_step_by_two_settles_within_a_second() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(Settings {
            seed,
            ..Settings::default()
        });
        fleet.run(3_000, mixed(0.9));
        fleet.run(1_000, mixed(1.8));
        let settled = sum(&fleet.run(1_000, mixed(1.8)));
        let steady = sum(&fleet.run(3_000, mixed(1.8)));
        let steady_per_s = f64::from(steady.answered) / 3.0;
        assert!(
            f64::from(settled.answered) >= MIN_OF_PEAK * steady_per_s,
            "{settled:?} instead of {steady_per_s}"
        );
        fleet.run(1_000, mixed(0.9));
        assert_nothing_refused(&fleet.run(3_000, mixed(0.9)));
    }
}

/// Guards against an overload by less urgent calls that costs urgent ones.
#[test]
fn urgent_classes_are_served_fully() {
    let mut fleet = Fleet::new(Settings::default());
    let loads = [0.1, 0.4, 1.0, 0.5];
    fleet.run(2_000, loads);
    let [nested, urgent, cut, refused] = fleet.run(5_000, loads);
    for served in [nested, urgent] {
        assert_eq!(served.by_level, 0, "{served:?}");
        assert!(served.in_time * 100 >= served.arrived * 95, "{served:?}");
    }
    assert!(cut.by_level > 0 && cut.in_time > 0, "{cut:?}");
    assert!(
        refused.by_level * 100 >= refused.arrived * 95,
        "{refused:?}"
    );
}

/// Guards against calls that try gate after gate in an overload.
#[test]
fn a_call_that_is_not_nested_tries_few_gates() {
    let mut fleet = Fleet::new(Settings::default());
    fleet.run(2_000, mixed(2.0));
    let counts = fleet.run(5_000, mixed(2.0));
    let callers = sum(&counts[1..]);
    assert!(callers.attempts <= 3 * callers.answered, "{callers:?}");
}

/// Guards against wrong levels when half of all reports are lost.
#[test]
fn lost_reports_change_little() {
    let settings = || Settings {
        fault: Fault::LostReports(50),
        ..Settings::default()
    };
    assert_nothing_refused(&Fleet::new(settings()).run(6_000, mixed(0.9)));
    assert_keeps(in_time, settings, 1.0);
}

/// Guards against oscillation when reports take a quarter of a second.
#[test]
fn late_reports_change_little() {
    let settings = || Settings {
        fault: Fault::LateReports(250),
        ..Settings::default()
    };
    assert_nothing_refused(&Fleet::new(settings()).run(6_000, mixed(0.9)));
    assert_keeps(in_time, settings, 1.0);
}

/// Guards against an entry that refuses calls because it does not know the load yet, or that
/// does not take part in an overload.
#[test]
fn a_restarted_entry_admits_all_calls_until_it_knows_the_load() {
    let mut fleet = Fleet::new(Settings::default());
    fleet.run(3_000, mixed(2.0));
    fleet.restart_entry(0);
    assert_eq!(fleet.level_at(0), None);
    fleet.run(1_000, mixed(2.0));
    let level = fleet.level_at(0).expect("enough gates have reported");
    assert!(level.is_overloaded(), "{level:?}");
}

/// Guards against an entry that is cut off and refuses calls for a load that it no longer
/// knows.
#[test]
fn a_cut_off_entry_has_no_level() {
    let mut fleet = Fleet::new(Settings {
        fault: Fault::CutOffEntry(0, 3_000),
        ..Settings::default()
    });
    fleet.run(3_000, mixed(2.0));
    assert!(fleet.level_at(0).is_some());
    fleet.run(1_100, mixed(2.0));
    assert_eq!(fleet.level_at(0), None);
}

/// Guards against a restarted gate whose first reports cause refusals.
#[test]
fn a_restarted_gate_causes_no_refusals() {
    let mut fleet = Fleet::new(Settings::default());
    fleet.run(2_000, mixed(0.85));
    fleet.restart_gate(0);
    assert_nothing_refused(&fleet.run(3_000, mixed(0.85)));
}

/// Guards against a data centre that refuses calls for the overload of another one that it
/// does not reach.
#[test]
fn data_centres_that_disagree_act_on_the_gates_that_they_reach() {
    let mut fleet = Fleet::new(Settings {
        first_data_centre_percent: 80,
        fault: Fault::CutDataCentres,
        ..Settings::default()
    });
    fleet.run(3_000, mixed(1.0));
    let first = fleet.level_at(0).expect("the near gates report");
    let second = fleet.level_at(1).expect("the near gates report");
    assert!(first.is_overloaded(), "{first:?}");
    assert!(!second.is_overloaded(), "{second:?}");
}
