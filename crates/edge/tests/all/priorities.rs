//! Priority at a gate whose target is full.

use std::sync::Arc;

use hornbeamhitch_edge::directory::Directory;
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_wire::link::CallId;

use crate::support::entry_end::FakeEntry;
use crate::support::target::until;
use crate::support::{Fleet, fleet, route};

/// Number of slots of the fleet's targets.
const SLOTS: u32 = 4;

/// Adds a route of the highest priority to the fleet's service, where all routes have
/// priority 1.
fn add_urgent_route(fleet: &Fleet) {
    let known = fleet.directory.load_full();
    let mut routes = known.routes.as_deref().expect("routes").clone();
    let mut urgent = route("urgent", "/urgent/", CallKind::Idempotent, "s", 2_000);
    urgent.priority = 0;
    routes.add("h", urgent);
    fleet.directory.store(Arc::new(Directory {
        routes: Some(Arc::new(routes)),
        ..Directory::clone(&known)
    }));
}

/// Sends a call that a target answers after 40 s, so that its gate holds a slot for it for
/// 10 s.
async fn send_long_call(entry: &mut FakeEntry, path: &str, priority: u8) -> CallId {
    let terms = CallTerms {
        priority,
        work_ms: Millis(40_000),
        objective_ms: Millis(100_000),
        whole_objective_ms: Millis(100_000),
        deadline_ms: Millis(200_000),
        ..entry.lookup_terms()
    };
    entry.send_call(path, terms).await
}

/// Fills the target, lets an urgent call be rejected, and frees a slot.
async fn reject_urgent_call(fleet: &Fleet, entry: &mut FakeEntry) {
    let mut running = Vec::new();
    for _ in 0..SLOTS {
        let id = send_long_call(entry, "/read/hang", 1).await;
        entry.started(id).await;
        running.push(id);
    }
    let urgent = send_long_call(entry, "/urgent/", 0).await;
    assert_eq!(entry.end_of(urgent).await, Some(CallEnd::Busy));
    entry.cancel(running[0]).await;
    let target = &fleet.vms[0].target;
    until("the run is cancelled", || target.cancelled() == 1).await;
}

/// Guards against calls of a low priority that take the slots for which calls of a higher
/// one were just rejected, where the configuration calls for priority over a whole service.
#[tokio::test]
async fn a_free_slot_is_held_for_an_urgent_call_that_was_rejected() {
    let fleet = fleet(&["s"]).await;
    add_urgent_route(&fleet);
    let mut entry = FakeEntry::connect(&fleet).await;
    reject_urgent_call(&fleet, &mut entry).await;
    let other = send_long_call(&mut entry, "/read/", 1).await;
    assert_eq!(entry.end_of(other).await, Some(CallEnd::Busy));
    let urgent = send_long_call(&mut entry, "/urgent/", 0).await;
    assert_eq!(entry.end_of(urgent).await, None);
}

/// Guards against held slots where no routes of different priority compete.
#[tokio::test]
async fn without_competing_routes_no_slot_is_held() {
    let fleet = fleet(&["s"]).await;
    let mut entry = FakeEntry::connect(&fleet).await;
    reject_urgent_call(&fleet, &mut entry).await;
    let other = send_long_call(&mut entry, "/read/", 1).await;
    assert_eq!(entry.end_of(other).await, None);
}
