//! Cost of the control half of one node by the size of its service and the number of
//! its dependencies.

use serde::Serialize;

use crate::capacity::fleet::{Calls, Fleet, NodeUsage};
use crate::capacity::layout::Layout;
use crate::capacity::memory::held_bytes;
use crate::prelude::*;

const COLD_START_LIMIT: Millis = Millis::from_secs(60);
/// Interval between edits of the text: 60,000 edits a day.
const EDIT_EVERY: Millis = Millis(1_440);
/// Number of nodes among which a node that does not read the platform is searched.
const MAX_MEMBERS_TRIED: usize = 40;

/// A case of the control measurement.
#[derive(Clone, Debug)]
pub struct ControlCase {
    /// Name in the tables.
    pub name: String,
    /// Deployment of the fleet. A node of its first service is measured.
    pub layout: Layout,
    /// Calls of nodes to the services that they depend on.
    pub calls: Calls,
    /// Whether the text is edited at the usual rate.
    pub edited: bool,
    /// Time before the measurement, in seconds.
    pub settle_s: u64,
    /// Length of the measurement, in seconds.
    pub measure_s: u64,
}

/// Cost of one node per second.
#[derive(Clone, Debug, Serialize)]
pub struct ControlFigures {
    /// Name of the case.
    pub name: String,
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Number of targets that the node knows, including its own.
    pub known_targets: usize,
    /// Number of those targets that are doubtful.
    pub doubtful_targets: usize,
    /// Datagrams sent per second.
    pub datagrams_out_per_s: f64,
    /// Datagrams received per second.
    pub datagrams_in_per_s: f64,
    /// Bytes sent per second, including bulk messages.
    pub bytes_out_per_s: f64,
    /// Bytes received per second, including bulk messages and platform reads.
    pub bytes_in_per_s: f64,
    /// Bulk requests sent per second.
    pub pulls_per_s: f64,
    /// Probes sent per second.
    pub probes_per_s: f64,
    /// Route tables published per second.
    pub tables_per_s: f64,
    /// Processor time per second, in microseconds.
    pub processor_us_per_s: f64,
    /// Memory of the control half and the route table.
    pub memory_bytes: u64,
}

impl ControlFigures {
    /// Bytes sent and received per second.
    #[must_use]
    pub fn bytes_per_s(&self) -> f64 {
        self.bytes_out_per_s + self.bytes_in_per_s
    }
}

/// Runs a case and measures one node.
#[must_use]
pub fn measure(case: &ControlCase) -> ControlFigures {
    let mut fleet = Fleet::start(&case.layout, case.calls);
    fleet.run_until(COLD_START_LIMIT, |fleet| fleet.all_at(1));
    fleet.report_loads();
    fleet.run(Millis::from_secs(case.settle_s));
    let index = first_non_reader(&fleet);
    fleet.measure_node(index);
    let before = fleet.usage(index);
    let measured = Millis::from_secs(case.measure_s);
    if case.edited {
        run_with_edits(&mut fleet, &case.layout, measured);
    } else {
        fleet.run(measured);
    }
    let after = fleet.usage(index);
    let (mut known_targets, mut doubtful_targets) = (0, 0);
    for view in fleet.node(index).table().services.values() {
        known_targets += view.targets.len();
        let doubtful = view.targets.iter().filter(|target| target.doubtful);
        doubtful_targets += doubtful.count();
    }
    let mut figures = rates(&before, &after, case.measure_s as f64);
    figures.name.clone_from(&case.name);
    figures.nodes = fleet.alive().len();
    figures.known_targets = known_targets;
    figures.doubtful_targets = doubtful_targets;
    figures.memory_bytes = held_bytes(fleet.remove_node(index));
    figures
}

fn run_with_edits(fleet: &mut Fleet, layout: &Layout, span: Millis) {
    let end = fleet.now() + span;
    let mut edits = 0;
    while fleet.now() < end {
        edits += 1;
        fleet.publish_text(&layout.text(edits));
        fleet.run(EDIT_EVERY.min(end.minus(fleet.now())));
    }
}

/// Index of the first node that does not read the platform, or 0 if there is none among
/// the first [`MAX_MEMBERS_TRIED`].
fn first_non_reader(fleet: &Fleet) -> usize {
    for index in 0..MAX_MEMBERS_TRIED.min(fleet.alive().len()) {
        if !fleet.status(index).reading {
            return index;
        }
    }
    0
}

/// Usage per second between two measurements of the same node.
#[must_use]
pub fn rates(before: &NodeUsage, after: &NodeUsage, seconds: f64) -> ControlFigures {
    let (old, new) = (&before.counters, &after.counters);
    let rate = |old: u64, new: u64| (new - old) as f64 / seconds;
    let platform = rate(before.platform_bytes, after.platform_bytes);
    ControlFigures {
        name: String::new(),
        nodes: 0,
        known_targets: 0,
        doubtful_targets: 0,
        datagrams_out_per_s: rate(old.datagrams_out, new.datagrams_out),
        datagrams_in_per_s: rate(old.datagrams_in, new.datagrams_in),
        bytes_out_per_s: rate(
            old.datagram_bytes_out + old.bulk_bytes_out,
            new.datagram_bytes_out + new.bulk_bytes_out,
        ),
        bytes_in_per_s: platform
            + rate(
                old.datagram_bytes_in + old.bulk_bytes_in,
                new.datagram_bytes_in + new.bulk_bytes_in,
            ),
        pulls_per_s: rate(old.bulk_pulls, new.bulk_pulls),
        probes_per_s: rate(old.probes_sent, new.probes_sent),
        tables_per_s: rate(old.tables_published, new.tables_published),
        processor_us_per_s: rate(before.processor_ns, after.processor_ns) / 1e3,
        memory_bytes: 0,
    }
}

/// Returns the cases; `quick` selects only the small ones.
#[must_use]
pub fn cases(quick: bool) -> Vec<ControlCase> {
    let mut cases = Vec::new();
    let sizes: &[usize] = if quick {
        &[3, 50]
    } else {
        &[3, 10, 50, 100, 200, 500]
    };
    let callees: &[usize] = if quick { &[0, 5] } else { &[0, 5, 20] };
    for count in callees {
        for targets in sizes {
            cases.push(ControlCase {
                name: format!("service of {targets}, {count} callees of 36"),
                layout: Layout::caller_and_callees(*targets, *count, 36),
                calls: Calls::None,
                edited: false,
                settle_s: 20,
                measure_s: 30,
            });
        }
    }
    for (targets, count) in [(50, 5), (50, 20), (500, 20)] {
        if quick && targets * count > 250 {
            continue;
        }
        cases.push(ControlCase {
            name: format!("the same with calls and edits, {targets} and {count}"),
            layout: Layout::caller_and_callees(targets, count, 36),
            calls: Calls::EveryTarget,
            edited: true,
            settle_s: 20,
            measure_s: 30,
        });
    }
    let callers: &[usize] = if quick { &[1, 5] } else { &[1, 5, 10, 30] };
    for count in callers {
        for calls in [Calls::None, Calls::Seldom] {
            let suffix = if calls == Calls::None { "" } else { ", seldom" };
            cases.push(ControlCase {
                name: format!("service of 3, called by {count} of 36{suffix}"),
                layout: Layout::callers_of_one(3, *count, 36),
                calls,
                edited: false,
                settle_s: 20,
                measure_s: 30,
            });
        }
    }
    cases
}
