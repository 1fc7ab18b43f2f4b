//! Tests of the peers section.

use super::*;

fn digest(index: u16, service: &str, data_centre: &str, clock_ms: u64) -> MemberDigest {
    let [high, low] = index.to_be_bytes();
    MemberDigest {
        vm: VmId::new(&format!("vm-{index}")),
        service: ServiceName::new(service),
        data_centre: DataCentre::new(data_centre),
        peer: SocketAddr::from(([10, 0, high, low], 7000)),
        control: SocketAddr::from(([10, 0, high, low], 7001)),
        incarnation: Incarnation(1),
        clock_ms: Millis(clock_ms),
        leaving: false,
        load: None,
    }
}

fn members() -> Members {
    Members::new(
        VmId::new("own"),
        DataCentre::new("near"),
        ServiceName::new("held"),
    )
}

fn merge(members: &mut Members, digest: &MemberDigest, now: Millis) -> MergeOutcome {
    members.merge(digest, Millis::ZERO, ListVersion(1), now)
}

#[test]
fn the_peer_sample_is_bounded_and_admits_new_peers() {
    let mut members = members();
    for index in 0..2_000 {
        let data_centre = if index % 2 == 0 { "near" } else { "far" };
        merge(
            &mut members,
            &digest(index, "other", data_centre, 1),
            Millis(1),
        );
    }
    assert_eq!(members.sample_size(), MAX_LOCAL_SAMPLE + MAX_REMOTE_SAMPLE);
    let mut late = 0;
    for member in members.iter() {
        late += usize::from(member.vm.as_str() > "vm-1500");
    }
    assert!(late > 0, "no new peer was admitted to the sample");
}

#[test]
fn a_late_statement_of_the_same_incarnation_does_not_revert_leaving() {
    let mut members = members();
    let live = digest(1, "held", "near", 10);
    let leaving = MemberDigest {
        leaving: true,
        ..digest(1, "held", "near", 20)
    };
    assert_eq!(merge(&mut members, &live, Millis(1)), MergeOutcome::Change);
    assert_eq!(
        merge(&mut members, &leaving, Millis(2)),
        MergeOutcome::Change
    );
    assert_eq!(
        merge(&mut members, &live, Millis(3)),
        MergeOutcome::NotNewer
    );
    assert!(members.iter().all(Member::leaving));
}

#[test]
fn an_earlier_incarnation_is_stale() {
    let mut members = members();
    let later = MemberDigest {
        incarnation: Incarnation(2),
        ..digest(1, "held", "near", 1)
    };
    merge(&mut members, &later, Millis(1));
    let earlier = digest(1, "held", "near", 1_000);
    assert_eq!(
        merge(&mut members, &earlier, Millis(2)),
        MergeOutcome::Stale
    );
    assert!(members.is_stale(&later.vm, Incarnation(1)));
}

/// Only the later incarnation at an address is a target, regardless of which of the two
/// VMs is seen first.
#[test]
fn only_the_latest_incarnation_at_an_address_is_reachable() {
    for order in [[0, 1], [1, 0]] {
        let mut members = members();
        let first = digest(1, "held", "near", 1);
        let second = MemberDigest {
            vm: VmId::new("vm-later"),
            incarnation: Incarnation(9),
            ..first.clone()
        };
        let both = [first, second];
        for index in order {
            merge(&mut members, &both[index], Millis(1));
        }
        let reachable: Vec<&VmId> = members.reachable().map(|member| &member.vm).collect();
        assert_eq!(reachable, [&VmId::new("vm-later")]);
    }
}

/// A list omits a member by mistake while a partition silences it. The member stays,
/// because the list is not newer than the one with which it became known.
#[test]
fn silence_without_a_newer_list_removes_nobody() {
    let mut members = members();
    merge(&mut members, &digest(1, "held", "near", 1), Millis(1));
    let long_after = Millis::from_secs(86_400);
    assert!(!members.remove_gone(ListVersion(1), long_after));
    assert!(members.remove_gone(ListVersion(2), long_after));
}
