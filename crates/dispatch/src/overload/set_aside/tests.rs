//! Tests of deducting retries from what the level admits.

use super::*;

const WORK_MS: Millis = Millis(80);

fn class() -> LoadClass {
    LoadClass::of_priority(1)
}

fn level(part: f64) -> Level {
    Level {
        room_slots: 16.0,
        demand_slots: [0.0; LOAD_CLASSES],
        admitted: [1.0, 1.0, part, 0.0],
    }
}

/// Guards against admitting more work than the capacity, because retries are admitted
/// beside the whole part that the level admits.
#[test]
fn retries_and_new_calls_together_get_what_the_level_admits() {
    for part in [0.2, 0.5, 0.8] {
        for returns_in_100 in [5, 10, 19] {
            let service = ServiceName::new("actas");
            let mut set_aside = SetAside::default();
            let mut credit = 0.0;
            let mut admitted = 0;
            for number in 0..10_000_u32 {
                if number * returns_in_100 % 100 < returns_in_100 {
                    set_aside.note_return(&service, class(), WORK_MS, &level(part));
                    admitted += 1;
                    continue;
                }
                credit += part;
                if credit < 1.0 {
                    continue;
                }
                credit -= 1.0;
                let is_claimed = set_aside.claims(&service, class(), WORK_MS, &level(part));
                admitted += u32::from(!is_claimed);
            }
            let expected = 10_000.0 * part;
            let error = (f64::from(admitted) - expected).abs() / expected;
            assert!(
                error < 0.05,
                "{admitted} instead of {expected} at {part}, {returns_in_100} retries in 100"
            );
        }
    }
}

/// Guards against refusing calls of a class that the level admits whole.
#[test]
fn a_class_that_is_admitted_whole_is_not_deducted_from() {
    let service = ServiceName::new("actas");
    let mut set_aside = SetAside::default();
    for _ in 0..100 {
        set_aside.note_return(&service, class(), WORK_MS, &level(0.1));
    }
    let urgent = LoadClass::of_priority(0);
    assert!(!set_aside.claims(&service, urgent, WORK_MS, &level(0.1)));
    assert!(set_aside.claims(&service, class(), WORK_MS, &level(0.1)));
}

/// Guards against keeping new calls out for long, and after the overload.
#[test]
fn what_is_owed_is_bounded_and_ends_with_the_overload() {
    let service = ServiceName::new("actas");
    let mut set_aside = SetAside::default();
    for _ in 0..1_000 {
        set_aside.note_return(&service, class(), WORK_MS, &level(0.1));
    }
    let mut claimed = 0;
    while set_aside.claims(&service, class(), WORK_MS, &level(0.1)) {
        claimed += 1;
    }
    assert_eq!(claimed, 8);
    for _ in 0..1_000 {
        set_aside.note_return(&service, class(), WORK_MS, &level(0.1));
    }
    set_aside.forget(&service);
    assert!(!set_aside.claims(&service, class(), WORK_MS, &level(0.1)));
}
