//! Tests of the reader election.

use super::*;

fn vm(index: usize) -> VmId {
    VmId::new(&format!("vm-{index}"))
}

fn note(index: usize, clock_ms: u64, failing: bool) -> ReaderNote {
    ReaderNote {
        vm: vm(index),
        control: SocketAddr::from(([10, 0, 0, 1], 7001)),
        incarnation: Incarnation(1),
        clock_ms: Millis(clock_ms),
        age_ms: Millis::ZERO,
        reading: true,
        failing,
        whole: true,
    }
}

/// Returns the nodes that elect themselves when all have received all notes, given the
/// failing nodes.
fn elected(nodes: usize, failing: &[usize]) -> Vec<usize> {
    let mut elected = Vec::new();
    for own in 0..nodes {
        let mut rota = Rota::new(&vm(own), DataCentre::new("dc"));
        for other in 0..nodes {
            let is_failing = failing.contains(&other);
            rota.merge(&note(other, 1, is_failing), &vm(own), Millis::ZERO);
        }
        if rota.elects_self(failing.contains(&own), Millis::ZERO) {
            elected.push(own);
        }
    }
    elected
}

#[test]
fn agreeing_views_elect_two() {
    for nodes in [2, 3, 10, 100] {
        assert_eq!(elected(nodes, &[]).len(), READERS);
    }
    assert_eq!(elected(1, &[]).len(), 1);
}

#[test]
fn a_failing_reader_keeps_reading_beside_its_replacement() {
    let first = elected(100, &[]);
    let with_replacement = elected(100, &first[..1]);
    assert_eq!(with_replacement.len(), READERS + 1);
    assert!(with_replacement.contains(&first[0]));
}

/// The platform is down for all nodes, so each elected reader fails in turn. Without a
/// limit, the whole data centre would end up reading.
#[test]
fn failing_readers_never_exceed_the_bound() {
    let mut failing = Vec::new();
    for _ in 0..20 {
        failing = elected(100, &failing);
    }
    assert_eq!(failing.len(), MAX_READERS);
}

/// Nodes relay the notes of a dead candidate to each other indefinitely, each time with
/// their own estimate of its age. None of them may count as a sign of life.
#[test]
fn relayed_notes_do_not_keep_a_dead_candidate_on_the_rota() {
    let own = vm(0);
    let mut rota = Rota::new(&own, DataCentre::new("dc"));
    let mut now = Millis::ZERO;
    for _ in 0..100 {
        rota.merge(&note(1, 1, false), &own, now);
        rota.merge(&note(2, 1, false), &own, now);
        now = now + Millis(500);
    }
    rota.trim(now);
    assert!(rota.elects_self(false, now));
    assert!(rota.status().is_empty());
}

#[test]
fn the_best_candidates_are_kept_up_to_the_limit() {
    let own = vm(1_000);
    let mut rota = Rota::new(&own, DataCentre::new("dc"));
    for index in 0..500 {
        rota.merge(&note(index, 1, false), &own, Millis::ZERO);
    }
    let kept = rota.status();
    assert_eq!(kept.len(), MAX_CANDIDATES);
    let best = elected(500, &[]);
    for index in best {
        assert!(kept.iter().any(|reader| reader.vm == vm(index)));
    }
}
