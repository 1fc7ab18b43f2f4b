//! The attempts of one call and the events that they report.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeamhitch_dispatch::faults::silence::Confirmation;
use hornbeamhitch_dispatch::placement::order::Candidate;
use tokio::sync::mpsc;

use super::Entry;
use crate::gate::{CallContent, CallGuard, EventSink, GateEvent, GateRequest, WholeCall};
use crate::link::{LinkEvent, OutgoingCall, PendingRequest};
use crate::prelude::*;

/// An event of an attempt.
#[derive(Debug)]
pub(super) struct Progress {
    /// Index of the attempt within its call.
    pub(super) attempt: usize,
    pub(super) event: LinkEvent,
}

/// Keeps an attempt alive; dropping it cancels the attempt.
#[derive(Debug)]
pub(super) enum AttemptGuard {
    Local(#[expect(dead_code, reason = "its drop is the signal")] CallGuard),
    Link(PendingRequest),
}

impl AttemptGuard {
    /// Returns the request to another VM's gate; `None` for this VM's own.
    pub(super) const fn request(&self) -> Option<&PendingRequest> {
        match self {
            Self::Local(_) => None,
            Self::Link(request) => Some(request),
        }
    }
}

/// One attempt of a call at the gate of one target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) member: Arc<Member>,
    pub(super) key: CallKey,
    /// When the attempt was sent.
    pub(super) sent_at: Millis,
    /// When its gate must have confirmed it; `None` once it has, and if it need not.
    pub(super) confirmation: Option<Confirmation>,
    /// Whether the attempt counts as an arrival at its target.
    pub(super) is_counted: bool,
    /// When the target started the call, and its slowness just before, in percent of
    /// its usual time; `None` until it has started.
    pub(super) started: Option<(Millis, u32)>,
    /// Incarnation of the gate whose link broke during the attempt. The entry then
    /// asks the gate for the outcome; only this incarnation knows it.
    pub(super) lost_incarnation: Option<Incarnation>,
    /// `None` once the attempt has ended.
    pub(super) guard: Option<AttemptGuard>,
}

/// Starts an attempt at the gate of a candidate: within the process if the target
/// is this VM's own, otherwise over a link.
pub(super) fn start_attempt(
    entry: &Entry,
    candidate: &Candidate,
    call: OutgoingCall,
    attempt: usize,
    events: &mpsc::UnboundedSender<Progress>,
) -> AttemptGuard {
    let events = events.clone();
    if candidate.member.address == entry.listed_address {
        let incarnation = entry.incarnation;
        let load = Arc::clone(&entry.own_load);
        if call.wants_load {
            load.note_demand(&call.demand.unwrap_or_default());
        }
        let sink: EventSink = Box::new(move |event| {
            if let Some(load) = load.due_before(&event) {
                let event = LinkEvent::Gate(GateEvent::Load(load), incarnation);
                let _ = events.send(Progress { attempt, event });
            }
            let event = LinkEvent::Gate(event, incarnation);
            let _ = events.send(Progress { attempt, event });
        });
        let request = GateRequest {
            terms: call.terms,
            content: CallContent::Whole(WholeCall {
                head: call.head,
                body: call.body,
            }),
        };
        return AttemptGuard::Local(entry.gate.submit(request, sink));
    }
    let gate = gate_address(entry, &candidate.member);
    let sink = Box::new(move |event| {
        let _ = events.send(Progress { attempt, event });
    });
    AttemptGuard::Link(entry.links.call(gate, call, sink))
}

/// Asks the gate of an attempt for its outcome after the link broke. A call that
/// has not started there is fenced and never will.
pub(super) fn query_outcome(
    entry: &Entry,
    attempt: &Attempt,
    number: usize,
    events: &mpsc::UnboundedSender<Progress>,
) -> AttemptGuard {
    let gate = gate_address(entry, &attempt.member);
    let events = events.clone();
    let sink = Box::new(move |event| {
        let attempt = number;
        let _ = events.send(Progress { attempt, event });
    });
    AttemptGuard::Link(entry.links.fence(gate, attempt.key, sink))
}

fn gate_address(entry: &Entry, member: &Member) -> SocketAddr {
    SocketAddr::new(member.vm_ip(), entry.gate_port)
}
