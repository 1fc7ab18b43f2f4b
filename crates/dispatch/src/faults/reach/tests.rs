//! Tests of when a node considers itself cut off.

use super::*;

fn vm(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

/// A VM is cut off from all others. Its node detects this once several of them cannot be
/// reached, and recovers with the first that answers.
#[test]
fn a_node_that_reaches_no_vm_is_partitioned() {
    let mut reachability = Reachability::default();
    reachability.note_reached(Millis(1_000));
    reachability.note_unreachable(vm(1));
    reachability.note_unreachable(vm(2));
    assert!(!reachability.is_partitioned(13, Millis(5_000)));
    reachability.note_unreachable(vm(3));
    assert!(!reachability.is_partitioned(13, Millis(1_599)));
    assert!(reachability.is_partitioned(13, Millis(1_600)));
    reachability.note_reached(Millis(1_700));
    assert!(!reachability.is_partitioned(13, Millis(9_000)));
}

/// Several VMs fail at the same time, and others answer in between.
#[test]
fn a_node_that_reaches_any_vm_is_not_partitioned() {
    let mut reachability = Reachability::default();
    for number in 0..10 {
        reachability.note_unreachable(vm(number));
        reachability.note_reached(Millis(u64::from(number) * 1_000));
    }
    assert!(!reachability.is_partitioned(13, Millis(60_000)));
}

#[test]
fn small_fleets_need_fewer_unreachable_vms_and_a_single_vm_is_never_partitioned() {
    let mut reachability = Reachability::default();
    assert!(!reachability.is_partitioned(0, Millis(5_000)));
    reachability.note_unreachable(vm(1));
    assert!(reachability.is_partitioned(1, Millis(5_000)));
}
