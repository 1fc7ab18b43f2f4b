//! A store that returns from a copy: its revisions go back and are assigned again.

use std::time::Duration;

use super::fleet::Fleet;
use super::source::SourceMode;
use super::{IN_FORCE_MS, in_virtual_time};

const NODES: usize = 14;
const OUTAGE: Duration = Duration::from_secs(2);
/// Time by which the copy is older than the store that it replaces.
const COPY_LAG: Duration = Duration::from_secs(3);
/// Versions that the store loses.
const LOST_VERSIONS: usize = 20;

/// Guards against a configuration that reaches one node alone, because the others take its
/// revision for an old one, and against a node that reads the store without a pause.
#[test]
fn a_change_in_a_store_that_returned_from_a_copy_is_in_force_in_time() {
    in_virtual_time(async {
        let mut fleet = Fleet::start(NODES).await;
        tokio::time::sleep(COPY_LAG).await;
        for _ in 0..LOST_VERSIONS {
            fleet.put_next_version();
        }
        tokio::time::sleep(IN_FORCE_MS.to_duration()).await;
        assert_eq!(fleet.outdated_nodes(), 0);
        fleet.set_store_mode(SourceMode::Failing);
        fleet.restore_store_from_copy(COPY_LAG);
        tokio::time::sleep(OUTAGE).await;
        fleet.set_store_mode(SourceMode::Normal);
        tokio::time::sleep(OUTAGE).await;
        let before = fleet.calls().current;
        fleet.put_next_version();
        tokio::time::sleep(IN_FORCE_MS.to_duration()).await;
        assert_eq!(fleet.outdated_nodes(), 0);
        let calls = fleet.calls().current - before;
        assert!(calls <= NODES as u64 * 2, "{calls} calls");
    });
}
