//! When a node takes itself for cut off.

use super::*;

fn vm(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

/// A VM is cut off from all others. It notices once several of them cannot be
/// reached, and is back with the first that answers.
#[test]
fn a_node_that_reaches_nobody_is_cut_off() {
    let mut reach = Reachability::default();
    reach.note_reached(Millis(1_000));
    reach.note_unreachable(vm(1));
    reach.note_unreachable(vm(2));
    assert!(!reach.is_partitioned(13, Millis(5_000)));
    reach.note_unreachable(vm(3));
    assert!(!reach.is_partitioned(13, Millis(1_599)));
    assert!(reach.is_partitioned(13, Millis(1_600)));
    reach.note_reached(Millis(1_700));
    assert!(!reach.is_partitioned(13, Millis(9_000)));
}

/// Several VMs die together, and others answer in between.
#[test]
fn a_node_that_reaches_anyone_is_not() {
    let mut reach = Reachability::default();
    for number in 0..10 {
        reach.note_unreachable(vm(number));
        reach.note_reached(Millis(u64::from(number) * 1_000));
    }
    assert!(!reach.is_partitioned(13, Millis(60_000)));
}

#[test]
fn in_a_small_fleet_fewer_are_enough_and_alone_there_is_nobody_to_miss() {
    let mut reach = Reachability::default();
    assert!(!reach.is_partitioned(0, Millis(5_000)));
    reach.note_unreachable(vm(1));
    assert!(reach.is_partitioned(1, Millis(5_000)));
}
