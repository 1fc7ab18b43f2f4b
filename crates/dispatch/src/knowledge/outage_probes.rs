//! Chooses which nodes probe the source while the nodes that usually read it cannot.
//!
//! A source may reject some nodes and serve the others, and all readers and reserves may be
//! among the rejected ones. To the others this looks like an outage of the whole source. If
//! all of them probed it, an outage would cost the calls of a whole fleet each time. So a few
//! nodes probe, drawn at random, then twice as many, and so on until one succeeds, which the
//! others learn from it. All steps end before the known state is older than it may become.
//!
//! In a fleet of up to [`MAX_PROBES`] nodes, each node has probed by the last step. In a
//! larger one this many have: if the source serves one node in ten, the probability that all of
//! them are rejected is below one in 100,000.

use crate::knowledge::waits::{OUTAGE_PROBE_STEPS, Waits};
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Number of steps in each further round. When all probes of the first round have failed, the
/// source is most likely unavailable to everyone, and readers and reserves notice its return.
const LATER_STEPS: u32 = 2;
/// Mean number of probes in the first step.
const FIRST_PROBES: u64 = 4;
/// Mean number of probes in all steps of the first round.
pub const MAX_PROBES: u64 = FIRST_PROBES * ((1 << OUTAGE_PROBE_STEPS) - 1);

/// When a node probes the source during an outage of its readers.
///
/// There is one round in each period in which changes must be in force, counted from the last
/// time as of which the state is complete.
#[derive(Debug, Default)]
pub struct OutageProbes {
    /// Age of the state at the last call.
    last_age_ms: Millis,
    round: Option<u64>,
    /// Age at which this node probes in this round; `None` if it does not or has done so.
    due_age_ms: Option<Millis>,
}

impl OutageProbes {
    /// Returns the age of the state at which this node probes the source next, or `None` if
    /// it does not in this round.
    ///
    /// `draw` is a random number, which is used once a round.
    pub fn due_age_ms(
        &mut self,
        age_ms: Millis,
        nodes: usize,
        waits: &Waits,
        draw: impl FnOnce() -> u64,
    ) -> Option<Millis> {
        let round = age_ms.0 / waits.in_force_ms().0.max(1);
        let is_renewed = age_ms < self.last_age_ms;
        self.last_age_ms = age_ms;
        if is_renewed || self.round != Some(round) {
            self.round = Some(round);
            let step = step_of(draw(), nodes, round);
            let start_ms = Millis(round * waits.in_force_ms().0);
            self.due_age_ms = step.map(|step| start_ms + waits.outage_probe_age_ms(step));
        }
        self.due_age_ms
    }

    /// Records that this node has probed the source.
    pub const fn note_probed(&mut self) {
        self.due_age_ms = None;
    }
}

/// Returns the step in which a node with this random number probes.
fn step_of(draw: u64, nodes: usize, round: u64) -> Option<u32> {
    let steps = match round {
        0 => OUTAGE_PROBE_STEPS,
        _ => LATER_STEPS,
    };
    // Equally likely for each place among the nodes.
    let place = draw % u64::try_from(nodes.max(1)).unwrap_or(u64::MAX);
    (0..steps).find(|step| place < FIRST_PROBES * ((1 << (step + 1)) - 1))
}
