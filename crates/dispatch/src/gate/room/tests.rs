//! Tests of the meter.

use super::*;

const LIMIT: u32 = 8;

fn bounds() -> TargetBounds {
    TargetBounds {
        limit: LIMIT,
        max_requests_per_s: None,
        accepts_work: true,
    }
}

/// Returns a meter whose target runs as expected.
fn meter() -> RoomMeter {
    let mut meter = RoomMeter::new(Millis::ZERO);
    meter.note_run(Millis(100), Millis(100), Millis(300));
    meter
}

fn room(meter: &mut RoomMeter, now: u64) -> u32 {
    let load = meter.load(&bounds(), Millis(now)).expect("a report");
    load.room_centislots
}

/// Guards against a first report that rests on too little.
#[test]
fn the_first_report_comes_after_300_ms_and_a_run() {
    let mut meter = RoomMeter::new(Millis(1_000));
    assert_eq!(meter.load(&bounds(), Millis(1_400)), None);
    meter.note_run(Millis(100), Millis(100), Millis(1_200));
    assert_eq!(meter.load(&bounds(), Millis(1_299)), None);
    assert!(meter.load(&bounds(), Millis(1_300)).is_some());
}

/// Guards against a target with idle slots that is taken for full because it runs little.
#[test]
fn the_room_is_the_limit_while_nothing_is_refused() {
    let mut meter = meter();
    meter.note_started(1, LIMIT, Millis(400));
    assert_eq!(room(&mut meter, 5_000), 800);
}

/// Guards against a target whose slots are held for other calls and that is taken for a
/// smaller one.
#[test]
fn a_lack_of_slots_leaves_the_whole_limit() {
    let mut meter = meter();
    meter.note_started(6, LIMIT, Millis(400));
    for now in 400..3_000 {
        meter.note_refused(Lack::Slot, Millis(now));
    }
    assert_eq!(room(&mut meter, 3_000), 800);
}

/// Guards against calls that are admitted for a target that starts none because it is slow.
#[test]
fn the_room_falls_to_what_runs_while_the_target_is_slow() {
    let mut meter = meter();
    meter.note_started(4, LIMIT, Millis(400));
    for now in 400..2_400 {
        meter.note_refused(Lack::Speed, Millis(now));
    }
    let after_one_time_constant = room(&mut meter, 2_400);
    assert!((530..=560).contains(&after_one_time_constant));
    meter.note_running(0, LIMIT, Millis(2_400));
    for now in 2_400..12_000 {
        meter.note_refused(Lack::Speed, Millis(now));
    }
    assert_eq!(room(&mut meter, 12_000), 200, "a quarter remains");
    meter.note_started(1, LIMIT, Millis(12_000));
    assert_eq!(room(&mut meter, 12_500), 800, "the slow spell is over");
}

/// Guards against slow moments of a busy target that count as if nothing could run at all.
#[test]
fn a_start_ends_a_slow_spell() {
    let mut meter = meter();
    meter.note_running(4, LIMIT, Millis(400));
    for step in 0..50 {
        let from = 400 + step * 200;
        for now in from..from + 50 {
            meter.note_refused(Lack::Speed, Millis(now));
        }
        meter.note_started(4, LIMIT, Millis(from + 50));
    }
    // Half of the limit for a quarter of the time.
    let room = room(&mut meter, 10_400);
    assert!((690..=710).contains(&room), "{room}");
}

/// Guards against slow targets whose slots count like those of fast ones.
#[test]
fn a_slow_target_has_less_room() {
    let mut meter = meter();
    for now in 400..4_000 {
        meter.note_run(Millis(100), Millis(200), Millis(now));
    }
    assert_eq!(room(&mut meter, 4_000), 400);
}

/// Guards against calls that are admitted for a cold target and wait for its rate.
#[test]
fn a_limited_rate_bounds_the_room() {
    let mut meter = meter();
    let limited = TargetBounds {
        max_requests_per_s: Some(6.0),
        ..bounds()
    };
    let load = meter.load(&limited, Millis(400)).expect("a report");
    assert_eq!(load.room_centislots, 60);
    let closed = TargetBounds {
        accepts_work: false,
        ..bounds()
    };
    let load = meter.load(&closed, Millis(400)).expect("a report");
    assert_eq!(load.room_centislots, 0);
}

/// Guards against demand that is counted for too short or too long.
#[test]
fn demand_is_averaged_over_half_a_second() {
    let mut meter = meter();
    for now in (0..2_000).step_by(50) {
        let report = DemandReport {
            work_ms: [0, 100, 50, 0],
        };
        meter.note_demand(&report, Millis(now));
    }
    let load = meter.load(&bounds(), Millis(2_000)).expect("a report");
    assert_eq!(load.demand_centislots, [0, 200, 100, 0]);
    let load = meter.load(&bounds(), Millis(2_250)).expect("a report");
    assert_eq!(load.demand_centislots, [0, 100, 50, 0]);
    meter.note_run(Millis(100), Millis(100), Millis(2_600));
    let load = meter.load(&bounds(), Millis(2_600)).expect("a report");
    assert_eq!(load.demand_centislots, [0; LOAD_CLASSES]);
}

/// Guards against a restarted gate that reports too little demand because it has not run for
/// a whole window.
#[test]
fn a_new_gate_averages_over_its_own_time() {
    let mut meter = RoomMeter::new(Millis(1_000));
    meter.note_run(Millis(100), Millis(100), Millis(1_100));
    for now in (1_000..1_300).step_by(50) {
        let report = DemandReport {
            work_ms: [0, 100, 0, 0],
        };
        meter.note_demand(&report, Millis(now));
    }
    let load = meter.load(&bounds(), Millis(1_300)).expect("a report");
    assert_eq!(load.demand_centislots, [0, 200, 0, 0]);
}

/// Guards against a restarted target that inherits what its predecessor ran.
#[test]
fn a_restarted_target_is_measured_anew() {
    let mut meter = meter();
    meter.note_run(Millis(100), Millis(900), Millis(400));
    meter.forget_target();
    assert_eq!(meter.load(&bounds(), Millis(500)), None);
}
