//! Which gate a ticket is issued for.

use super::*;

fn view_with_reports(targets: usize) -> ServiceView {
    let mut snapshot = view(targets);
    for number in 0..targets {
        snapshot.targets[number].load = received_load(number, 1, 100);
    }
    snapshot
}

fn gate_of(service: &mut EntryService, key: u128, now: u64) -> VmId {
    let gate = service.ticket_gate(CallKey(key), Millis(now));
    gate.expect("a gate is usable").vm
}

fn key(number: u32) -> u128 {
    CallKey::from_parts("cashier", "hall-7", &number.to_string()).0
}

/// A kiosk that lost its ticket returns through another entry with the same
/// key. If it got a ticket for another gate, the citizen could be charged
/// twice.
#[test]
fn entries_whose_views_agree_name_the_same_gate() {
    let snapshot = view_with_reports(3);
    let mut one = service(&snapshot);
    let mut other = EntryService::new(&EntrySettings { seed: 99 }, Arc::new(snapshot), Millis(5));
    run(&mut one, 0, 500, |_| SUCCESS);
    let mut by_gate = std::collections::BTreeMap::new();
    for number in 0..900 {
        let gate = gate_of(&mut one, key(number), 500);
        assert_eq!(gate, gate_of(&mut other, key(number), 9_000));
        *by_gate.entry(gate).or_insert(0) += 1;
    }
    assert_eq!(by_gate.len(), 3);
    assert!(
        by_gate.values().all(|keys| (240..=360).contains(keys)),
        "{by_gate:?}"
    );
}

#[test]
fn a_leaving_gate_moves_only_its_own_keys() {
    let mut snapshot = view_with_reports(4);
    let mut before = service(&snapshot);
    snapshot.targets[2].leaving = true;
    let mut after = service(&snapshot);
    for number in 0..400 {
        let old = gate_of(&mut before, key(number), 200);
        let new = gate_of(&mut after, key(number), 200);
        assert_ne!(new.as_str(), "vm-002");
        assert!(old == new || old.as_str() == "vm-002");
    }
}

/// The expiry must not include the time since the report by the issuer's clock.
/// Otherwise the gate would refuse every ticket as expired, or keep records for
/// too short a time.
#[test]
fn expiry_uses_the_gates_clock_as_last_reported() {
    let mut service = service(&view_with_reports(1));
    let first = service
        .ticket_gate(CallKey(1), Millis(60_000))
        .expect("usable");
    assert_eq!(first.expires_at, Millis(100 + 120_000));
    assert_eq!(first.incarnation, incarnation_of(0));

    for (clock_ms, expected) in [(5_000, 5_000), (3_000, 5_000), (6_000, 6_000)] {
        answer_with_load(&mut service, &report(0, 0, clock_ms), 60_001);
        let gate = service
            .ticket_gate(CallKey(1), Millis(60_002))
            .expect("usable");
        assert_eq!(gate.expires_at, Millis(expected + 120_000));
    }
}

/// A ticket for an earlier incarnation can never run.
#[test]
fn tickets_name_a_new_incarnation_after_its_first_report() {
    let mut snapshot = view_with_reports(2);
    let mut service = service(&snapshot);
    snapshot.targets[0].incarnation = Some(NEW_INCARNATION);
    service.update(Arc::new(snapshot.clone()), Millis(200));
    for number in 0..50 {
        assert_eq!(gate_of(&mut service, key(number), 200).as_str(), "vm-001");
    }
    let fresh = LoadReport {
        incarnation: NEW_INCARNATION,
        ..report(0, 0, 7)
    };
    snapshot.targets[0].load = Some(ReceivedLoad {
        report: fresh,
        received_at: Millis(300),
    });
    service.update(Arc::new(snapshot), Millis(300));
    let mut with_new_incarnation = 0;
    for number in 0..50 {
        let gate = service
            .ticket_gate(CallKey(key(number)), Millis(300))
            .expect("usable");
        if gate.vm.as_str() == "vm-000" {
            assert_eq!(gate.incarnation, NEW_INCARNATION);
            assert_eq!(gate.expires_at, Millis(7 + 120_000));
            with_new_incarnation += 1;
        }
    }
    assert!(with_new_incarnation > 0);
}

#[test]
fn no_ticket_is_issued_without_a_known_incarnation() {
    let mut snapshot = view(2);
    snapshot.targets[0].incarnation = None;
    snapshot.targets[1].leaving = true;
    snapshot.targets[1].load = received_load(1, 0, 100);
    let refusal = service(&snapshot)
        .ticket_gate(CallKey(1), Millis(1))
        .expect_err("no gate is usable");
    assert_eq!(refusal.code, ResultCode::NoTarget);
}

#[test]
fn a_gate_far_over_its_limit_or_ejected_is_passed_over_while_others_are_there() {
    let mut snapshot = view_with_reports(2);
    snapshot.targets[0].load = received_load(0, 48, 100);
    let mut over = service(&snapshot);
    let mut ejected = service(&view_with_reports(2));
    end_at(&mut ejected, 0, AttemptEnd::Unreachable, 150);
    for number in 0..50 {
        assert_eq!(gate_of(&mut over, key(number), 200).as_str(), "vm-001");
        assert_eq!(gate_of(&mut ejected, key(number), 200).as_str(), "vm-001");
    }
    let keys_of_first = |service: &mut EntryService, now| {
        let is_first = |number: &u32| gate_of(service, key(*number), now).as_str() == "vm-000";
        (0..50).filter(is_first).count()
    };
    assert!(
        keys_of_first(&mut over, 9_000) > 10,
        "the report is too old to count"
    );
    snapshot.targets[1].load = received_load(1, 48, 100);
    let mut all_over = service(&snapshot);
    assert!(
        keys_of_first(&mut all_over, 200) > 10,
        "the other gate is no better"
    );
}

/// Kiosks fetch tickets ahead at a high load. With hashed keys a gate is
/// sometimes drawn too often and refuses payments while its neighbour is idle.
/// In turn, no gate is ever more than a few tickets ahead.
#[test]
fn tickets_without_a_callers_key_are_issued_round_robin() {
    let mut service = service(&view_with_reports(3));
    let mut by_gate = std::collections::BTreeMap::new();
    for number in 1..=900 {
        let gate = service.ticket_gate_in_turn(Millis(200)).expect("usable");
        *by_gate.entry(gate.vm).or_insert(0) += 1;
        let most = by_gate.values().max().copied().unwrap_or(0);
        assert!(most <= number / 3 + 2, "{by_gate:?} after {number} tickets");
    }
    assert_eq!(by_gate.values().sum::<i32>(), 900);
    assert_eq!(by_gate.len(), 3);
}

/// A gate that reports a long queue gets slightly fewer tickets in proportion
/// to its load; entries must not all avoid it.
#[test]
fn load_reduces_a_gates_share_of_tickets_only_slightly() {
    let mut snapshot = view_with_reports(3);
    snapshot.targets[0].load = received_load(0, 12, 100);
    let mut service = service(&snapshot);
    let mut loaded = 0;
    for _ in 0..300 {
        let gate = service.ticket_gate_in_turn(Millis(101)).expect("usable");
        loaded += u32::from(gate.vm.as_str() == "vm-000");
    }
    assert!((90..=100).contains(&loaded), "{loaded} of 300 tickets");
}
