//! The event queue of a run, with a deterministic order.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::case::Fault;
use crate::time::Micros;

/// Index of a call in [`World`](crate::world::World).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallIndex(pub(crate) usize);

/// Index of an attempt in [`World`](crate::world::World).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptIndex(pub(crate) usize);

/// Identifies a host by its service and its index within the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HostId {
    pub(crate) service: usize,
    pub(crate) target: usize,
}

/// An event at a point of virtual time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// The next new call of the open-loop workload arrives.
    NewCall,
    /// A call reaches its entry, after network delay and the caller's wait.
    CallAtEntry(CallIndex),
    /// An attempt reaches its gate.
    AttemptAtGate(AttemptIndex),
    /// The target finishes the work of a run, unless it was frozen in the meantime.
    WorkDone(HostId, AttemptIndex),
    /// The end of an attempt reaches its entry.
    EndAtEntry(AttemptIndex),
    /// The cancellation of an attempt reaches its gate.
    CancelAtGate(AttemptIndex),
    /// The hedging delay of a call is over.
    HedgeDue(CallIndex),
    /// The deadline of a call is reached at its entry.
    DeadlineAt(CallIndex),
    /// Every gate ticks.
    GateTick,
    /// Every host stores its load report, in cases with stale reports.
    ReportTick,
    /// A fault begins or ends.
    Fault(Fault),
    /// A noisy neighbour freezes a target.
    Stall(HostId),
    /// The entries get new views from control.
    ViewUpdate,
    /// The gates get a new set of crash suspects.
    SuspectsUpdate,
}

#[derive(Debug)]
struct Scheduled {
    at: Micros,
    /// Orders events of the same time by scheduling, so that runs are reproducible.
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// The order is reversed, because the standard heap pops its greatest element.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Events ordered by time, and by scheduling within the same microsecond.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    next_sequence: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Micros, event: Event) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Scheduled {
            at,
            sequence,
            event,
        });
    }

    pub(crate) fn next(&mut self) -> Option<(Micros, Event)> {
        let scheduled = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
