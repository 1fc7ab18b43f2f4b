//! Tests of failures that concern members, leaving, suspicions and probes.

use std::collections::BTreeMap;

use super::harness::*;
use crate::control::*;
use crate::suspects::{SuspectEntry, SuspicionLevel};
use crate::view::TargetView;

fn target<'a>(fleet: &'a Fleet, at: usize, service: &str, vm: &VmId) -> Option<&'a TargetView> {
    let view = fleet.nodes[at].table.services.get(service)?;
    view.targets.iter().find(|target| target.vm == *vm)
}

fn usable(fleet: &Fleet, at: usize, service: &str) -> usize {
    let Some(view) = fleet.nodes[at].table.services.get(service) else {
        return 0;
    };
    let usable = view.targets.iter().filter(|target| !target.leaving);
    usable.count()
}

/// Data centres are partitioned for ten minutes while one side receives a new text and a
/// new VM list. Each side keeps all members and marks the remote ones as doubtful. After
/// the partition has healed, every node has the newer text and no member is doubtful.
#[test]
fn a_partition_empties_no_service_and_heals() {
    let mut fleet = bangkok(20);
    for index in 0..14 {
        let group = u8::from(fleet.nodes[index].settings.data_centre.as_str() == "dc-2");
        fleet.network.groups.insert(index, group);
        if group == 1 {
            fleet.network.cut_from_platform.insert(index);
        }
    }
    fleet.publish_text(6, TEXT);
    fleet.publish_vms(|_| ());
    fleet.run(Millis::from_secs(600));
    let mut versions = BTreeMap::new();
    for index in 0..14 {
        let version = fleet.nodes[index].table.version;
        *versions.entry(version).or_insert(0) += 1;
        let own = fleet.nodes[index].settings.service.clone();
        let expected = if own.as_str() == "layouts" { 5 } else { 3 };
        assert_eq!(usable(&fleet, index, own.as_str()), expected);
    }
    println!("partition: versions {versions:?}");
    assert_eq!(versions.len(), 2);

    fleet.network.groups.clear();
    let took = fleet.run_until(Millis::from_secs(10), "version 6", |fleet| fleet.all_at(6));
    println!("partition healed: in force after {took}");
    fleet.run(Millis::from_secs(10));
    for node in fleet.alive() {
        for view in node.table.services.values() {
            assert!(view.targets.iter().all(|target| !target.doubtful));
        }
    }
}

/// A process is paused for two minutes. Meanwhile, the text advances twice, and a member
/// leaves and returns as a new incarnation. The process resumes with buffered old
/// datagrams and outdated state. No node reverts anything because of it, and it is up to
/// date within seconds.
#[test]
fn a_paused_node_that_resumes_reverts_nothing() {
    let mut fleet = bangkok(21);
    let paused = 7;
    fleet.nodes[paused].paused_until = fleet.now + Millis::from_secs(120);
    fleet.publish_text(6, TEXT);
    fleet.event(6, ControlEvent::LeaveRequested);
    fleet.run(Millis::from_secs(20));
    fleet.kill(6);
    let entry = fleet.platform.vms[6].clone();
    let new = fleet.start(&entry);
    fleet.publish_text(7, TEXT);
    fleet.run(Millis::from_secs(90));
    let incarnation = fleet.nodes[new].settings.incarnation;
    let took = fleet.run_until(Millis::from_secs(20), "the paused node", |fleet| {
        fleet.all_at(7)
    });
    let took = took.minus(Millis::from_secs(10));
    println!("paused node: up to date {took} after it resumed");
    assert!(took <= Millis::from_secs(2));
    fleet.run(Millis::from_secs(3));
    for index in [5, paused] {
        let seen = target(&fleet, index, "cashier", &entry.vm).expect("a target");
        assert_eq!(seen.incarnation, Some(incarnation));
        assert!(!seen.leaving && !seen.doubtful);
    }
}

/// A process is paused while its VM is replaced by a later incarnation at another
/// address, and resumes after half a minute. Its messages are dropped as stale. It is
/// informed of the later incarnation and accepts no new work from then on.
#[test]
fn an_earlier_incarnation_that_resumes_is_ignored_and_notified() {
    let mut fleet = bangkok(22);
    let mut entry = fleet.platform.vms[6].clone();
    entry.peer = address(600, 7000);
    entry.control = address(600, 7001);
    fleet.nodes[6].paused_until = fleet.now + Millis::from_secs(30);
    let new = fleet.start(&entry);
    let incarnation = fleet.nodes[new].settings.incarnation;
    fleet.run(Millis::from_secs(30));
    let took = fleet.run_until(
        Millis::from_secs(4),
        "the earlier incarnation to be informed",
        |fleet| fleet.status(6).superseded,
    );
    println!("earlier incarnation: informed {took} after it resumed");
    assert!(fleet.nodes[6].table.leaving);
    for _ in 0..100 {
        fleet.run(TICK);
        let seen = target(&fleet, 5, "cashier", &entry.vm).expect("a target");
        assert_eq!(seen.incarnation, Some(incarnation));
        assert_eq!(seen.peer, entry.peer);
        assert!(!seen.leaving);
    }
    let mut stale = 0;
    for node in fleet.alive() {
        stale += node.control.status(fleet.now).counters.stale_messages;
    }
    assert!(stale > 0);
}

/// A VM is replaced by another VM, with another name and service, at the same address,
/// while the list lags. The old VM stops being a target as soon as the new one is seen at
/// this address, before the list contains it.
#[test]
fn another_vm_on_the_same_address_replaces_the_old_name() {
    let mut fleet = bangkok(23);
    let old = fleet.platform.vms[6].clone();
    fleet.kill(6);
    let mut entry = old.clone();
    entry.vm = VmId::new("vm-replacement");
    fleet.start(&entry);
    let took = fleet.run_until(Millis::from_secs(10), "the new name", |fleet| {
        let is_new = target(fleet, 5, "cashier", &entry.vm).is_some();
        is_new && target(fleet, 5, "cashier", &old.vm).is_none()
    });
    println!("same address: replaced after {took}");
    fleet.publish_vms(|vms| vms[6] = entry.clone());
    fleet.run(Millis::from_secs(15));
    assert_eq!(usable(&fleet, 5, "cashier"), 3);
    assert_eq!(usable(&fleet, 11, "ledger"), 3);
}

/// A member dies. Silence makes it doubtful, but it stays while the list contains it. It
/// is removed with a newer list that omits it. A list that omits a live member removes
/// nothing.
#[test]
fn only_a_newer_list_and_silence_together_remove_a_member() {
    let mut fleet = bangkok(24);
    let dead = fleet.platform.vms[6].vm.clone();
    let alive = fleet.platform.vms[7].vm.clone();
    fleet.kill(6);
    fleet.run_until(Millis::from_secs(10), "doubt", |fleet| {
        target(fleet, 5, "cashier", &dead).is_some_and(|target| target.doubtful)
    });
    fleet.run(Millis::from_secs(300));
    assert!(target(&fleet, 5, "cashier", &dead).is_some());
    fleet.publish_vms(|vms| vms.retain(|entry| entry.vm != dead && entry.vm != alive));
    let took = fleet.run_until(Millis::from_secs(5), "removal", |fleet| {
        target(fleet, 5, "cashier", &dead).is_none()
    });
    println!("dead member: removed {took} after the list");
    fleet.run(Millis::from_secs(30));
    let seen = target(&fleet, 5, "cashier", &alive).expect("alive");
    assert!(!seen.doubtful);
}

/// The platform marks a VM as leaving before its process knows. All nodes follow the
/// list, and the process starts leaving. A new incarnation of the VM that reports itself
/// live is a target again, although the list still marks the VM as leaving.
#[test]
fn a_new_incarnation_is_live_although_the_list_marks_the_vm_as_leaving() {
    let mut fleet = bangkok(25);
    let vm = fleet.platform.vms[6].vm.clone();
    fleet.publish_vms(|vms| vms[6].leaving = true);
    fleet.run_until(Millis::from_secs(5), "leaving", |fleet| {
        target(fleet, 5, "cashier", &vm).is_some_and(|target| target.leaving)
    });
    assert!(fleet.status(6).leaving);
    assert!(fleet.nodes[6].table.leaving);
    fleet.kill(6);
    let entry = fleet.platform.vms[6].clone();
    fleet.start(&entry);
    fleet.run_until(Millis::from_secs(5), "the new incarnation", |fleet| {
        target(fleet, 5, "cashier", &vm).is_some_and(|target| !target.leaving)
    });
}

/// A gate leaves. Nodes that recently sent work to it learn of it at once.
#[test]
fn leaving_is_announced_at_once_to_senders_and_the_service() {
    let mut fleet = bangkok(26);
    let vm = fleet.platform.vms[11].vm.clone();
    let sender = fleet.nodes[5].settings.control;
    fleet.event(11, ControlEvent::ReceivedFrom { control: sender });
    fleet.event(11, ControlEvent::LeaveRequested);
    let took = fleet.run_until(Millis(300), "leaving", |fleet| {
        [5, 12, 13]
            .iter()
            .all(|at| target(fleet, *at, "ledger", &vm).is_some_and(|target| target.leaving))
    });
    println!("leaving: known to sender and service after {took}");
}

/// A gate leaves, and all announcements and half of the other datagrams are lost.
/// Heartbeats still spread the leaving state within a few seconds.
#[test]
fn heartbeats_spread_leaving_when_announcements_are_lost() {
    let mut worst = Millis::ZERO;
    for seed in 0..10 {
        let mut fleet = bangkok(100 + seed);
        let vm = fleet.platform.vms[11].vm.clone();
        fleet.network.loss = 1.0;
        fleet.event(11, ControlEvent::LeaveRequested);
        fleet.run(Millis(1_000));
        fleet.network.loss = 0.5;
        let took = fleet.run_until(Millis::from_secs(6), "leaving", |fleet| {
            (5..14)
                .filter(|at| *at != 11)
                .all(|at| target(fleet, at, "ledger", &vm).is_some_and(|target| target.leaving))
        });
        worst = worst.max(took);
    }
    println!("leaving by heartbeats alone, half of them lost: at worst {worst}");
}

/// A target drains and becomes available again. Its own later statement reverts the
/// leaving state, and a late datagram cannot restore the earlier state.
#[test]
fn draining_ends_only_by_a_later_statement() {
    let mut fleet = bangkok(27);
    fleet.network.late = 0.2;
    fleet.network.duplicates = 0.3;
    let vm = fleet.platform.vms[11].vm.clone();
    for draining in [true, false] {
        let state = ControlEvent::TargetState {
            draining,
            reachable: true,
        };
        fleet.event(11, state);
        fleet.run(Millis::from_secs(8));
        for _ in 0..200 {
            fleet.run(TICK);
            let seen = target(&fleet, 12, "ledger", &vm).expect("a target");
            assert_eq!(seen.leaving, draining);
        }
    }
}

/// A request crashes one gate of a service, and its caller sends it again to another
/// gate. The other gates must know of the suspicion first.
#[test]
fn suspicion_reaches_the_service_at_once() {
    let mut fleet = bangkok(28);
    let entry = SuspectEntry {
        fingerprint: 77,
        version: 1,
        level: SuspicionLevel::Suspect,
        crashes: 1,
        age_ms: Millis::ZERO,
    };
    fleet.event(0, ControlEvent::Suspicion(entry));
    let took = fleet.run_until(Millis(200), "suspicion", |fleet| {
        (0..5).all(|at| fleet.nodes[at].table.suspects.level(77) == SuspicionLevel::Suspect)
    });
    println!("suspicion: known to the service after {took}");
    fleet.run(Millis::from_secs(11 * 60));
    for at in 0..14 {
        assert_eq!(
            fleet.nodes[at].table.suspects.level(77),
            SuspicionLevel::Clear
        );
    }
}

/// Every member of a service falls silent while calls are sent to it. Probes stay within
/// the budget of the text: burst plus rate times time.
#[test]
fn probes_stay_within_the_budget() {
    let mut fleet = bangkok(29);
    for index in 11..14 {
        fleet.kill(index);
    }
    let ledger = ServiceName::new("ledger");
    let seconds = 120;
    for _ in 0..seconds {
        fleet.event(5, ControlEvent::SentTo(ledger.clone()));
        fleet.run(Millis::from_secs(1));
    }
    let sent = fleet.status(5).counters.probes_sent;
    println!("probes: {sent} in {seconds} s of silence, budget 2 a second");
    assert!(sent > 0 && sent <= 4 + 2 * seconds);
    // Three gates, each probed at most every three seconds.
    assert!(sent <= seconds + 3);
}

/// No probe is sent while load reports of the gates arrive.
#[test]
fn gates_with_recent_reports_are_not_probed() {
    let mut fleet = bangkok(30);
    let ledger = ServiceName::new("ledger");
    let mut clock = 100_000;
    for _ in 0..600 {
        fleet.event(5, ControlEvent::SentTo(ledger.clone()));
        for index in 11..14 {
            let gate = &fleet.nodes[index].settings;
            clock += 1;
            let load = LoadReport {
                in_flight: 1,
                queued: 0,
                limit: 12,
                service_time_us: 900,
                gate_clock_ms: fleet.now + Millis(clock),
                incarnation: gate.incarnation,
                leaving: false,
            };
            let vm = gate.vm.clone();
            fleet.event(5, ControlEvent::LoadReported { vm, load });
        }
        fleet.run(Millis(100));
    }
    assert_eq!(fleet.status(5).counters.probes_sent, 0);
}
