//! Tests of when nodes probe the source during an outage of their readers.

use super::*;

const WAITS: Waits = Waits::new(Millis(2_000));

/// Ages at which the nodes of a fleet probe in a round that begins at this age.
fn due_ages_ms(nodes: usize, round_start_ms: Millis) -> Vec<Millis> {
    let mut due = Vec::new();
    for place in 0..nodes {
        let mut probes = OutageProbes::default();
        let draw = || place as u64;
        due.extend(probes.due_age_ms(round_start_ms, nodes, &WAITS, draw));
    }
    due
}

/// Guards against a node that the source serves and that never asks it.
#[test]
fn each_node_of_a_small_fleet_probes_before_its_state_is_too_old() {
    for nodes in [9, 70, 124] {
        let due = due_ages_ms(nodes, Millis::ZERO);
        assert_eq!(due.len(), nodes);
        let latest = due.iter().max().expect("a probe");
        assert!(*latest + WAITS.idle_timeout_ms() < WAITS.in_force_ms());
    }
}

/// Guards against probes that grow with the fleet.
#[test]
fn the_probes_of_a_large_fleet_are_bounded() {
    for nodes in [1_000, 16_000] {
        let first_round = due_ages_ms(nodes, Millis::ZERO);
        assert_eq!(first_round.len() as u64, MAX_PROBES);
        let second_round = due_ages_ms(nodes, WAITS.in_force_ms());
        assert!(second_round.len() * 8 < first_round.len());
        let first_step = first_round.iter().min().expect("a probe");
        let earliest = first_round.iter().filter(|age| *age == first_step);
        assert_eq!(earliest.count() as u64, FIRST_PROBES);
    }
}

#[test]
fn a_node_probes_once_a_round_and_draws_anew_when_its_state_is_renewed() {
    let mut probes = OutageProbes::default();
    let due = probes.due_age_ms(Millis(900), 70, &WAITS, || 0);
    assert_eq!(due, Some(WAITS.outage_probe_age_ms(0)));
    probes.note_probed();
    let again = probes.due_age_ms(Millis(1_400), 70, &WAITS, || panic!("drawn twice"));
    assert_eq!(again, None);
    let renewed = probes.due_age_ms(Millis(10), 70, &WAITS, || 4);
    assert_eq!(renewed, Some(WAITS.outage_probe_age_ms(1)));
}
