//! Calls that wait for the gate's decisions, and their release.

use std::collections::HashMap;

use hornbeamhitch_core::gate::{Gate, RunEnd, RunId, Settlement, Wake};
use hornbeamhitch_core::prelude::*;
use tokio::sync::oneshot;

/// The gate's decision about a queued call.
#[derive(Debug)]
pub(super) enum Release {
    Start,
    Refused(Refusal),
}

#[derive(Debug, Default)]
pub(super) struct Waiting {
    /// Calls in the gate's queue, by run.
    pub(super) queued: HashMap<RunId, oneshot::Sender<Release>>,
    /// Arrivals that wait for a key's settlement, by run.
    joined: HashMap<RunId, Vec<oneshot::Sender<Settlement>>>,
}

impl Waiting {
    pub(super) fn join(&mut self, run: RunId) -> oneshot::Receiver<Settlement> {
        let (sender, settled) = oneshot::channel();
        self.joined.entry(run).or_default().push(sender);
        settled
    }

    pub(super) fn settle(&mut self, run: RunId, settlement: &Settlement) {
        for joined in self.joined.remove(&run).unwrap_or_default() {
            // A closed receiver means that its caller has left and needs no
            // answer.
            let _ = joined.send(settlement.clone());
        }
    }
}

/// Delivers the gate's decisions to the waiting calls. A run whose caller has
/// left at the same moment is ended at once, which may release further calls,
/// hence the loop.
pub(super) fn release(gate: &mut Gate, waiting: &mut Waiting, wakes: Vec<Wake>, now: Millis) {
    let mut pending = wakes;
    while let Some(wake) = pending.pop() {
        match wake {
            Wake::Start(run) => {
                let queued = waiting.queued.remove(&run);
                let is_taken = queued.is_some_and(|call| call.send(Release::Start).is_ok());
                if !is_taken {
                    pending.extend(gate.finish(run, RunEnd::NotRun, 0, now));
                }
            }
            Wake::Refuse(run, refusal) => {
                if let Some(call) = waiting.queued.remove(&run) {
                    let _ = call.send(Release::Refused(refusal));
                }
                waiting.settle(run, &Settlement::Refused(refusal));
            }
            Wake::Settled(run, settlement) => waiting.settle(run, &settlement),
        }
    }
}
