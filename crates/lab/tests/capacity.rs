//! Cost of one node's control half, by exact counts in virtual time.
//!
//! A node that sends or receives more than 26 kB per second causes datagram loss on small
//! VMs. Each test starts a fleet of real control halves, lets it settle, and counts.
//! Values that must not grow are compared with those of a smaller fleet.

use hornbeamhitch_lab::capacity::control::{ControlCase, ControlFigures, measure};
use hornbeamhitch_lab::capacity::fleet::Calls;
use hornbeamhitch_lab::capacity::layout::Layout;

/// Required limit on the control traffic of a node.
const MAX_BYTES_PER_S: f64 = 26_000.0;
/// A node sends seven messages and at most three answers per second, and receives as many
/// on average.
const MAX_DATAGRAMS_PER_S: f64 = 20.0;
/// Limit for the control half. The required limit for the whole process is 256 MB.
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

/// Dependencies add one request per second and its answer, regardless of their number.
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

/// 48 nodes call a service of three targets. Each target answers a few of their requests
/// per second, and callers without an answer send requests less often.
#[test]
fn a_shared_service_stays_within_the_budget() {
    let shared = figures(Layout::callers_of_one(3, 4, 12), Calls::None);
    assert!(shared.bytes_per_s() <= MAX_BYTES_PER_S / 2.0);
    assert!(shared.datagrams_in_per_s <= MAX_DATAGRAMS_PER_S);
}

/// A node that calls 30 targets per second gets their load reports with the answers. This
/// causes no probes, and the node publishes at most six route tables per second.
#[test]
fn load_reports_on_answers_add_no_messages() {
    let calling = figures(Layout::caller_and_callees(5, 5, 6), Calls::EveryTarget);
    assert!(calling.bytes_per_s() <= MAX_BYTES_PER_S / 2.0);
    assert!(calling.probes_per_s <= 0.5);
    assert!(calling.tables_per_s <= 6.0);
    assert_eq!(calling.doubtful_targets, 0);
}
