//! Cost of VM list changes when a VM, a rack or a data centre is lost.

use serde::Serialize;

use crate::capacity::fleet::{Calls, Fleet};
use crate::capacity::layout::Layout;
use crate::prelude::*;

const COLD_START_LIMIT: Millis = Millis::from_secs(60);
const SETTLE: Millis = Millis::from_secs(30);
const SPREAD_LIMIT: Millis = Millis::from_secs(120);

/// VMs that are lost at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Loss {
    /// No VM, for comparison over the same time.
    Nothing,
    /// One VM.
    Vm,
    /// This number of VMs, each of another service.
    Rack(usize),
    /// All VMs of one data centre.
    DataCentre,
}

/// Cost of a loss.
#[derive(Clone, Debug, Serialize)]
pub struct LossFigures {
    /// The loss.
    pub loss: Loss,
    /// Number of lost VMs.
    pub vms: usize,
    /// Number of remaining nodes.
    pub nodes: usize,
    /// Time until every remaining node had the newer VM list.
    pub known_after: Millis,
    /// Mean number of bytes that a node sent and received in the 30 s after the loss.
    pub mean_bytes: f64,
    /// Number of those bytes for the node with the most.
    pub worst_bytes: u64,
    /// Number of bulk requests of all nodes in that time.
    pub pulls: u64,
}

/// Measures the cost of a loss in a running fleet.
#[must_use]
pub fn measure(layout: &Layout, loss: Loss) -> LossFigures {
    let mut fleet = Fleet::start(layout, Calls::None);
    fleet.run_until(COLD_START_LIMIT, |fleet| fleet.all_at(1));
    fleet.report_loads();
    fleet.run(SETTLE);
    let lost = lost_vms(layout, loss);
    for index in &lost {
        fleet.kill(*index);
    }
    let before = totals(&fleet);
    if !lost.is_empty() {
        let all = layout.vms();
        fleet.publish_vms(|vms| {
            vms.retain(|entry| !lost.iter().any(|index| all[*index].vm == entry.vm));
        });
    }
    let started_at = fleet.now();
    let wanted = if lost.is_empty() { 1 } else { 2 };
    fleet.run_until(SPREAD_LIMIT, |fleet| {
        let alive = fleet.alive();
        alive
            .iter()
            .all(|index| fleet.status(*index).list_version.0 >= wanted)
    });
    let known_after = fleet.now().since(started_at);
    fleet.run(SETTLE.minus(known_after));
    let after = totals(&fleet);
    let (mut sum, mut worst, mut pulls) = (0, 0, 0);
    for (old, new) in before.iter().zip(&after) {
        sum += new.0 - old.0;
        worst = worst.max(new.0 - old.0);
        pulls += new.1 - old.1;
    }
    LossFigures {
        loss,
        vms: lost.len(),
        nodes: after.len(),
        known_after,
        mean_bytes: sum as f64 / after.len() as f64,
        worst_bytes: worst,
        pulls,
    }
}

fn lost_vms(layout: &Layout, loss: Loss) -> Vec<usize> {
    let vms = layout.vms();
    let mut lost = Vec::new();
    match loss {
        Loss::Nothing => {}
        Loss::Vm => lost.push(0),
        Loss::Rack(count) => {
            let mut first = 0;
            for service in layout.services.iter().take(count) {
                lost.push(first);
                first += service.targets;
            }
        }
        Loss::DataCentre => {
            for (index, entry) in vms.iter().enumerate() {
                if entry.data_centre == vms[0].data_centre {
                    lost.push(index);
                }
            }
        }
    }
    lost
}

/// Total bytes and bulk requests of every running node.
fn totals(fleet: &Fleet) -> Vec<(u64, u64)> {
    let mut totals = Vec::new();
    for index in fleet.alive() {
        let usage = fleet.usage(index);
        let counters = &usage.counters;
        let bytes = counters.datagram_bytes_out
            + counters.datagram_bytes_in
            + counters.bulk_bytes_out
            + counters.bulk_bytes_in
            + usage.platform_bytes;
        totals.push((bytes, counters.bulk_pulls));
    }
    totals
}
