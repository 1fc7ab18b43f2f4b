//! Cost of a platform reader by the size of the text, and the time until an edit is in
//! force.

use serde::Serialize;

use crate::capacity::control::{ControlFigures, rates};
use crate::capacity::fleet::{Calls, Fleet};
use crate::capacity::layout::Layout;
use crate::capacity::memory::held_bytes;
use crate::prelude::*;

const COLD_START_LIMIT: Millis = Millis::from_secs(60);
const SETTLE: Millis = Millis::from_secs(30);
const EDIT_EVERY: Millis = Millis(1_440);

/// A case of the reader measurement.
#[derive(Clone, Debug)]
pub struct ReaderCase {
    /// Name in the tables.
    pub name: String,
    /// Deployment of the fleet.
    pub layout: Layout,
    /// Number of edits, which are published every 1.44 s.
    pub edits: u64,
}

/// Cost of reading the platform.
#[derive(Clone, Debug, Serialize)]
pub struct ReaderFigures {
    /// Name of the case.
    pub name: String,
    /// Length of the text in bytes.
    pub text_bytes: usize,
    /// Number of readers in all data centres.
    pub readers: usize,
    /// Platform reads of all readers per second.
    pub platform_reads_per_s: f64,
    /// Bytes of platform bodies that one reader receives per second.
    pub platform_bytes_per_s: f64,
    /// Cost of one reader.
    pub reader: ControlFigures,
    /// Median time until an edit is in force, over all nodes and edits.
    pub in_force_p50: Millis,
    /// 99th percentile of that time.
    pub in_force_p99: Millis,
    /// Longest time until an edit is in force on the last node.
    pub in_force_last: Millis,
}

/// Runs a case and measures one reader.
#[must_use]
pub fn measure(case: &ReaderCase) -> ReaderFigures {
    let mut fleet = Fleet::start(&case.layout, Calls::None);
    fleet.run_until(COLD_START_LIMIT, |fleet| fleet.all_at(1));
    fleet.run(SETTLE);
    let readers = fleet.readers();
    let measured_node = readers[0];
    fleet.measure_node(measured_node);
    let before = fleet.usage(measured_node);
    let reads_before = fleet.platform_reads();
    let started_at = fleet.now();
    let mut published = Vec::new();
    for edit in 1..=case.edits {
        let version = fleet.publish_text(&case.layout.text(edit));
        published.push((version, fleet.now()));
        fleet.run(EDIT_EVERY);
    }
    let seconds = fleet.now().since(started_at).0 as f64 / 1e3;
    let after = fleet.usage(measured_node);
    let reads = fleet.platform_reads() - reads_before;
    let (last, _) = published[published.len() - 1];
    fleet.run_until(COLD_START_LIMIT, |fleet| fleet.all_at(last));
    let mut times = Vec::new();
    for (version, at) in published {
        for reached in fleet.reached(version) {
            times.push(reached.since(at));
        }
    }
    times.sort();
    let mut reader = rates(&before, &after, seconds);
    reader.name.clone_from(&case.name);
    reader.nodes = fleet.alive().len();
    reader.memory_bytes = held_bytes(fleet.remove_node(measured_node));
    ReaderFigures {
        name: case.name.clone(),
        text_bytes: case.layout.text(0).len(),
        readers: readers.len(),
        platform_reads_per_s: reads as f64 / seconds,
        platform_bytes_per_s: (after.platform_bytes - before.platform_bytes) as f64 / seconds,
        reader,
        in_force_p50: times[times.len() / 2],
        in_force_p99: times[(times.len() - 1) * 99 / 100],
        in_force_last: times[times.len() - 1],
    }
}

/// Returns the cases; `quick` selects only the smallest one.
#[must_use]
pub fn cases(quick: bool) -> Vec<ReaderCase> {
    let mut cases = Vec::new();
    let mut add = |services: usize, targets: usize, data_centres: usize, comment_chars: usize| {
        let mut layout = Layout::equal(services, targets);
        layout.data_centres = data_centres;
        layout.comment_chars = comment_chars;
        let text_kb = layout.text(0).len() / 1_000;
        cases.push(ReaderCase {
            name: format!("{services} services, {data_centres} data centres, text of {text_kb} kB"),
            layout,
            edits: if quick { 20 } else { 100 },
        });
    };
    add(44, 3, 3, 0);
    if quick {
        return cases;
    }
    add(440, 2, 2, 0);
    add(440, 2, 2, 710);
    add(440, 2, 2, 1_990);
    add(440, 2, 18, 710);
    cases
}
