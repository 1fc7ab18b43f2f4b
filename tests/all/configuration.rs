//! An accepted configuration is in force on all nodes within seconds, and an older
//! one never replaces it.
//!
//! The tests read past versions from the nodes' logs, which name each version as it
//! comes into force. Measured times are from the edit until every node's status shows
//! the version.

mod platform;

use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use hornbeamhitch_standins::demo::bangkok;
use hornbeamhitch_standins::fleet::NodeSpec;
use hornbeamhitch_standins::platform::OldValues;
use hornbeamhitch_standins::platform::behaviour::OldText;
use hornbeamhitch_standins::target::{TargetConfig, TargetStandin};
use hornbeamhitch_types::prelude::*;

use crate::support::caller::{Call, Caller, code_of};
use crate::support::traffic::Traffic;
use crate::support::{Deployment, Member};

/// Longest allowed time until a version is in force on all nodes.
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Extra time for a large text, as a multiple of the time that one check of it takes.
const LARGE_TEXT_CHECKS: u32 = 8;
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// A text in which only the deadline varies.
fn text(deadline_ms: u64) -> String {
    format!(
        r#"{{
  "deployment": "test",
  "services": {{
    "cashier": {{
      "deadline_ms": {deadline_ms},
      "calls": [
        {{ "name": "charge", "match": "POST /charge", "idempotent": false }},
      ],
    }},
  }},
}}"#
    )
}

/// Cashiers that are spread over three data centres.
fn members(count: usize) -> Vec<Member> {
    let mut members = Vec::new();
    for index in 0..count {
        let member = Member::new(&format!("cashier-{}", index + 1), "cashier");
        members.push(member.in_data_centre(DATA_CENTRES[index % DATA_CENTRES.len()]));
    }
    members
}

async fn start(count: usize) -> Result<Deployment> {
    Deployment::start(&text(10_000), members(count)).await
}

/// Fails unless a lookup through each of the nodes is answered.
async fn assert_serving(deployment: &Deployment, vms: &[String], when: &str) -> Result<()> {
    for vm in vms {
        let call = Call::price(&format!("{when}-{vm}"));
        let answer = Caller::new().send(deployment.entry(vm), &call).await?;
        assert_eq!(code_of(&answer), Some(ResultCode::Answered), "{when}: {vm}");
    }
    Ok(())
}

#[tokio::test]
async fn an_edit_is_in_force_on_fourteen_nodes_within_seconds() -> Result<()> {
    // The operator edits the Bangkok example six times, each time as soon as the last
    // edit is in force on all nodes. Readers learn of an edit by their watch, and all
    // other nodes learn of it from peers.
    let mut members = Vec::new();
    for spec in bangkok::deployment().targets() {
        let member = Member::new(&spec.vm, &spec.service);
        members.push(member.in_data_centre(&spec.data_centre));
    }
    let bangkok = include_str!("../../examples/bangkok.jsonc");
    let deployment = Deployment::start(bangkok, members).await?;
    let vms = deployment.fleet.names();
    assert_eq!(vms.len(), 14);
    let mut times = Vec::new();
    for edit in 0..6 {
        let deadline = format!("\"deadline_ms\": {}", 1_600 + edit);
        let edited = bangkok.replace("\"deadline_ms\": 1500", &deadline);
        ensure!(edited != bangkok, "the edit changes nothing");
        let changed_at = Instant::now();
        let version = deployment.platform.set_text(&edited)?;
        times.push(deployment.wait_in_force(&vms, version, changed_at).await?);
    }
    times.sort();
    println!(
        "in force on 14 nodes: median {:?}, all {times:?}",
        times[times.len() / 2]
    );
    assert!(times.iter().all(|time| *time < MAX_DELAY), "{times:?}");
    deployment.assert_versions_never_decrease()
}

/// Makes the platform serve an older text to all readers.
async fn serve_older(deployment: &Deployment, version: u64, text: &str) {
    let old = OldValues {
        text: Some(OldText {
            version,
            text: text.to_owned(),
        }),
        vms: None,
    };
    deployment.platform.serve_older(old).await;
}

#[tokio::test]
async fn an_older_version_never_returns_and_a_new_node_queries_its_peers() -> Result<()> {
    // The platform serves version 1 again, and the nodes are killed and restarted one
    // after the other, each without any state. A node first queries its peers, so
    // version 1 never comes into force on any node. A VM that is new to the fleet does
    // the same.
    let mut deployment = start(4).await?;
    let vms = deployment.fleet.names();
    let newest = deployment.platform.set_text_version(&text(12_000), 7)?;
    deployment
        .wait_in_force(&vms, newest, Instant::now())
        .await?;
    serve_older(&deployment, 1, &text(10_000)).await;
    for vm in &vms {
        deployment.fleet.restart(vm)?;
        deployment.fleet.wait_ready(vm).await?;
        assert_eq!(deployment.in_force(vm).await, Some(newest), "{vm}");
    }

    let target = TargetStandin::start(TargetConfig::default()).await?;
    deployment.fleet.add(NodeSpec {
        vm: "cashier-9".to_owned(),
        service: "cashier".to_owned(),
        data_centre: "a".to_owned(),
        target: target.addr(),
    })?;
    deployment.platform.set_vms(deployment.fleet.vm_entries())?;
    deployment.fleet.start("cashier-9")?;
    deployment.fleet.wait_ready("cashier-9").await?;
    assert_eq!(deployment.versions_in_force("cashier-9")?, [newest]);
    for vm in &vms {
        let versions = deployment.versions_in_force(vm)?;
        let starts: Vec<&u64> = versions.iter().filter(|known| **known == newest).collect();
        assert_eq!(starts.len(), 2, "{vm}: {versions:?}");
    }
    deployment.assert_versions_never_decrease()
}

#[tokio::test]
async fn a_resumed_node_catches_up_without_spreading_its_old_version() -> Result<()> {
    // A node, which is one of two readers of its data centre, is paused during two
    // edits. It resumes with version 1 in force, announces that version to its peers,
    // and gets the newest one from them.
    let mut deployment = start(5).await?;
    let vms = deployment.fleet.names();
    let paused = vms[0].clone();
    deployment.fleet.pause(&paused)?;
    let awake: Vec<String> = vms[1..].to_vec();
    for deadline_ms in [12_000, 13_000] {
        let changed_at = Instant::now();
        let version = deployment.platform.set_text(&text(deadline_ms))?;
        let took = deployment
            .wait_in_force(&awake, version, changed_at)
            .await?;
        assert!(took < MAX_DELAY, "{took:?} beside a paused node");
    }
    let woken_at = Instant::now();
    deployment.fleet.resume(&paused)?;
    let took = deployment.wait_in_force(&vms, 3, woken_at).await?;
    println!("a resumed node has the newest text in force after {took:?}");
    assert!(took < MAX_DELAY, "{took:?}");
    deployment.assert_versions_never_decrease()
}

#[tokio::test]
async fn a_partition_that_heals_ends_with_the_newer_text_on_both_sides() -> Result<()> {
    // Each side has its own platform, text and members, and serves calls. The far
    // side's platform is stale and remains so after the sides can reach each other.
    // Then the far side gets the newer text from the near side, and the near side
    // never applies the far side's older text.
    let near = Deployment::prepare(members(3)).await?;
    let far_members = vec![
        Member::new("far-1", "cashier").in_data_centre("a"),
        Member::new("far-2", "cashier").in_data_centre("b"),
    ];
    let deployment = near.fleet.deployment().to_owned();
    let far = Deployment::prepare_with(far_members, |config| config.deployment = deployment);
    let far = far.await?;
    near.platform.set_text_version(&text(12_000), 9)?;
    far.platform.set_text_version(&text(10_000), 5)?;
    let (mut near, mut far) = (near, far);
    near.start_nodes().await?;
    far.start_nodes().await?;
    let (near_vms, far_vms) = (near.fleet.names(), far.fleet.names());
    near.wait_in_force(&near_vms, 9, Instant::now()).await?;
    far.wait_in_force(&far_vms, 5, Instant::now()).await?;
    assert_serving(&far, &far_vms, "parted").await?;

    let mut all = near.fleet.vm_entries();
    all.append(&mut far.fleet.vm_entries());
    let healed_at = Instant::now();
    near.platform.set_vms(all.clone())?;
    far.platform.set_vms(all)?;
    let took = far.wait_in_force(&far_vms, 9, healed_at).await?;
    println!("the far side of a partition has the newer text {took:?} after it heals");
    assert!(took < MAX_DELAY, "{took:?}");
    near.wait_in_force(&near_vms, 9, healed_at).await?;
    near.assert_versions_never_decrease()?;
    far.assert_versions_never_decrease()
}

#[tokio::test]
async fn a_faulty_text_is_rejected_whole_and_its_reason_is_shown_everywhere() -> Result<()> {
    // An edit of the operator has a valid change and a mistake. Nothing of it comes
    // into force; every node's status names the version, the line and the reason. The
    // next valid text comes into force as usual.
    let deployment = start(5).await?;
    let vms = deployment.fleet.names();
    let good = text(12_000);
    let bad = good.replace("\"idempotent\": false", "\"idempotent\": \"no\"");
    ensure!(bad != good, "the mistake is not in the text");
    let line = bad
        .lines()
        .position(|line| line.contains("\"no\""))
        .unwrap_or(0)
        + 1;
    let refused = deployment.platform.set_text(&bad)?;
    for vm in &vms {
        let status = deployment.wait_status(vm, "rejects the text", |status| {
            let known = status.config.refused.as_ref();
            known.is_some_and(|known| known.version.0 == refused)
        });
        let config = status.await?.config;
        assert_eq!(config.in_force.map(|version| version.0), Some(1), "{vm}");
        let reason = config.refused.map(|known| known.reason).unwrap_or_default();
        let place = format!("line {line}, ");
        assert!(
            reason.contains(&place) && reason.contains("idempotent"),
            "{vm}: {reason}"
        );
    }
    assert_serving(&deployment, &vms, "refused").await?;
    let changed_at = Instant::now();
    let version = deployment.platform.set_text(&good)?;
    let took = deployment.wait_in_force(&vms, version, changed_at).await?;
    assert!(took < MAX_DELAY, "{took:?}");
    for vm in &vms {
        assert!(
            !deployment.versions_in_force(vm)?.contains(&refused),
            "{vm}"
        );
    }
    deployment.assert_versions_never_decrease()
}

/// A text of almost a megabyte, filled up with services.
fn large_text(deadline_ms: u64) -> String {
    const LARGE_BYTES: usize = 960_000;
    let mut large = text(deadline_ms);
    let end = large.rfind("  },").expect("the text ends its services");
    let mut services = String::new();
    let mut number = 0;
    while end + services.len() < LARGE_BYTES {
        services.push_str(&format!("    \"extra-{number}\": {{ \"calls\": [\n"));
        for call in 0..8 {
            services.push_str(&format!(
                "      {{ \"name\": \"call-{call}\", \"match\": \"POST /path/number/{call}\", \"idempotent\": false }},\n"
            ));
        }
        services.push_str("    ] },\n");
        number += 1;
    }
    large.insert_str(end, &services);
    large
}

#[tokio::test]
async fn a_text_of_a_megabyte_is_in_force_within_seconds() -> Result<()> {
    // The text grows to nearly the platform's size limit. Readers fetch the whole
    // text, check it and send each node the parts that it needs.
    let deployment = start(6).await?;
    let vms = deployment.fleet.names();
    let large = large_text(12_000);
    // The bound depends on how fast this build checks the text on this machine.
    let check_at = Instant::now();
    ensure!(
        hornbeamhitch_text::check(&large).is_ok(),
        "the text has faults"
    );
    let bound = MAX_DELAY + LARGE_TEXT_CHECKS * check_at.elapsed();
    let changed_at = Instant::now();
    let version = deployment.platform.set_text(&large)?;
    let took = deployment.wait_in_force(&vms, version, changed_at).await?;
    println!(
        "a text of {} bytes is in force after {took:?}, {bound:?} allowed",
        large.len()
    );
    assert!(took < bound, "{took:?}, {bound:?} allowed");
    assert_serving(&deployment, &vms, "large").await?;
    deployment.assert_versions_never_decrease()
}

#[tokio::test]
async fn two_quick_edits_end_with_the_later_one_everywhere() -> Result<()> {
    // Two operators publish at almost the same time. Some readers read the first text
    // and some only the second, and announcements of both cross. Every node ends with
    // the second text, whatever it read before.
    let deployment = start(6).await?;
    let vms = deployment.fleet.names();
    let mut newest = 1;
    for round in 0..5 {
        let changed_at = Instant::now();
        let first = deployment.platform.set_text(&text(12_000 + round))?;
        // From no delay to one in which the first text starts to spread.
        tokio::time::sleep(Duration::from_millis(round * 3)).await;
        newest = deployment.platform.set_text(&text(13_000 + round))?;
        ensure!(newest == first + 1, "versions go up by one");
        let took = deployment.wait_in_force(&vms, newest, changed_at).await?;
        println!("two edits {} ms apart: {took:?}", round * 3);
        assert!(took < MAX_DELAY, "{took:?}");
    }
    for vm in &vms {
        assert_eq!(
            deployment.versions_in_force(vm)?.last(),
            Some(&newest),
            "{vm}"
        );
    }
    deployment.assert_versions_never_decrease()
}

#[tokio::test]
async fn an_edit_under_load_fails_no_call() -> Result<()> {
    // The deadline changes three times while calls run. Each call ends under the
    // configuration under which it began.
    let deployment = start(3).await?;
    let vms = deployment.fleet.names();
    let traffic = Traffic::start(&deployment.fleet.entries(), 6);
    for deadline_ms in [12_000, 13_000, 14_000] {
        traffic.wait_answered(40).await?;
        let changed_at = Instant::now();
        let version = deployment.platform.set_text(&text(deadline_ms))?;
        deployment.wait_in_force(&vms, version, changed_at).await?;
    }
    let served = traffic.stop().await?;
    assert!(served.failures.is_empty(), "{:#?}", served.failures);
    deployment.assert_versions_never_decrease()
}
