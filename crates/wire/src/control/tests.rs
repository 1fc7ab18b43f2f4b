//! Tests of the encoding of control messages.

use std::net::SocketAddr;

use hornbeamhitch_types::prelude::*;

use super::*;
use crate::error::WireError;
use crate::load::LoadReport;

/// Names as long as operators are likely to choose, and the largest numbers.
fn large_digest() -> MemberDigest {
    MemberDigest {
        vm: VmId::new(&"v".repeat(40)),
        service: ServiceName::new(&"s".repeat(30)),
        data_centre: DataCentre::new(&"d".repeat(20)),
        peer: "[2001:db8::1]:65535".parse().expect("an address"),
        control: "[2001:db8::1]:65534".parse().expect("an address"),
        incarnation: Incarnation(u64::MAX),
        clock_ms: Millis(u64::MAX),
        leaving: true,
        load: Some(LoadDigest {
            in_flight: u32::MAX,
            queued: u32::MAX,
            limit: u32::MAX,
            service_time_us: u32::MAX,
            gate_clock_ms: Millis(u64::MAX),
        }),
    }
}

fn large_heartbeat() -> Heartbeat {
    let note = ChangeNote {
        version: u64::MAX,
        previous: u64::MAX,
        changed: vec![u64::MAX; 12],
    };
    let reader = ReaderNote {
        vm: VmId::new(&"v".repeat(40)),
        control: "[2001:db8::1]:65534".parse().expect("an address"),
        incarnation: Incarnation(u64::MAX),
        clock_ms: Millis(u64::MAX),
        age_ms: Millis(u64::MAX),
        reading: true,
        failing: true,
        whole: true,
    };
    let suspect = SuspectNote {
        fingerprint: u64::MAX,
        version: u32::MAX,
        standing: 2,
        crashes: u8::MAX,
        age_ms: Millis(u64::MAX),
    };
    let member = MemberNote {
        digest: large_digest(),
        age_ms: Millis(u64::MAX),
    };
    Heartbeat {
        wants_reply: true,
        text_notes: vec![note.clone(); 4],
        vms_notes: vec![note; 4],
        readers: vec![reader; 5],
        suspects: vec![suspect; 4],
        refused: Some(RefusedNote::new(ConfigVersion(7), &"é".repeat(400))),
        members: vec![member; 20],
    }
}

fn datagram(body: DatagramBody) -> Datagram {
    Datagram {
        from: large_digest(),
        known: KnownVersions {
            text: ConfigVersion(u64::MAX),
            vms: ListVersion(u64::MAX),
            text_whole: true,
            vms_whole: true,
        },
        body,
    }
}

#[test]
fn the_largest_heartbeat_is_shortened_to_fit_a_datagram() {
    let bytes = datagram(DatagramBody::Heartbeat(large_heartbeat())).encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    let read = Datagram::decode(&bytes).expect("still a heartbeat");
    let DatagramBody::Heartbeat(heartbeat) = read.body else {
        panic!("unexpected kind of message: {read:?}");
    };
    // Members are dropped first, safety-relevant items last.
    assert!(heartbeat.members.is_empty());
    assert_eq!(heartbeat.readers.len(), 5);
}

#[test]
fn the_largest_lists_of_other_kinds_are_shortened_as_well() {
    let heartbeat = large_heartbeat();
    let bodies = [
        DatagramBody::Announce {
            text_notes: vec![heartbeat.text_notes[0].clone(); 16],
            vms_notes: vec![heartbeat.vms_notes[0].clone(); 16],
        },
        DatagramBody::Suspicion {
            suspects: heartbeat.suspects.repeat(40),
        },
        DatagramBody::Leaving,
        DatagramBody::Probe { nonce: u64::MAX },
        DatagramBody::ProbeReply { nonce: u64::MAX },
    ];
    for body in bodies {
        let bytes = datagram(body).encode();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
        Datagram::decode(&bytes).expect("a datagram");
    }
}

#[test]
fn a_datagram_round_trips() {
    let sent = datagram(DatagramBody::Heartbeat(Heartbeat {
        members: vec![MemberNote {
            digest: large_digest(),
            age_ms: Millis(3),
        }],
        ..Heartbeat::default()
    }));
    let bytes = sent.clone().encode();
    assert_eq!(Datagram::decode(&bytes), Ok(sent));
}

#[test]
fn another_format_version_is_refused_before_decoding() {
    let mut bytes = datagram(DatagramBody::Leaving).encode();
    bytes[0] = FORMAT_VERSION + 1;
    let error = WireError::FormatVersion {
        found: FORMAT_VERSION + 1,
        supported: FORMAT_VERSION,
    };
    assert_eq!(Datagram::decode(&bytes), Err(error));
}

#[test]
fn oversized_empty_and_truncated_messages_are_rejected() {
    let long = vec![FORMAT_VERSION; MAX_DATAGRAM_BYTES + 1];
    assert!(matches!(
        Datagram::decode(&long),
        Err(WireError::TooLong { .. })
    ));
    assert!(matches!(
        Datagram::decode(&[]),
        Err(WireError::Malformed { .. })
    ));
    let bytes = datagram(DatagramBody::Leaving).encode();
    let cut = &bytes[..bytes.len() - 1];
    assert!(matches!(
        Datagram::decode(cut),
        Err(WireError::Malformed { .. })
    ));
}

#[test]
fn bulk_messages_round_trip() {
    let from = Sender {
        vm: VmId::new("vm"),
        incarnation: Incarnation(1),
        data_centre: DataCentre::new("dc"),
        control: SocketAddr::from(([10, 0, 0, 1], 7001)),
    };
    let request = BulkRequest {
        from: from.clone(),
        text: DocumentRequest {
            version: 3,
            claims: vec![SliceClaim {
                name: SliceName::Service(ServiceName::new("cashier")),
                digest: Some(9),
            }],
            everything: true,
        },
        vms: DocumentRequest::default(),
    };
    assert_eq!(BulkRequest::decode(&request.encode()), Ok(request));
    let answer = BulkAnswer {
        from,
        known: KnownVersions::default(),
        text: DocumentReply {
            version: 4,
            slices: vec![SliceBytes {
                name: SliceName::Deployment,
                bytes: vec![0; 1_000_000],
            }],
            ..DocumentReply::default()
        },
        vms: DocumentReply::default(),
        readers: Vec::new(),
        refused: None,
        members: Vec::new(),
    };
    assert_eq!(BulkAnswer::decode(&answer.encode()), Ok(answer));
}

#[test]
fn a_load_report_round_trips_through_its_digest() {
    let digest = large_digest();
    let report = digest.load_report().expect("a load");
    assert_eq!(report.incarnation, digest.incarnation);
    assert!(report.leaving);
    assert_eq!(Some(LoadDigest::of(&report)), digest.load);
    let none = MemberDigest {
        load: None,
        ..digest
    };
    assert_eq!(none.load_report(), None::<LoadReport>);
}

#[test]
fn names_of_different_kinds_do_not_share_a_hash() {
    let service = ServiceName::new("cashier");
    let names = [
        SliceName::Deployment,
        SliceName::ServiceNames,
        SliceName::Service(service.clone()),
        SliceName::Members(service),
    ];
    let hashes: std::collections::BTreeSet<u64> = names.iter().map(SliceName::hash).collect();
    assert_eq!(hashes.len(), names.len());
}
