//! Nodes of two deployments that can reach each other.

use eyre::Result;
use hornbeamhitch_standins::platform::{VmEntry, VmState};
use hornbeamhitch_types::prelude::*;

use crate::support::{CASHIER_TEXT, Deployment, Member};

const HIGH_VERSION: u64 = 50;
const FOREIGN_DATAGRAM_LOG: &str = "another deployment";

async fn start(name: &str, vm: &str, version: u64) -> Result<Deployment> {
    let members = vec![Member::new(vm, "cashier")];
    let mut deployment = Deployment::prepare_with(members, |config| {
        name.clone_into(&mut config.deployment);
    })
    .await?;
    deployment
        .platform
        .set_text_version(CASHIER_TEXT, version)?;
    deployment.start_nodes().await?;
    Ok(deployment)
}

async fn in_force(deployment: &Deployment, vm: &str) -> Result<Option<ConfigVersion>> {
    Ok(deployment.status(vm).await?.config.in_force)
}

/// Adds the address of another deployment's node to the VM list of `own`, and waits
/// until that node has logged three datagrams from `own`.
async fn list_foreign_node(own: &Deployment, other: &Deployment, vm: &str) -> Result<()> {
    let foreign_node = other.fleet.addresses(vm)?;
    let mut listed = own.fleet.vm_entries();
    listed.push(VmEntry {
        vm: "cashier-2".to_owned(),
        data_centre: "a".to_owned(),
        service: "cashier".to_owned(),
        state: VmState::Live,
        peer: foreign_node.peer,
        control: foreign_node.control,
    });
    own.platform.set_vms(listed)?;
    let has_logged = |_: &Deployment| {
        let logs = other.fleet.logs(vm).unwrap_or_default();
        logs.iter()
            .filter(|line| line.contains(FOREIGN_DATAGRAM_LOG))
            .count()
            >= 3
    };
    own.wait_until("the foreign node logs three datagrams", has_logged)
        .await
}

/// A VM's address is reassigned to another deployment while a lagging list still has
/// it, and nodes of the old deployment send datagrams to the foreign node there. The
/// foreign text has a far higher version, so a fleet that applied it could never
/// return to its own text. Both fleets must keep their own text and members.
#[tokio::test]
async fn a_fleet_that_lists_a_foreign_address_keeps_its_own_text() -> Result<()> {
    let other = start("insurers", "izplacila-1", HIGH_VERSION).await?;
    let own = start("print-office", "cashier-1", 1).await?;
    list_foreign_node(&own, &other, "izplacila-1").await?;

    assert_eq!(in_force(&own, "cashier-1").await?, Some(ConfigVersion(1)));
    let expected = Some(ConfigVersion(HIGH_VERSION));
    assert_eq!(in_force(&other, "izplacila-1").await?, expected);
    let status = other.status("izplacila-1").await?;
    for service in &status.services {
        let foreign_targets = service.targets.iter();
        let foreign_targets = foreign_targets.filter(|target| target.vm.as_str() == "cashier-1");
        assert_eq!(foreign_targets.count(), 0, "{service:?}");
    }
    Ok(())
}

/// Two tests run on one machine, each with its own fleet. A port that one fleet
/// released is reused by the other, whose node then gets datagrams from a node with
/// its own VM name and another incarnation. It must keep its own text and accept work:
/// a node that trusted these datagrams would stop, as if a later incarnation had
/// replaced it.
#[tokio::test]
async fn fleets_of_two_tests_ignore_one_another() -> Result<()> {
    let members = || vec![Member::new("cashier-1", "cashier")];
    let other = Deployment::start(CASHIER_TEXT, members()).await?;
    let own = Deployment::start(CASHIER_TEXT, members()).await?;
    list_foreign_node(&own, &other, "cashier-1").await?;

    for deployment in [&own, &other] {
        assert!(!deployment.status("cashier-1").await?.superseded);
    }
    Ok(())
}
