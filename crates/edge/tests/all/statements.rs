//! Statements of targets about themselves: limits on requests, and leaving.

use std::time::Duration;

use hornbeamhitch_edge::prelude::*;

use crate::support::entry_end::FakeEntry;
use crate::support::{Fleet, fleet};

/// Limit that the target states, in requests per second.
const LIMIT_PER_S: usize = 6;
/// Window in which requests are counted against the limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that a target with this limit tolerates within [`WINDOW`]: one and a half times
/// what the limit allows, and 5 more.
const TOLERATED: usize = 6 * LIMIT_PER_S + 5;
/// Requests that are sent in each burst, within one window.
const BURST: usize = 120;

/// Sends a burst of lookups and returns how they ended; `None` stands for an answer.
async fn ends_of_burst(fleet: &Fleet, entry: &mut FakeEntry) -> Vec<Option<CallEnd>> {
    let started = tokio::time::Instant::now();
    let mut ends = Vec::new();
    for _ in 0..BURST {
        let id = entry.send_lookup().await;
        ends.push(entry.end_of(id).await);
    }
    assert!(started.elapsed() < WINDOW, "the machine is too slow");
    assert!(!fleet.vms[0].target.ran().is_empty());
    ends
}

/// Guards against a target that is pressed far beyond the limit that it states in its
/// answers.
#[tokio::test]
async fn a_gate_keeps_to_the_limit_that_its_target_states() {
    let fleet = fleet(&["s"]).await;
    let limit = LIMIT_PER_S.to_string();
    fleet.vms[0].target.set_max_requests_per_s(Some(&limit));
    let mut entry = FakeEntry::connect(&fleet).await;
    ends_of_burst(&fleet, &mut entry).await;
    let ran = fleet.vms[0].target.ran().len();
    assert!(ran <= TOLERATED, "{ran} requests ran");
}

/// Guards against new work for a target that has stated in an answer that it is leaving,
/// although the list does not show it yet and its health check passes.
#[tokio::test]
async fn a_gate_refuses_calls_after_its_target_has_stated_that_it_leaves() {
    let fleet = fleet(&["s"]).await;
    fleet.vms[0].target.state_leaving(true);
    let mut entry = FakeEntry::connect(&fleet).await;
    let first = entry.send_lookup().await;
    entry.end_of(first).await;
    let ran_before = fleet.vms[0].target.ran().len();
    let second = entry.send_lookup().await;
    assert_eq!(entry.end_of(second).await, Some(CallEnd::Leaving));
    assert_eq!(fleet.vms[0].target.ran().len(), ran_before);
}
