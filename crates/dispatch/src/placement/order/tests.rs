//! Tests of the order of targets.

use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

use super::*;
use crate::routing::routes::tests::route;

fn members() -> Vec<Arc<Member>> {
    let mut members = Vec::new();
    for (number, data_centre) in ["far", "near", "far", "near"].iter().enumerate() {
        members.push(Arc::new(Member {
            id: TargetId::new(&format!("i-{number}")),
            service: ServiceName::new("s"),
            address: format!("10.0.0.{number}:80").parse().expect("an address"),
            data_centre: DataCentre::new(data_centre),
            slots: 12,
            draining: false,
            listing_order: Revision::new(0, 1),
            started_at_ms: None,
        }));
    }
    members
}

fn orders(failures: &Failures, tried: &[TargetId]) -> Vec<Vec<Candidate>> {
    let available = members();
    let data_centre = DataCentre::new("near");
    let route = route("r", "/", &[("s", 1)]);
    let regions = Regions::default();
    let view = View {
        available: &available,
        route: &route,
        regions: &regions,
        data_centre: &data_centre,
        failures,
        refusals: &Refusals::default(),
        notices: &TargetNotices::default(),
        tried,
        now: Millis(100),
    };
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    (0..480).map(|_| candidates(&view, &mut rng)).collect()
}

/// Returns the member with this id.
fn member(id: &str) -> Arc<Member> {
    let found = members()
        .into_iter()
        .find(|member| member.id.as_str() == id);
    found.expect("a member")
}

#[test]
fn near_targets_go_first_and_share_the_work() {
    let mut first_is_one = 0;
    for order in orders(&Failures::default(), &[]) {
        assert_eq!(order.len(), 4);
        assert!(order[0].is_near && order[1].is_near);
        first_is_one += u32::from(order[0].member.id.as_str() == "i-1");
    }
    assert!((180..=300).contains(&first_is_one), "{first_is_one}");
}

#[test]
fn a_failing_target_goes_last_except_for_rare_probes() {
    let mut failures = Failures::default();
    let failing_id = TargetId::new("i-1");
    let failing_member = member("i-1");
    failures.note_failure(&failing_member, Millis(50));
    failures.note_failure(&failing_member, Millis(60));
    let mut first = 0;
    let mut last = 0;
    for order in orders(&failures, &[]) {
        first += u32::from(order[0].member.id == failing_id);
        last += u32::from(order[3].member.id == failing_id);
    }
    assert!((8..=40).contains(&first), "{first} probes of 480");
    assert_eq!(first + last, 480);
}

#[test]
fn tried_and_unreachable_targets_are_left_out() {
    let mut failures = Failures::default();
    failures.note_unreachable(&member("i-3"), Millis(50));
    for order in orders(&failures, &[TargetId::new("i-1")]) {
        assert_eq!(order.len(), 2);
        assert!(order.iter().all(|candidate| !candidate.is_near));
    }
}

#[test]
fn unreachable_targets_are_tried_when_no_others_remain() {
    let mut failures = Failures::default();
    for member in members() {
        failures.note_unreachable(&member, Millis(50));
    }
    assert!(orders(&failures, &[]).iter().all(|order| order.len() == 4));
}
