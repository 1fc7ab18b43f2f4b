//! A target that starts again under its id.

use hornbeamhitch_dispatch::prelude::*;

use crate::support::caller::ask;
use crate::support::{Fleet, fleet, member, set_directory};

/// Lists the fleet's only target as the life that began at this time.
fn list_life(fleet: &Fleet, started_at_ms: u64) {
    let born = Member {
        started_at_ms: Some(Millis(started_at_ms)),
        ..member(0, "s", fleet.vms[0].target.address)
    };
    set_directory(&fleet.directory, "s", vec![born]);
}

/// Another process has a target's address for a while and says that it is not the
/// one that is asked for. Then the target is back, under the id that it had. Its gate
/// must not go on refusing that id, or the target is lost for good.
#[tokio::test]
async fn a_target_that_was_another_is_used_in_its_next_life() {
    let fleet = fleet(&["s"]).await;
    list_life(&fleet, 1);
    fleet.vms[0].target.set_target_id("somebody-else");
    for number in 0..2 {
        let id = format!("id-{number}");
        let answer = ask(fleet.vms[0].callers, "POST", "/pay/", &id).await;
        assert_eq!(answer.status(), 503);
    }
    fleet.vms[0].target.set_target_id("life-0");
    list_life(&fleet, 2);
    let answer = ask(fleet.vms[0].callers, "POST", "/pay/", "id-9").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(fleet.vms[0].target.ran().len(), 1);
}

/// A target starts again under its id. A connection that rests from its earlier life
/// would break the payment that is sent on it, and nobody could tell whether it ran.
#[tokio::test]
async fn connections_of_an_earlier_life_are_not_used() {
    let fleet = fleet(&["s"]).await;
    list_life(&fleet, 1);
    for number in 0..3 {
        let answer = ask(
            fleet.vms[0].callers,
            "GET",
            "/read/",
            &format!("id-{number}"),
        )
        .await;
        assert_eq!(answer.status(), 200);
    }
    let before = fleet.vms[0].target.connections();
    list_life(&fleet, 2);
    let answer = ask(fleet.vms[0].callers, "GET", "/read/", "id-9").await;
    assert_eq!(answer.status(), 200);
    assert!(fleet.vms[0].target.connections() > before);
}
