//! Tests of single steps of the decision.

use std::sync::Arc;

use super::*;

fn member(number: usize) -> Member {
    Member {
        id: TargetId::new(&format!("i-{number}")),
        service: ServiceName::new("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: DataCentre::new("here"),
        slots: 8,
        draining: false,
        listing_order: Revision::new(0, 1),
        started_at_ms: None,
    }
}

fn overload() -> GateLoad {
    GateLoad {
        room_centislots: 800,
        demand_centislots: [0, 800, 1_600, 0],
    }
}

/// Guards against a level that rests on one or two gates of many.
#[test]
fn there_is_no_level_with_few_reports() {
    let service = ServiceName::new("s");
    let mut levels = ServiceLevels::default();
    levels.note_load(&member(0), overload(), Millis(0));
    assert_eq!(levels.level(&service, 3, Millis(1)), None);
    levels.note_load(&member(1), overload(), Millis(0));
    assert_eq!(levels.level(&service, 12, Millis(1)), None);
    assert!(levels.level(&service, 3, Millis(1)).is_some());
    levels.note_load(&member(2), overload(), Millis(0));
    assert!(levels.level(&service, 12, Millis(1)).is_some());
    assert_eq!(levels.level(&service, 12, Millis(1_000)), None);
}

/// Returns a target in another data centre.
fn far_member(number: usize) -> Member {
    Member {
        data_centre: DataCentre::new("there"),
        ..member(number)
    }
}

/// Guards against a full data centre that stands for all others because few of their gates are
/// known.
#[test]
fn each_data_centre_stands_for_its_own_targets() {
    let service = ServiceName::new("s");
    let mut levels = ServiceLevels::default();
    let mut available = Vec::new();
    for number in 0..4 {
        levels.note_load(&member(number), overload(), Millis(0));
        available.push(Arc::new(member(number)));
    }
    let idle = GateLoad {
        room_centislots: 800,
        demand_centislots: [0; LOAD_CLASSES],
    };
    levels.note_load(&far_member(4), idle, Millis(0));
    for number in 4..8 {
        available.push(Arc::new(far_member(number)));
    }
    levels.note_targets(&service, &available);
    let level = levels.level(&service, 8, Millis(0)).expect("five reports");
    assert!((level.room_slots - 64.0).abs() < 1e-6, "{level:?}");
    // Half of the targets have 24 slots of demand each.
    let demand_slots: f64 = level.demand_slots.iter().sum();
    assert!((demand_slots - 96.0).abs() < 1e-6, "{level:?}");
}

/// Guards against a target that has left and stays in the estimate with its last report.
#[test]
fn targets_that_have_left_do_not_count() {
    let service = ServiceName::new("s");
    let mut levels = ServiceLevels::default();
    let mut available = Vec::new();
    for number in 0..6 {
        let is_listed = number < 3;
        let load = GateLoad {
            room_centislots: if is_listed { 800 } else { 0 },
            ..GateLoad::default()
        };
        levels.note_load(&member(number), load, Millis(0));
        if is_listed {
            available.push(Arc::new(member(number)));
        }
    }
    levels.note_targets(&service, &available);
    let level = levels.level(&service, 3, Millis(0)).expect("three reports");
    assert!((level.room_slots - 24.0).abs() < 1e-6, "{level:?}");
}

/// Guards against a class that is admitted in bursts.
#[test]
fn a_part_is_admitted_evenly() {
    let service = ServiceName::new("s");
    let class = LoadClass::of_priority(1);
    let mut levels = ServiceLevels::default();
    levels.note_load(&member(0), overload(), Millis(0));
    let level = Level {
        room_slots: 8.0,
        demand_slots: [0.0, 6.0, 8.0, 0.0],
        admitted: [1.0, 1.0, 0.25, 0.0],
    };
    for _ in 0..10 {
        let admitted = (0..4).filter(|_| levels.admits(&service, class, &level));
        assert_eq!(admitted.count(), 1);
    }
    assert!(levels.admits(&service, LoadClass::of_priority(0), &level));
    assert!(!levels.admits(&service, LoadClass::of_priority(2), &level));
}

/// Guards against reports that flood links, and against work that counts twice after a pause
/// because gates take it for work of their last windows.
#[test]
fn demand_is_reported_in_intervals() {
    let service = ServiceName::new("s");
    let class = LoadClass::of_priority(0);
    let mut levels = ServiceLevels::default();
    levels.note_arrival(&service, class, Millis(80), Millis(0));
    let first = levels.take_demand(&service, Millis(0)).expect("a report");
    assert_eq!(first.work_ms, [0, 80, 0, 0]);
    levels.note_arrival(&service, class, Millis(80), Millis(10));
    assert_eq!(levels.take_demand(&service, Millis(49)), None);
    levels.note_arrival(&service, class, Millis(80), Millis(50));
    let second = levels.take_demand(&service, Millis(50)).expect("a report");
    assert_eq!(second.work_ms, [0, 160, 0, 0]);
    levels.note_arrival(&service, class, Millis(80), Millis(1_050));
    let late = levels
        .take_demand(&service, Millis(1_050))
        .expect("a report");
    assert_eq!(late.work_ms, [0, 40, 0, 0]);
}

/// Guards against a log that repeats itself or leaves out the end of a level.
#[test]
fn begin_and_end_of_a_level_are_reported_once() {
    let service = ServiceName::new("s");
    let mut levels = ServiceLevels::default();
    let mut changes = Vec::new();
    for now in 0..6_000 {
        let now = Millis(now);
        let mut load = overload();
        if now >= Millis(2_500) {
            load.demand_centislots = [0, 400, 0, 0];
        }
        for number in 0..3 {
            levels.note_load(&member(number), load, now);
        }
        levels.level(&service, 3, now);
        if let Some(change) = levels.take_change(&service, now) {
            let inputs = change.inputs.expect("three reports");
            assert_eq!((inputs.reports, inputs.max_age_ms), (3, Millis::ZERO));
            changes.push((now, change.admitted.map(|admitted| admitted < 1.0)));
        }
    }
    let intervals = changes.windows(2).map(|pair| pair[1].0.since(pair[0].0));
    assert!(intervals.min() >= Some(Millis(1_000)), "{changes:?}");
    assert_eq!(changes.first().map(|first| first.1[2]), Some(true));
    assert_eq!(changes.last().map(|last| last.1), Some([false; 4]));
}

/// Guards against an entry that takes more than its part of the capacity.
#[test]
fn the_own_share_is_the_part_of_the_demand() {
    let service = ServiceName::new("s");
    let class = LoadClass::of_priority(0);
    let mut levels = ServiceLevels::default();
    for now in 0..3_000 {
        levels.note_arrival(&service, class, Millis(2), Millis(now));
    }
    let level = Level {
        room_slots: 8.0,
        demand_slots: [0.0, 6.0, 2.0, 0.0],
        admitted: [1.0; 4],
    };
    let share = levels.own_share(&service, &level, Millis(3_000));
    assert!((0.24..=0.26).contains(&share), "{share}");
}
