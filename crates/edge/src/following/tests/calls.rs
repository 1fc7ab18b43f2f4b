//! Thundering herd: what a fleet asks of its store when all of it starts, and at rest.

use std::time::Duration;

use super::IN_FORCE_MS;
use super::fleet::{Calls, Fleet};

/// Hundreds of nodes.
const NODES: usize = 195;
const STARTS: Duration = Duration::from_millis(300);
const REGISTERS: Duration = Duration::from_secs(3);
/// From the last start, or the last entry, until all nodes must know all targets.
const KNOWN_WITHIN: Duration = IN_FORCE_MS.to_duration();

/// Guards against a first start at which every node fetches every change of the list.
#[test]
fn the_first_start_of_a_fleet_costs_the_store_two_calls_a_node() {
    in_virtual_time(async {
        let mut fleet = Fleet::of(NODES);
        fleet.start_over(STARTS, REGISTERS).await;
        tokio::time::sleep(KNOWN_WITHIN).await;
        assert_eq!(fleet.lacking(), 0);
        assert_priced_below(fleet.calls(), 2 * NODES as u64);
    });
}

/// Guards against a fleet that loses power and reads the whole list once a node.
#[test]
fn a_restart_of_a_fleet_costs_the_store_half_a_call_a_node() {
    in_virtual_time(async {
        let mut fleet = Fleet::of(NODES);
        fleet.list_all();
        tokio::time::sleep(Duration::from_secs(5)).await;
        fleet.restart_over(STARTS).await;
        assert_eq!(fleet.lacking(), 0);
        tokio::time::sleep(KNOWN_WITHIN).await;
        assert_eq!(fleet.lacking(), 0);
        assert_priced_below(fleet.calls(), NODES as u64 / 2);
    });
}

/// Guards against calls at rest that grow with the number of readers.
#[test]
fn a_fleet_at_rest_asks_by_few_nodes() {
    in_virtual_time(async {
        let mut fleet = Fleet::of(NODES);
        fleet.start_over(STARTS, REGISTERS).await;
        tokio::time::sleep(Duration::from_secs(10)).await;
        let before = fleet.calls().current;
        tokio::time::sleep(Duration::from_secs(30)).await;
        let calls = fleet.calls().current - before;
        // Three groups of 65, each with one leader that asks every 600 ms.
        assert!(calls <= 3 * 51, "{calls} calls");
    });
}

/// A stale read costs a tenth of a call.
fn assert_priced_below(calls: Calls, most: u64) {
    let price = calls.current + calls.stale / 10;
    assert!(
        price < most,
        "{calls:?} is {price} calls and not below {most}"
    );
}

fn in_virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(test);
}
