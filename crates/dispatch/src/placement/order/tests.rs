//! Tests of the order of targets.

use hornbeamhitch_types::load::{SilenceReport, SilentVm};
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
    orders_with(failures, tried, None)
}

fn orders_with(
    failures: &Failures,
    tried: &[TargetId],
    silent: Option<&SilentVms>,
) -> Vec<Vec<Candidate>> {
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
        silent,
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

/// Orders the targets for a call that tries two gates, many times.
fn few(free_centislots: impl Fn(&Member) -> Option<u32>) -> Vec<Vec<Candidate>> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(2);
    let mut selected = Vec::new();
    for order in orders(&Failures::default(), &[]) {
        selected.push(by_free_capacity(order, 2, &free_centislots, &mut rng));
    }
    selected
}

/// Guards against calls that all go to the gate that reported the most free capacity, and
/// against calls that ignore it.
#[test]
fn the_gate_with_the_most_free_capacity_is_first_most_often() {
    let selected = few(|member| match member.id.as_str() {
        "i-1" => Some(600),
        "i-3" => Some(200),
        _ => Some(800),
    });
    let mut first = 0;
    for order in &selected {
        assert_eq!(order.len(), 4);
        assert!(order[0].is_near && order[1].is_near);
        first += usize::from(order[0].member.id.as_str() == "i-1");
    }
    let percent = first * 100 / selected.len();
    assert!((68..=82).contains(&percent), "{percent}");
}

/// Guards against a full data centre whose entries do not use free capacity in another one.
#[test]
fn far_targets_with_free_capacity_go_before_full_near_ones() {
    for order in few(|member| match member.id.as_str() {
        "i-0" => Some(300),
        _ => Some(0),
    }) {
        assert_eq!(order[0].member.id.as_str(), "i-0");
        assert!(order[1].is_near);
    }
}

/// Guards against an entry in a full data centre that never hears of another one.
#[test]
fn the_last_attempt_goes_to_a_far_target_of_unknown_capacity() {
    for order in few(|member| match member.id.as_str() {
        "i-0" => None,
        _ => Some(0),
    }) {
        assert!(order[0].is_near);
        assert_eq!(order[1].member.id.as_str(), "i-0");
    }
}

/// Returns what a node knows after two others have reported the VMs of these targets.
fn reported(ids: &[&str]) -> SilentVms {
    let mut silent = SilentVms::new([10, 0, 1, 1].into());
    for observer in [2, 3] {
        let mut report = SilenceReport::default();
        for id in ids {
            report.vms.push(SilentVm {
                vm: member(id).vm_ip(),
                observer: [10, 0, 1, observer].into(),
                age_ms: Millis::ZERO,
            });
        }
        silent.merge(&report, |_| None, Millis(90));
    }
    silent
}

/// Guards against calls to a VM that others found silent while another target is free.
#[test]
fn a_reported_target_goes_last_and_is_no_probe() {
    let mut failures = Failures::default();
    for _ in 0..2 {
        failures.note_failure(&member("i-1"), Millis(50));
        failures.note_failure(&member("i-0"), Millis(50));
    }
    let silent = reported(&["i-1"]);
    let mut probes = 0;
    for order in orders_with(&failures, &[], Some(&silent)) {
        assert_eq!(order.len(), 4);
        assert!(order[3].is_demoted && order[3].member.id.as_str() == "i-1");
        probes += u32::from(order[0].member.id.as_str() == "i-0");
    }
    assert!(probes > 0, "the other failing target is still probed");
}

/// Guards against a faulty observer that reports all targets of a service.
#[test]
fn at_most_a_third_of_the_targets_is_demoted() {
    let silent = reported(&["i-0", "i-1", "i-2", "i-3"]);
    for order in orders_with(&Failures::default(), &[], Some(&silent)) {
        let demoted = order.iter().filter(|candidate| candidate.is_demoted);
        assert_eq!(demoted.count(), 1);
    }
}

/// Guards against calls to a VM that is silent for this node while another target is left.
#[test]
fn a_target_that_is_silent_here_is_left_out_unless_all_are() {
    let mut silent = SilentVms::new([10, 0, 1, 1].into());
    silent.note_silent(member("i-1").vm_ip(), Millis(90));
    for order in orders_with(&Failures::default(), &[], Some(&silent)) {
        assert_eq!(order.len(), 3);
        assert!(order.iter().all(|other| other.member.id.as_str() != "i-1"));
    }
    for member in members() {
        silent.note_silent(member.vm_ip(), Millis(90));
    }
    let orders = orders_with(&Failures::default(), &[], Some(&silent));
    assert!(orders.iter().all(|order| order.len() == 4));
}
