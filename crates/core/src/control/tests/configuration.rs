//! Tests of failures that concern the configuration.

use super::harness::*;
use crate::control::*;

/// The platform is down for a long time and then returns with a newer text. Nodes keep
/// the configuration in force, and at most four per data centre retry, with a backoff of
/// up to five seconds. Once the platform is back, the new text is in force everywhere
/// within seconds.
#[test]
fn a_platform_outage_keeps_the_configuration_in_force() {
    let mut fleet = bangkok(2);
    fleet.platform.down = true;
    fleet.run(Millis::from_secs(60));
    assert!(fleet.all_at(5));
    let readers = fleet.readers();
    assert!(readers <= 3 * 4, "{readers} readers");
    let before = fleet.platform.reads;
    fleet.run(Millis::from_secs(60));
    let reads = fleet.platform.reads - before;
    println!("platform down: {readers} readers, {reads} reads in a minute");
    assert!(reads <= readers as u64 * 2 * 24);

    fleet.platform.down = false;
    fleet.publish_text(6, TEXT);
    let took = fleet.run_until(Millis::from_secs(8), "text after the outage", |fleet| {
        fleet.all_at(6)
    });
    println!("platform back: in force after {took}");
    fleet.run(Millis::from_secs(60));
    assert!(fleet.readers() <= 3 * 2);
}

/// The platform serves an outdated text while a node starts. The new node queries its
/// peers first and starts with the newer text. It never puts the outdated text in force.
#[test]
fn a_new_node_beside_a_stale_platform_starts_with_the_newer_text() {
    let mut fleet = bangkok(3);
    fleet.publish_text(4, "layouts::2");
    let entry = fleet.platform.vms[6].clone();
    fleet.kill(6);
    let new = fleet.start(&entry);
    fleet.run_until(Millis::from_secs(5), "the new node", |fleet| {
        fleet.all_at(5)
    });
    let versions: Vec<u64> = fleet.nodes[new].first_in_force_at.keys().copied().collect();
    assert_eq!(versions, [5]);
    fleet.run(Millis::from_secs(60));
    assert!(fleet.all_at(5));
}

/// As above, but the new node is the only one of its service. No member of its service
/// can answer, so it must query other nodes. If it trusted the platform at once, it would
/// use the outdated text until it learned of a newer one.
#[test]
fn a_new_service_beside_a_stale_platform_starts_with_the_newer_text() {
    let mut fleet = bangkok(4);
    fleet.publish_text(4, "layouts::2");
    let mut entry = fleet.platform.vms[0].clone();
    entry.vm = VmId::new("vm-new");
    entry.service = ServiceName::new("audit");
    entry.peer = address(500, 7000);
    entry.control = address(500, 7001);
    let listed = entry.clone();
    fleet.publish_vms(|vms| vms.push(listed));
    let new = fleet.start(&entry);
    fleet.run_until(Millis::from_secs(5), "the new node", |fleet| {
        fleet.all_at(5)
    });
    let versions: Vec<u64> = fleet.nodes[new].first_in_force_at.keys().copied().collect();
    assert_eq!(versions, [5]);
}

/// The platform is restored from an old copy: version 5 was in force, and it offers
/// version 3 for minutes. No node reverts, and the readers report the platform as stale.
/// Once it offers version 6, that version is in force within seconds.
#[test]
fn a_platform_restored_from_an_old_copy_reverts_no_node() {
    let mut fleet = bangkok(5);
    fleet.publish_text(3, "layouts::2");
    // All readers die, so that new ones start to read the old copy.
    for index in 0..14 {
        if !fleet.status(index).reading {
            continue;
        }
        let entry = fleet.platform.vms[index].clone();
        fleet.kill(index);
        fleet.start(&entry);
    }
    fleet.run(Millis::from_secs(90));
    assert!(fleet.all_at(5));
    let mut stale = 0;
    for node in fleet.alive() {
        let status = node.control.status(fleet.now);
        stale += usize::from(status.platform == PlatformState::Stale);
    }
    println!("platform restored from an old copy: {stale} readers report it as stale");
    assert!(stale > 0);
    assert!(fleet.readers() <= 3 * 4);
    fleet.publish_text(6, TEXT);
    let took = fleet.run_until(Millis::from_secs(5), "version 6", |fleet| fleet.all_at(6));
    println!("platform caught up: in force after {took}");
}

/// A faulty text is published, then a valid one. The faulty text is rejected as a whole
/// with the line of the fault, and the previous text stays in force everywhere. The
/// faulty text is not read repeatedly, and every node reports the reason.
#[test]
fn a_faulty_text_is_rejected_as_a_whole() {
    let mut fleet = bangkok(6);
    let before = fleet.platform.reads;
    fleet.publish_text(6, "layouts::2\nbad\ncashier::2");
    fleet.run(Millis::from_secs(20));
    assert!(fleet.all_at(5));
    for node in fleet.alive() {
        let status = node.control.status(fleet.now);
        let refused = status.refused.expect("relayed by heartbeats");
        assert_eq!(refused.version, ConfigVersion(6));
        assert_eq!(refused.reason, "line 2 column 1: not a service");
        assert!(status.counters.texts_refused <= 1);
    }
    let reads = fleet.platform.reads - before;
    assert!(reads <= 2 * fleet.readers() as u64 * 2, "{reads} reads");
    fleet.publish_text(7, TEXT);
    fleet.run_until(Millis::from_secs(5), "version 7", |fleet| fleet.all_at(7));
    assert_eq!(fleet.status(0).refused, None);
}

fn large_text(size_bytes: usize) -> String {
    format!("{TEXT}\nname:{}", "x".repeat(size_bytes))
}

/// A text of one megabyte, most of which concerns every node, is transferred over TCP. No
/// datagram exceeds its limit (the harness checks the length).
#[test]
fn a_text_of_one_megabyte_is_sent_over_tcp() {
    let mut fleet = bangkok(7);
    fleet.publish_text(6, &large_text(1_000_000));
    let took = fleet.run_until(Millis::from_secs(5), "the large text", |fleet| {
        fleet.all_at(6)
    });
    println!("1 MB: in force after {took}");
    for node in fleet.alive() {
        assert_eq!(node.table.deployment.deployment.len(), 1_000_000);
    }
}

/// A large text is edited every second. Reading every version would exceed the traffic
/// that a node may spend on control, so each reader pauses after a read. The readers take
/// turns, and edits are still in force within seconds.
#[test]
fn readers_of_a_large_text_that_changes_often_take_turns() {
    let mut fleet = bangkok(13);
    fleet.publish_text(6, &large_text(120_000));
    fleet.run(Millis::from_secs(30));
    let before = fleet.platform.reads;
    let mut worst = Millis::ZERO;
    let mut edits = 0;
    let end = fleet.now + Millis::from_secs(60);
    let mut version = 6;
    while fleet.now < end {
        version += 1;
        edits += 1;
        fleet.publish_text(version, &large_text(120_000 + version as usize));
        let took = fleet.run_until(Millis::from_secs(19), "an edit", |fleet| {
            fleet.all_at(version)
        });
        worst = worst.max(took);
        fleet.run(Millis::from_secs(1));
    }
    let reads = fleet.platform.reads - before;
    println!("large text: {edits} edits in 60 s, {reads} reads by 6 readers, at worst {worst}");
    assert!(edits >= 15);
    // One text per 5 s and reader, and two watches per 30 s and reader.
    assert!(reads <= 6 * (60 / 5 + 2 * 3));
}

/// Two edits in quick succession, the second before the first has spread. Every node ends
/// with the content of the second, regardless of which arrives first.
#[test]
fn after_two_quick_edits_the_second_is_in_force() {
    let mut fleet = bangkok(8);
    fleet.publish_text(
        6,
        "layouts::9\ncashier:ledger:2\ndarkroom:ledger:2\nledger::2",
    );
    fleet.run(Millis(7));
    fleet.publish_text(
        7,
        "layouts::3\ncashier:ledger:2\ndarkroom:ledger:2\nledger::2",
    );
    let took = fleet.run_until(Millis::from_secs(5), "version 7", |fleet| fleet.all_at(7));
    println!("two edits: in force after {took}");
    for index in 0..5 {
        let table = &fleet.nodes[index].table;
        let view = &table.services[&ServiceName::new("layouts")];
        assert_eq!(view.policy.budgets.probes_per_s, 3.0);
    }
}

/// A node that skipped a version has a slice that was changed and changed back. If it
/// knew only which slices differ between the versions that a reader compared, it could
/// consider its slice current. Readers miss some of the random edits here, over a lossy
/// network. At the end every node must have the content of the last text.
#[test]
fn skipped_versions_leave_no_old_content_behind() {
    let mut fleet = bangkok(9);
    fleet.network.loss = 0.3;
    let mut last = [2.0; 4];
    for version in 6..60 {
        last[version as usize % 4] = 2.0 + f64::from(u8::from(version % 3 == 0));
        let [layouts, cashier, darkroom, ledger] = last;
        let text = format!(
            "layouts::{layouts}\ncashier:ledger:{cashier}\ndarkroom:ledger:{darkroom}\nledger::{ledger}"
        );
        fleet.network.cut_from_platform = [version as usize % 14].into();
        fleet.publish_text(version, &text);
        fleet.run(Millis(30 + version * 37 % 400));
    }
    fleet.run_until(Millis::from_secs(15), "version 59", |fleet| {
        fleet.all_at(59)
    });
    for node in fleet.alive() {
        for (service, view) in &node.table.services {
            let index = ["layouts", "cashier", "darkroom", "ledger"]
                .iter()
                .position(|name| *name == service.as_str())
                .expect("a known service");
            assert_eq!(view.policy.budgets.probes_per_s, last[index]);
        }
    }
}

/// The readers of every data centre die. Other nodes notice their silence and take over,
/// and the next text is in force everywhere.
#[test]
fn readers_that_die_are_replaced() {
    let mut fleet = bangkok(10);
    let mut killed = 0;
    for index in 0..14 {
        if fleet.status(index).reading {
            fleet.kill(index);
            killed += 1;
        }
    }
    assert!(killed >= 3);
    let took = fleet.run_until(Millis::from_secs(25), "new readers", |fleet| {
        fleet.readers() >= 3
    });
    println!("rota: {killed} readers dead, replaced after {took}");
    fleet.run(Millis::from_secs(10));
    fleet.publish_text(6, TEXT);
    fleet.run_until(Millis::from_secs(5), "version 6", |fleet| fleet.all_at(6));
}

/// Fourteen nodes start at once, and each elects itself until it has received heartbeats
/// from the others. Nodes that leave the rota again must not keep their watches on the
/// platform open for the half minute that a watch lasts, because the platform counts them
/// as reads.
#[test]
fn a_node_that_leaves_the_rota_cancels_its_watches() {
    for seed in 0..20 {
        let mut fleet = bangkok(seed);
        let took = fleet.run_until(Millis::from_secs(5), "a settled rota", |fleet| {
            fleet.readers() == 6
        });
        fleet.run(Millis::from_secs(1));
        let watches = fleet.watches();
        assert_eq!(watches, 12, "seed {seed}, {took} after the start");
    }
}

/// All readers are cut off from the platform, other nodes are not. The readers report the
/// failure, other nodes of each data centre take over, and edits come into force again.
#[test]
fn failing_readers_are_replaced() {
    let mut fleet = bangkok(11);
    let cut: Vec<usize> = (0..14)
        .filter(|index| fleet.status(*index).reading)
        .collect();
    fleet.network.cut_from_platform = cut.iter().copied().collect();
    fleet.run(Millis(200));
    fleet.publish_text(6, TEXT);
    let took = fleet.run_until(Millis::from_secs(20), "version 6", |fleet| fleet.all_at(6));
    println!("readers cut from the platform: text in force after {took}");
    fleet.run(Millis::from_secs(10));
    for data_centre in ["dc-0", "dc-1", "dc-2"] {
        let mut working = 0;
        for node in fleet.alive() {
            let status = node.control.status(fleet.now);
            let is_there = node.settings.data_centre.as_str() == data_centre;
            let answers = status.platform == PlatformState::Answering;
            working += usize::from(is_there && answers);
        }
        assert!((1..=2).contains(&working), "{working} in {data_centre}");
    }
    assert!(fleet.readers() <= 3 * 4);
}

/// A call requests a service that its node does not track. The node fetches the slices on
/// demand and drops them after ten idle minutes.
#[test]
fn a_service_requested_on_demand_is_fetched_and_dropped_when_idle() {
    let mut fleet = bangkok(12);
    let darkroom = ServiceName::new("darkroom");
    let service = darkroom.clone();
    assert!(!fleet.nodes[0].table.services.contains_key(&darkroom));
    fleet.event(0, ControlEvent::ServiceRequested(darkroom.clone()));
    let took = fleet.run_until(Millis::from_secs(2), "the service", |fleet| {
        let view = fleet.nodes[0].table.services.get(&service);
        view.is_some_and(|view| view.targets.len() == 3)
    });
    println!("service on demand: available after {took}");
    fleet.run(Millis::from_secs(11 * 60));
    assert!(!fleet.nodes[0].table.services.contains_key(&darkroom));
}
