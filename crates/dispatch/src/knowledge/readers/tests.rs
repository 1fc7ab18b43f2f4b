//! Tests of which nodes read and which nodes subscribe to which.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use proptest::prelude::*;

use super::*;
use crate::knowledge::members::MemberTracker;

fn vm(data_centre: usize, number: usize) -> IpAddr {
    let octet = |count: usize| u8::try_from(count).expect("below 256");
    let [high, low] = [number / 200, number % 200].map(octet);
    Ipv4Addr::new(10, octet(data_centre), high, low).into()
}

fn role_of(members: &Members, own: IpAddr) -> Role {
    let IpAddr::V4(address) = own else {
        panic!("only IPv4 here")
    };
    role(members, own, &data_centre(address.octets()[1]))
}

fn data_centre(number: u8) -> DataCentre {
    DataCentre::new(&format!("dc-{number}"))
}

/// Returns the targets of data centres of these sizes.
fn fleet(sizes: &[usize]) -> MemberTracker {
    let mut tracker = MemberTracker::default();
    for (data_centre, size) in sizes.iter().enumerate() {
        for number in 0..*size {
            tracker.upsert(member(data_centre, number));
        }
    }
    tracker
}

fn member(data_centre: usize, number: usize) -> Member {
    Member {
        id: TargetId::new(&format!("i-{data_centre}-{number}")),
        service: ServiceName::new("cashier"),
        address: (vm(data_centre, number), 80).into(),
        data_centre: self::data_centre(u8::try_from(data_centre).expect("below 256")),
        slots: 8,
        draining: false,
        listing_order: Revision::new(0, 1),
        started_at_ms: None,
    }
}

fn roles(sizes: &[usize]) -> BTreeMap<IpAddr, Role> {
    let members = fleet(sizes).snapshot();
    members
        .vms()
        .into_iter()
        .map(|own| (own, role_of(&members, own)))
        .collect()
}

#[test]
fn nodes_of_small_fleets_and_of_unlisted_data_centres_read_alone() {
    let small = roles(&[5, 3]);
    assert!(small.values().all(|role| *role == Role::Alone));
    let with_large = roles(&[5, 3, 70]);
    let alone = with_large.values().filter(|role| **role == Role::Alone);
    assert_eq!(alone.count(), 8);
    let members = fleet(&[30]).snapshot();
    assert_eq!(role_of(&members, vm(7, 7)), Role::Alone);
}

/// A VM is cut off from the platform, and its entry expires. Its node subscribes to the
/// readers of its data centre and has no subscribers itself.
#[test]
fn an_unlisted_vm_subscribes_to_the_readers_of_its_data_centre() {
    let members = fleet(&[30]).snapshot();
    let role = role_of(&members, vm(0, 99));
    assert!(role.is_follower(), "{role:?}");
    assert_eq!(role.readers().len(), SUBSCRIPTIONS);
}

#[test]
fn a_data_centre_has_three_readers_or_one_for_sixteen_vms() {
    for (size, expected) in [(9, 3), (27, 3), (48, 3), (49, 4), (200, 13)] {
        let roles = roles(&[size]);
        let readers = roles.values().filter(|role| role.is_reader()).count();
        assert_eq!(readers, expected, "{size} VMs");
    }
}

/// Guards against calls of an idle fleet that grow with the number of its data centres,
/// as they would with three readers in each.
#[test]
fn small_data_centres_share_their_readers() {
    for (sizes, expected) in [(&[8, 3][..], 3), (&[5, 4, 4], 3), (&[27, 27, 26], 5)] {
        let roles = roles(sizes);
        let readers = roles.values().filter(|role| role.is_reader()).count();
        assert_eq!(readers, expected, "{sizes:?}");
        assert!(roles.values().all(|role| *role != Role::Alone));
    }
}

/// Guards against readers that miss changes without an error. When a path to the platform
/// breaks, this may happen to all readers of a data centre at once, so they subscribe to
/// readers elsewhere in the fleet.
#[test]
fn readers_subscribe_across_the_fleet_and_followers_within_their_data_centre() {
    let roles = roles(&[70, 70, 66]);
    let is_reader = |vm: &IpAddr| roles.get(vm).is_some_and(Role::is_reader);
    for (own, role) in &roles {
        let subscribed = role.readers();
        assert_eq!(subscribed.len(), SUBSCRIPTIONS, "{own}");
        assert!(
            subscribed.iter().all(is_reader),
            "{own} subscribes to {subscribed:?}"
        );
        assert!(!subscribed.contains(own));
    }
    let crosses = |own: &IpAddr, role: &Role| {
        let IpAddr::V4(own) = own else { return false };
        let others = role.readers().iter().filter_map(|vm| match vm {
            IpAddr::V4(vm) => Some(vm.octets()[1]),
            IpAddr::V6(_) => None,
        });
        others.into_iter().any(|other| other != own.octets()[1])
    };
    let readers = roles.iter().filter(|(_, role)| role.is_reader());
    assert!(readers.into_iter().any(|(own, role)| crosses(own, role)));
    let mut followers = roles.iter().filter(|(_, role)| !role.is_reader());
    assert!(!followers.any(|(own, role)| crosses(own, role)));
}

/// Guards against calls of an idle fleet that grow with the number of readers in a group,
/// and against a leader on which too many readers rely.
#[test]
fn one_reader_in_twelve_leads_and_the_others_subscribe_to_it() {
    let cases = [
        (&[8, 5][..], 1),
        (&[45], 1),
        (&[30, 30, 27], 1),
        (&[70, 20], 2),
        (&[200], 2),
        (&[39, 39, 39, 39, 39], 2),
        (&[889], 5),
    ];
    for (sizes, expected) in cases {
        let roles = roles(sizes);
        let mut leaders = Vec::new();
        for (own, role) in &roles {
            if role.is_reader() && !role.is_led() {
                leaders.push(*own);
            }
        }
        assert_eq!(leaders.len(), expected, "{sizes:?}");
        for role in roles.values().filter(|role| role.is_led()) {
            let subscribed = role.readers();
            assert!(subscribed.iter().any(|vm| leaders.contains(vm)), "{role:?}");
        }
        for leader in leaders {
            let is_led_by = |role: &&Role| role.is_led() && role.readers().first() == Some(&leader);
            let led = roles.values().filter(is_led_by).count();
            assert!(
                led < READERS_PER_LEADER,
                "{leader} leads {led} of {sizes:?}"
            );
        }
    }
}

/// Guards against a fleet in which only the readers poll the platform and it rejects all
/// of them.
#[test]
fn each_reader_subscribes_to_one_of_as_many_reserves() {
    for sizes in [&[9][..], &[45], &[39, 39, 39, 39, 39], &[889]] {
        let roles = roles(sizes);
        let readers = roles.values().filter(|role| role.is_reader()).count();
        let reserves = roles.values().filter(|role| role.is_reserve()).count();
        assert_eq!(reserves, readers, "{sizes:?}");
        for role in roles.values().filter(|role| role.is_reader()) {
            let subscribed = role.subscriptions();
            let is_reserve = |vm: &&IpAddr| roles.get(vm).is_some_and(Role::is_reserve);
            assert_eq!(subscribed.iter().filter(is_reserve).count(), 1, "{role:?}");
        }
    }
}

/// Guards against feeds that cross between data centres although the own one has a
/// reader.
#[test]
fn followers_prefer_the_readers_of_their_data_centre() {
    let roles = roles(&[39, 39, 39, 39, 39]);
    let data_centre = |vm: &IpAddr| match vm {
        IpAddr::V4(vm) => vm.octets()[1],
        IpAddr::V6(_) => panic!("only IPv4 here"),
    };
    let readers: Vec<&IpAddr> = roles
        .iter()
        .filter(|(_, role)| role.is_reader())
        .map(|(own, _)| own)
        .collect();
    for (own, role) in roles.iter().filter(|(_, role)| role.is_follower()) {
        let is_near = |vm: &IpAddr| data_centre(vm) == data_centre(own);
        let near_readers = readers.iter().filter(|vm| is_near(vm)).count();
        let subscribed = role.readers().iter().filter(|vm| is_near(vm)).count();
        assert_eq!(subscribed, near_readers.min(SUBSCRIPTIONS), "{own}");
    }
}

/// A VM whose target is leaving will end with it, so no node may rely on it.
#[test]
fn a_leaving_vm_is_not_a_reader() {
    let mut tracker = fleet(&[20]);
    let members = tracker.snapshot();
    let first = members.vms().into_iter();
    let reader = first
        .into_iter()
        .find(|own| role_of(&members, *own).is_reader());
    let reader = reader.expect("there are readers");
    let leaving = members
        .at_address((reader, 80).into())
        .expect("it is listed");
    let mut leaving = (**leaving).clone();
    leaving.draining = true;
    tracker.upsert(leaving);
    let members = tracker.snapshot();
    assert!(role_of(&members, reader).is_follower());
    for own in members.vms() {
        assert!(!role_of(&members, own).readers().contains(&reader));
    }
}

/// Guards against an uneven load: even in the largest data centre, no reader has many
/// times the mean number of subscribers.
#[test]
fn subscribers_are_spread_over_readers() {
    let roles = roles(&[889]);
    let mut subscribers: BTreeMap<IpAddr, usize> = BTreeMap::new();
    for role in roles.values() {
        for reader in role.readers() {
            *subscribers.entry(*reader).or_default() += 1;
        }
    }
    let most = subscribers.values().max().copied().unwrap_or_default();
    assert!(most <= 2 * SUBSCRIPTIONS * VMS_PER_READER, "{most}");
}

proptest! {
    /// For data centres of any size, nodes with the same list agree on the readers, and
    /// the loss of one VM changes few subscriptions.
    #[test]
    fn nodes_agree_and_losing_a_vm_changes_few_subscriptions(
        sizes in proptest::collection::vec(0usize..90, 1..5),
    ) {
        let before = roles(&sizes);
        for role in before.values() {
            for subscribed in role.readers() {
                prop_assert!(before.get(subscribed).is_some_and(Role::is_reader));
            }
        }
        let mut tracker = fleet(&sizes);
        tracker.remove(&TargetId::new("i-0-0"), Millis(1));
        let members = tracker.snapshot();
        let becomes_small = sizes[0] == MAX_VMS_SHARING_READERS + 1;
        let shared_group: usize =
            sizes.iter().filter(|size| **size <= MAX_VMS_SHARING_READERS).sum();
        if sizes[0] == 0 || becomes_small || shared_group == MAX_VMS_WITHOUT_READERS + 1 {
            return Ok(());
        }
        let lost = vm(0, 0);
        for (own, role_before) in &before {
            let subscribed_to_it = role_before.readers().contains(&lost);
            let now = role_of(&members, *own);
            if *own == lost || subscribed_to_it || now.is_reader() != role_before.is_reader() {
                continue;
            }
            let kept = now.readers().iter().filter(|vm| role_before.readers().contains(vm));
            prop_assert!(kept.count() + 1 >= now.readers().len());
        }
    }
}

/// Guards against followers without any reader: views of the fleet that differ by one VM
/// differ in whether a node reads alone or is one of the readers, so it must accept the
/// subscribers that count it among those.
#[test]
fn a_node_that_reads_alone_accepts_the_subscribers_of_another_view() {
    let smaller = roles(&[4, 4]);
    let mut readers_of_larger_view = 0;
    for (own, role) in &roles(&[4, 5]) {
        if !role.is_reader() || !smaller.contains_key(own) {
            continue;
        }
        readers_of_larger_view += 1;
        assert!(smaller[own].accepts_subscribers(), "{own}");
    }
    assert!(readers_of_larger_view > 0);
}
