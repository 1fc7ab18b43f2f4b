//! Decisions on the path of a call allocate no memory.

use hornbeamhitch_lab::fixture::{
    arrive_and_finish, entry_with_targets, gate_with_records, pick_and_finish,
};

const WARM_UP_STEPS: u64 = 20_000;
const MEASURED_STEPS: u64 = 10_000;

/// Allocations in a pick increase the tail latency, because under load the allocator's
/// locks and page faults delay random calls. The entry is warmed up first, until its
/// buffers have their final size; after that no pick may allocate.
#[test]
fn pick_and_finish_allocate_nothing() {
    for targets in [3, 5, 50, 500] {
        let mut entry = entry_with_targets(targets);
        for step in 0..WARM_UP_STEPS {
            pick_and_finish(&mut entry, step);
        }
        let info = allocation_counter::measure(|| {
            for step in WARM_UP_STEPS..WARM_UP_STEPS + MEASURED_STEPS {
                pick_and_finish(&mut entry, step);
            }
        });
        assert_eq!(info.count_total, 0, "with {targets} targets");
    }
}

/// The same applies to the gate, for a call without a ticket that runs immediately. The
/// gate's tables grow during the warm-up and then keep their size.
#[test]
fn arrive_and_finish_allocate_nothing() {
    for records in [0, 500] {
        let mut gate = gate_with_records(records);
        for step in 0..WARM_UP_STEPS {
            arrive_and_finish(&mut gate, None, step);
        }
        let info = allocation_counter::measure(|| {
            for step in WARM_UP_STEPS..WARM_UP_STEPS + MEASURED_STEPS {
                arrive_and_finish(&mut gate, None, step);
            }
        });
        assert_eq!(info.count_total, 0, "with {records} records");
    }
}
