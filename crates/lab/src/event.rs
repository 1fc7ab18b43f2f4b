//! The queue of things that will happen, in exact order.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::case::Fault;
use crate::time::Micros;

/// Index of a call in the world's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallIndex(pub(crate) usize);

/// Index of an attempt in the world's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptIndex(pub(crate) usize);

/// One gate with its target, within one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HostId {
    pub(crate) service: usize,
    pub(crate) target: usize,
}

/// Something that happens at a point of virtual time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// The next new call of the open workload.
    NewCall,
    /// A call reaches its entry, after its caller's way or a wait.
    CallAtEntry(CallIndex),
    /// An attempt reaches its gate.
    AttemptAtGate(AttemptIndex),
    /// The target has done the work of a run, unless it was frozen meanwhile.
    WorkDone(HostId, AttemptIndex),
    /// An attempt's end reaches its entry.
    EndAtEntry(AttemptIndex),
    /// A cancellation reaches the gate.
    CancelAtGate(AttemptIndex),
    /// The time to consider a hedge has come.
    HedgeDue(CallIndex),
    /// The deadline of a call at its entry.
    DeadlineAt(CallIndex),
    /// Every gate looks after what it holds.
    GateTick,
    /// Every gate keeps a copy of its report, for cases with stale reports.
    ReportTick,
    /// A fault begins or ends.
    Fault(Fault),
    /// A noisy neighbour freezes one target.
    Stall(HostId),
    /// The entries hear what control has found out.
    ViewUpdate,
    /// The gates hear of suspected requests.
    SuspectsUpdate,
}

#[derive(Debug)]
struct Scheduled {
    at: Micros,
    /// Breaks ties in the order of scheduling, so that runs repeat.
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
    /// Reversed, because the standard heap gives its greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Events by time, and by order of scheduling within one microsecond.
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
