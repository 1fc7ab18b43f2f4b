//! Thundering herd: what a fleet asks of its store when all of it starts, and at rest.

use std::time::Duration;

use super::IN_FORCE_MS;
use super::fleet::{Calls, Fleet};
use super::source::SourceMode;

/// Hundreds of nodes.
const NODES: usize = 195;
const STARTS: Duration = Duration::from_millis(300);
const REGISTERS: Duration = Duration::from_secs(3);
/// From the last start, or the last entry, until all nodes must know all targets.
const KNOWN_WITHIN: Duration = IN_FORCE_MS.to_duration();

/// Starts whose mean is bounded.
const STARTED_FLEETS: u64 = 8;
const OUTAGE: Duration = Duration::from_secs(7);
/// Three groups of 65, each with five readers and five reserves.
const MAX_PROBES_A_SECOND: u64 = 3 * 10 * 3;

/// Guards against a first start at which every node fetches every change of the list.
#[test]
fn the_first_start_of_a_fleet_costs_the_store_about_two_calls_a_node() {
    let prices = std::thread::scope(|scope| {
        let starts: Vec<_> = (0..STARTED_FLEETS)
            .map(|_| scope.spawn(price_of_a_first_start))
            .collect();
        let price = |start: std::thread::ScopedJoinHandle<'_, u64>| start.join().expect("a start");
        starts.into_iter().map(price).collect::<Vec<u64>>()
    });
    // Nodes draw their pauses, so one start differs from the next by a half.
    let mean = prices.iter().sum::<u64>() / STARTED_FLEETS;
    assert!(mean <= NODES as u64 * 9 / 4, "{prices:?}");
}

fn price_of_a_first_start() -> u64 {
    in_virtual_time(async {
        let mut fleet = Fleet::of(NODES);
        fleet.start_over(STARTS, REGISTERS).await;
        tokio::time::sleep(KNOWN_WITHIN).await;
        assert_eq!(fleet.lacking(), 0);
        price(fleet.calls())
    })
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
        let calls = fleet.calls();
        assert!(price(calls) < NODES as u64 / 2, "{calls:?}");
    });
}

/// Guards against a reader that takes a version from a stale listing and never tells it.
#[test]
fn a_version_that_readers_met_in_a_stale_listing_reaches_all() {
    in_virtual_time(async {
        let mut fleet = Fleet::of(NODES);
        fleet.list_all();
        tokio::time::sleep(Duration::from_secs(5)).await;
        fleet.give_readers_current_replicas();
        fleet.put_next_version();
        fleet.restart_over(STARTS).await;
        tokio::time::sleep(KNOWN_WITHIN).await;
        assert_eq!(fleet.behind(), 0);
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

/// Guards against an outage in which each of hundreds of nodes asks again and again.
#[test]
fn an_outage_is_probed_by_few_nodes() {
    for mode in [SourceMode::Failing, SourceMode::DroppingCalls] {
        in_virtual_time(async move {
            let mut fleet = Fleet::of(NODES);
            fleet.start_over(STARTS, REGISTERS).await;
            tokio::time::sleep(Duration::from_secs(10)).await;
            let before = fleet.calls().current;
            fleet.set_store(mode);
            tokio::time::sleep(OUTAGE).await;
            fleet.set_store(SourceMode::Normal);
            fleet.put_next_version();
            tokio::time::sleep(KNOWN_WITHIN).await;
            assert_eq!(fleet.behind(), 0);
            let calls = fleet.calls().current - before;
            let most = OUTAGE.as_secs() * MAX_PROBES_A_SECOND;
            assert!(calls <= most, "{calls} calls, {mode:?}");
        });
    }
}

/// A stale read costs a tenth of a call.
const fn price(calls: Calls) -> u64 {
    calls.current + calls.stale / 10
}

fn in_virtual_time<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(test)
}
