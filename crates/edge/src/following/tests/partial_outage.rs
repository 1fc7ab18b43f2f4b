//! Bounds the age of what nodes know while the source rejects some of them.

use std::time::Duration;

use super::fleet::Fleet;
use super::source::SourceMode;
use super::{IN_FORCE_MS, in_virtual_time};

/// Nodes in one group, with five readers and five reserves.
const NODES: usize = 70;
const IN_FORCE: Duration = IN_FORCE_MS.to_duration();
/// Versions published during an outage, and the interval between them.
const VERSIONS: u32 = 8;
const VERSION_INTERVAL: Duration = Duration::from_millis(700);
/// Time without any version. An outage then begins at another moment between two polls.
const STEP: Duration = Duration::from_millis(77);

async fn settled_fleet(nodes: usize) -> Fleet {
    let mut fleet = Fleet::unstarted(nodes);
    let span = Duration::from_millis(300);
    fleet.start_staggered(span, span).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.nodes_missing_targets(), 0);
    fleet
}

/// Guards against nodes that use an outdated configuration although the source serves them,
/// because it rejects all nodes that poll it for the others.
#[test]
fn an_outage_of_all_pollers_delays_no_change() {
    for mode in [SourceMode::Failing, SourceMode::DroppingCalls] {
        for step in 0..8 {
            in_virtual_time(async move {
                let mut fleet = settled_fleet(NODES).await;
                tokio::time::sleep(STEP * step).await;
                fleet.set_mode_of_pollers(mode);
                for _ in 0..VERSIONS {
                    fleet.put_next_version();
                    tokio::time::sleep(VERSION_INTERVAL).await;
                }
                tokio::time::sleep(IN_FORCE - VERSION_INTERVAL).await;
                assert_eq!(fleet.outdated_nodes(), 0, "{mode:?}, step {step}");
            });
        }
    }
}

/// Guards against polls of all nodes during an outage of the whole source.
#[test]
fn an_outage_of_the_source_costs_few_calls_per_node() {
    const LARGE_FLEET: usize = 500;
    for (nodes, most_per_100_nodes) in [(NODES, 400), (LARGE_FLEET, 250)] {
        in_virtual_time(async move {
            let fleet = settled_fleet(nodes).await;
            let before = fleet.calls().current;
            fleet.set_store_mode(SourceMode::Failing);
            tokio::time::sleep(2 * IN_FORCE).await;
            let calls = fleet.calls().current - before;
            let most = nodes as u64 * most_per_100_nodes / 100;
            assert!(calls <= most, "{calls} calls of {nodes} nodes");
        });
    }
}
