//! Property tests with arbitrary inputs.

use std::sync::Arc;

use hornbeamhitch_wire::control::{
    ChangeNote, Datagram, DatagramBody, FORMAT_VERSION, Heartbeat, KnownVersions, ListVersion,
    MemberDigest, ReaderNote,
};
use proptest::prelude::*;

use proptest::test_runner::RngSeed;

use super::harness::*;
use crate::control::*;

/// Fixed seed: every run tests the same cases, so its result is reproducible.
const SEED: u64 = 20_261;

fn node() -> Control {
    let settings = ControlSettings {
        seeds: vec![address(1, 7001)],
        ..node_settings()
    };
    Control::new(settings, Box::new(LineChecker), Millis::ZERO)
}

/// One offer of a version, from the platform or from a peer.
#[derive(Clone, Debug)]
enum Offer {
    Platform(u64, bool),
    Announced(u64, u64),
    Pulled(u64),
}

fn offer() -> impl Strategy<Value = Offer> {
    prop_oneof![
        (1_u64..20, any::<bool>()).prop_map(|(version, good)| Offer::Platform(version, good)),
        (1_u64..20, 0_u64..20).prop_map(|(version, before)| Offer::Announced(version, before)),
        (1_u64..20).prop_map(Offer::Pulled),
    ]
}

fn digest(clock_ms: u64) -> MemberDigest {
    MemberDigest {
        vm: VmId::new("vm-1"),
        service: ServiceName::new("cashier"),
        data_centre: DataCentre::new("dc-0"),
        peer: address(1, 7000),
        control: address(1, 7001),
        incarnation: Incarnation(5),
        clock_ms: Millis(clock_ms),
        leaving: false,
        load: None,
    }
}

/// Applies one offer to the node.
fn apply_offer(node: &mut Control, offer: &Offer, now: Millis) -> Vec<ControlAction> {
    match offer {
        Offer::Platform(version, good) => node.handle(
            ControlEvent::TextRead {
                version: ConfigVersion(*version),
                text: Arc::from(if *good { "cashier::2" } else { "bad" }),
            },
            now,
        ),
        Offer::Announced(version, previous) => {
            let note = ChangeNote {
                version: *version,
                previous: *previous,
                changed: Vec::new(),
            };
            let datagram = Datagram {
                from: digest(now.0),
                known: KnownVersions {
                    text: ConfigVersion(*version),
                    ..KnownVersions::default()
                },
                body: DatagramBody::Announce {
                    text_notes: vec![note],
                    vms_notes: Vec::new(),
                },
            };
            let from = address(1, 7001);
            let bytes = datagram.encode();
            node.handle(ControlEvent::Datagram { from, bytes }, now)
        }
        Offer::Pulled(version) => pull(node, *version, now),
    }
}

/// Answers the node's next bulk requests from a peer at the given version.
fn pull(node: &mut Control, version: u64, now: Millis) -> Vec<ControlAction> {
    let mut peer = node_with(version);
    let mut published = Vec::new();
    let mut requests = Vec::new();
    for action in node.handle(ControlEvent::Tick, now) {
        match action {
            ControlAction::BulkRequest { to, message } => requests.push((to, message)),
            action => published.push(action),
        }
    }
    for (to, message) in requests {
        let request = RequestId(1);
        for answer in peer.handle(ControlEvent::BulkRequested { request, message }, now) {
            let ControlAction::BulkAnswer { message, .. } = answer else {
                continue;
            };
            let event = ControlEvent::BulkAnswered { peer: to, message };
            published.extend(node.handle(event, now));
        }
    }
    published
}

fn node_with(version: u64) -> Control {
    let settings = ControlSettings {
        vm: VmId::new("vm-1"),
        control: address(1, 7001),
        ..node_settings()
    };
    let mut peer = Control::new(settings, Box::new(LineChecker), Millis::ZERO);
    let event = ControlEvent::TextRead {
        version: ConfigVersion(version),
        text: Arc::from("cashier::3"),
    };
    peer.handle(event, Millis::ZERO);
    peer
}

fn node_settings() -> ControlSettings {
    ControlSettings {
        vm: VmId::new("vm-0"),
        service: ServiceName::new("cashier"),
        data_centre: DataCentre::new("dc-0"),
        peer: address(0, 7000),
        control: address(0, 7001),
        incarnation: Incarnation(5),
        seed: 1,
        seeds: Vec::new(),
    }
}

/// Heartbeats that are well formed but contain values that only a hostile or broken build
/// would send.
fn heartbeat() -> impl Strategy<Value = Datagram> {
    let numbers = prop::collection::vec(any::<u64>(), 8);
    (numbers, any::<bool>(), ".{0,12}").prop_map(|(n, flag, name)| {
        let mut from = digest(n[0]);
        from.vm = VmId::new(&name);
        from.incarnation = Incarnation(n[1]);
        from.leaving = flag;
        let reader = ReaderNote {
            vm: VmId::new(&name),
            control: address(2, 7001),
            incarnation: Incarnation(n[2]),
            clock_ms: Millis(n[3]),
            age_ms: Millis(n[4]),
            reading: flag,
            failing: flag,
            whole: flag,
        };
        let note = ChangeNote {
            version: n[5],
            previous: n[6],
            changed: vec![n[7]],
        };
        Datagram {
            from,
            known: KnownVersions {
                text: ConfigVersion(n[5]),
                vms: ListVersion(n[6]),
                text_whole: flag,
                vms_whole: flag,
            },
            body: DatagramBody::Heartbeat(Heartbeat {
                wants_reply: flag,
                text_notes: vec![note.clone()],
                vms_notes: vec![note],
                readers: vec![reader],
                ..Heartbeat::default()
            }),
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The version in force only increases, for any offers in any order, and a faulty
    /// text never comes into force.
    #[test]
    fn the_version_in_force_never_goes_down(offers in prop::collection::vec(offer(), 1..40)) {
        let mut node = node();
        let mut highest = None;
        let mut now = Millis::ZERO;
        for offer in &offers {
            now = now + Millis(700);
            for action in apply_offer(&mut node, offer, now) {
                let ControlAction::Publish(table) = action else {
                    continue;
                };
                prop_assert!(table.version >= highest);
                highest = table.version;
            }
            prop_assert!(node.status(now).version >= highest);
            highest = node.status(now).version;
        }
    }

    /// Arbitrary bytes are dropped and counted and never cause a panic.
    #[test]
    fn arbitrary_bytes_never_panic(
        datagrams in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..1_300), 1..20),
        versioned in any::<bool>(),
    ) {
        let mut node = node();
        let mut now = Millis::ZERO;
        for mut bytes in datagrams {
            now = now + Millis(50);
            if versioned && let Some(first) = bytes.first_mut() {
                *first = FORMAT_VERSION;
            }
            let message = bytes.clone();
            let peer = address(1, 7001);
            node.handle(ControlEvent::Datagram { from: peer, bytes: bytes.clone() }, now);
            let request = RequestId(1);
            node.handle(ControlEvent::BulkRequested { request, message: bytes }, now);
            node.handle(ControlEvent::BulkAnswered { peer, message }, now);
            node.handle(ControlEvent::Tick, now);
        }
    }

    /// Well-formed messages with extreme numbers cause no panic either.
    #[test]
    fn absurd_numbers_never_panic(datagrams in prop::collection::vec(heartbeat(), 1..30)) {
        let mut node = node_with(3);
        let mut now = Millis::ZERO;
        for datagram in datagrams {
            now = now + Millis(400);
            let event = ControlEvent::Datagram { from: address(1, 7001), bytes: datagram.encode() };
            node.handle(event, now);
            node.handle(ControlEvent::Tick, now);
            prop_assert!(node.status(now).counters.bad_messages == 0);
        }
    }
}
