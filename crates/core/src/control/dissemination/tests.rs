use hornbeamhitch_wire::control::{ListVersion, MemberDigest, SliceBytes};

use super::*;
use crate::control::api::ControlSettings;

const NOW: Millis = Millis::from_secs(10);

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_001))
}

fn board() -> Board {
    let settings = ControlSettings {
        vm: VmId::new("vm-1"),
        service: ServiceName::new("ledger"),
        data_centre: DataCentre::new("dc-1"),
        peer: address(1),
        control: address(1),
        incarnation: Incarnation(1),
        seed: 1,
        seeds: Vec::new(),
    };
    let mut board = Board::new(settings, NOW);
    board.joined = true;
    board
}

/// A datagram of a node at version 2 with either all slices or only its own.
fn datagram_from(host: u8, service: &str, is_whole: bool) -> Datagram {
    Datagram {
        from: MemberDigest {
            vm: VmId::new(&format!("vm-{host}")),
            service: ServiceName::new(service),
            data_centre: DataCentre::new("dc-1"),
            peer: address(host),
            control: address(host),
            incarnation: Incarnation(1),
            clock_ms: NOW,
            leaving: false,
            load: None,
        },
        known: KnownVersions {
            text: ConfigVersion(2),
            vms: ListVersion(0),
            text_whole: is_whole,
            vms_whole: is_whole,
        },
        body: DatagramBody::Leaving,
    }
}

fn slices() -> Vec<SliceBytes> {
    let mut slices = Vec::new();
    for service in ["ledger", "cashier"] {
        slices.push(SliceBytes {
            name: SliceName::Service(ServiceName::new(service)),
            bytes: vec![1],
        });
    }
    slices
}

/// A node that has just stopped reading still has every slice while the text keeps
/// changing. It must pull from a reader. A member of its own service has only a few
/// slices and would leave it behind for as long as it keeps the others.
#[test]
fn a_node_with_all_slices_pulls_from_another_such_node() {
    let mut board = board();
    assert!(board.text.replace(1, slices()));
    board
        .holders
        .note_datagram(&datagram_from(2, "ledger", false), NOW);
    board
        .holders
        .note_datagram(&datagram_from(3, "darkroom", true), NOW);
    let dissemination = Dissemination::new(NOW);
    for _ in 0..32 {
        let needs = Needs::of(&board);
        let peer = dissemination.choose_peer(&mut board, needs);
        assert_eq!(peer, Some(address(3)));
    }
}

/// Without another candidate, the node waits for the platform or a reader. It sends no
/// useless request that names every slice.
#[test]
fn a_node_with_all_slices_does_not_pull_from_partial_nodes() {
    let mut board = board();
    assert!(board.text.replace(1, slices()));
    board
        .holders
        .note_datagram(&datagram_from(2, "ledger", false), NOW);
    board
        .holders
        .note_datagram(&datagram_from(4, "darkroom", false), NOW);
    let needs = Needs::of(&board);
    let dissemination = Dissemination::new(NOW);
    assert_eq!(dissemination.choose_peer(&mut board, needs), None);
}

/// A node with a few slices pulls from members of its own service and from readers.
#[test]
fn a_partial_node_pulls_from_its_own_service_too() {
    let mut board = board();
    board
        .holders
        .note_datagram(&datagram_from(2, "ledger", false), NOW);
    board
        .holders
        .note_datagram(&datagram_from(3, "darkroom", true), NOW);
    let dissemination = Dissemination::new(NOW);
    let mut chosen = std::collections::BTreeSet::new();
    for _ in 0..64 {
        let needs = Needs::of(&board);
        chosen.extend(dissemination.choose_peer(&mut board, needs));
    }
    assert_eq!(
        chosen.into_iter().collect::<Vec<_>>(),
        [address(2), address(3)]
    );
}
