//! Answers of the store that take a large part of the time within which changes must be in force.

use std::time::Duration;

use super::fleet::Fleet;
use super::in_virtual_time;
use super::parts::{IN_FORCE, THIN_LINE_BYTES_PER_MS, settled_fleet};

const NODES: usize = 70;
/// Routes of a configuration of some 600 kB at the store and 150 kB between nodes.
const ROUTES: usize = 2_800;
/// 10 Mbit/s, half of which is used by calls and bodies.
const ANSWER_BYTES_PER_MS: u64 = 600;
/// Time that the operator's line needs for the same text. The platform confirms it then.
const CONFIRMATION: Duration = Duration::from_secs(1);

async fn fleet_with_slow_answers() -> Fleet {
    let fleet = settled_fleet(NODES, THIN_LINE_BYTES_PER_MS).await;
    fleet.limit_store_answers(ANSWER_BYTES_PER_MS);
    fleet
}

/// Guards against followers that take a reader which receives a large answer for one that
/// cannot read, and then all receive the same answer themselves.
#[test]
fn followers_leave_a_large_answer_to_their_readers() {
    in_virtual_time(async {
        let mut fleet = fleet_with_slow_answers().await;
        for _ in 0..3 {
            fleet.put_next_large_version(ROUTES);
            tokio::time::sleep(CONFIRMATION + IN_FORCE).await;
            assert_eq!(fleet.followers_that_received_routes(), 0);
            assert_eq!(fleet.nodes_missing_routes(ROUTES), 0);
            assert_eq!(fleet.outdated_nodes(), 0);
        }
    });
}

/// Guards against a small version right behind a large one, which the readers receive only with
/// the whole configuration, and too late.
#[test]
fn a_version_right_behind_a_large_one_is_in_force_in_time() {
    in_virtual_time(async {
        let mut fleet = fleet_with_slow_answers().await;
        for _ in 0..3 {
            fleet.put_next_large_version(ROUTES);
            tokio::time::sleep(CONFIRMATION).await;
            fleet.put_next_large_version(ROUTES);
            tokio::time::sleep(IN_FORCE).await;
            let first = fleet.version_before(1);
            assert_eq!(fleet.nodes_before_version(first), 0);
            tokio::time::sleep(CONFIRMATION).await;
            assert_eq!(fleet.outdated_nodes(), 0);
            assert_eq!(fleet.followers_that_received_routes(), 0);
        }
    });
}
