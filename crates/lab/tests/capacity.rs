//! What one node's control half costs, in exact counts of virtual time.
//!
//! Operators see a node that sends or receives more than 26 kB a second as lost
//! datagrams on small VMs. Each case starts a fleet of real control halves,
//! lets it settle, and counts. What must not grow is held against the same
//! figure of a smaller run.

use hornbeamhitch_lab::capacity::control::{ControlCase, ControlFigures, measure};
use hornbeamhitch_lab::capacity::fleet::Calls;
use hornbeamhitch_lab::capacity::layout::Layout;

/// The letter's bound on control traffic of a node.
const MAX_BYTES_PER_S: f64 = 26_000.0;
/// Seven messages a second go out, and three answers at most; the same come in
/// on average.
const MAX_DATAGRAMS_PER_S: f64 = 20.0;
/// The letter's bound is 256 MB for the whole process.
const MAX_CONTROL_MEMORY_BYTES: u64 = 1_000_000;

fn figures(layout: Layout, calls: Calls) -> ControlFigures {
    let figures = measure(&ControlCase {
        name: "test".to_owned(),
        layout,
        calls,
        edited: false,
        settle_s: 6,
        measure_s: 8,
    });
    println!("{figures:?}");
    figures
}

/// Dependencies add one question a second and its answer, and nothing that
/// follows their number.
#[test]
fn messages_do_not_grow_with_service_and_dependencies() {
    let small = figures(Layout::caller_and_callees(5, 1, 6), Calls::None);
    let large = figures(Layout::caller_and_callees(16, 5, 6), Calls::None);
    for one in [&small, &large] {
        assert!(one.bytes_per_s() <= MAX_BYTES_PER_S / 2.0);
        assert!(one.datagrams_out_per_s + one.datagrams_in_per_s <= MAX_DATAGRAMS_PER_S);
        assert!(one.memory_bytes <= MAX_CONTROL_MEMORY_BYTES);
    }
    assert!(large.bytes_per_s() <= 1.5 * small.bytes_per_s());
    assert_eq!(large.known_targets, 16 + 5 * 6);
}

/// A service of three that 48 nodes call: each target answers a few of their
/// questions a second, and callers that are not answered ask less often.
#[test]
fn a_shared_service_stays_within_the_budget() {
    let shared = figures(Layout::callers_of_one(3, 4, 12), Calls::None);
    assert!(shared.bytes_per_s() <= MAX_BYTES_PER_S / 2.0);
    assert!(shared.datagrams_in_per_s <= MAX_DATAGRAMS_PER_S);
}

/// A node that calls 30 targets in one second hears of each by an answer, and
/// none of this costs a probe or makes it publish more than five tables.
#[test]
fn load_reports_on_answers_add_no_messages() {
    let calling = figures(Layout::caller_and_callees(5, 5, 6), Calls::EveryTarget);
    assert!(calling.bytes_per_s() <= MAX_BYTES_PER_S / 2.0);
    assert!(calling.probes_per_s <= 0.5);
    assert!(calling.tables_per_s <= 6.0);
    assert_eq!(calling.doubtful_targets, 0);
}
