//! Targets that restart under the same id.

use hornbeamhitch_dispatch::prelude::*;

use crate::support::caller::request;
use crate::support::{Fleet, fleet, member, set_directory};

/// Lists the fleet's only target as the incarnation that started at this time.
fn list_incarnation(fleet: &Fleet, started_at_ms: u64) {
    let listed = Member {
        started_at_ms: Some(Millis(started_at_ms)),
        ..member(0, "s", fleet.vms[0].target.address)
    };
    set_directory(&fleet.directory, "s", vec![listed]);
}

/// Guards against refusing a restarted target for good. Another process takes over the
/// target's address for a while and answers that it is not the expected target. When
/// the target has restarted under its id, its gate must accept calls for it again.
#[tokio::test]
async fn a_misdirected_target_is_used_again_in_its_next_incarnation() {
    let fleet = fleet(&["s"]).await;
    list_incarnation(&fleet, 1);
    fleet.vms[0].target.set_target_id("somebody-else");
    for number in 0..2 {
        let id = format!("id-{number}");
        let answer = request(fleet.vms[0].callers, "POST", "/pay/", &id).await;
        assert_eq!(answer.status(), 503);
    }
    fleet.vms[0].target.set_target_id("life-0");
    list_incarnation(&fleet, 2);
    let answer = request(fleet.vms[0].callers, "POST", "/pay/", "id-9").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(fleet.vms[0].target.ran().len(), 1);
}

/// Guards against reusing a connection to an earlier incarnation. It would break under
/// a payment, and whether the payment ran would stay unknown.
#[tokio::test]
async fn connections_to_an_earlier_incarnation_are_not_reused() {
    let fleet = fleet(&["s"]).await;
    list_incarnation(&fleet, 1);
    for number in 0..3 {
        let answer = request(
            fleet.vms[0].callers,
            "GET",
            "/read/",
            &format!("id-{number}"),
        )
        .await;
        assert_eq!(answer.status(), 200);
    }
    let before = fleet.vms[0].target.connections();
    list_incarnation(&fleet, 2);
    let answer = request(fleet.vms[0].callers, "GET", "/read/", "id-9").await;
    assert_eq!(answer.status(), 200);
    assert!(fleet.vms[0].target.connections() > before);
}
