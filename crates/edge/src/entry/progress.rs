//! Attempts of one call and what is heard of them.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeamhitch_dispatch::order::Candidate;
use tokio::sync::mpsc;

use super::Entry;
use crate::gate::{CallContent, EventSink, GateRequest, Wanted, WholeCall};
use crate::link::{LinkEvent, OutgoingCall, PendingRequest};
use crate::prelude::*;

/// An event of an attempt, with the attempt's number within its call.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) attempt: usize,
    pub(super) event: LinkEvent,
}

/// Keeps an attempt going; dropped, it is withdrawn.
#[derive(Debug)]
pub(super) enum Hold {
    Local(#[expect(dead_code, reason = "its drop is the signal")] Wanted),
    Link(#[expect(dead_code, reason = "its drop is the signal")] PendingRequest),
}

/// One send of a call to a gate.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) member: Arc<Member>,
    pub(super) key: CallKey,
    /// When the target began, and how slow it was just before.
    pub(super) started: Option<(Millis, u32)>,
    /// The life of the gate to which it was sent and from which no word came.
    pub(super) lost_to: Option<Incarnation>,
    /// `None` once it has ended.
    pub(super) hold: Option<Hold>,
}

/// Sends a request to the gate of a candidate: in this process when the target
/// is this VM's own, else over a link.
pub(super) fn open(
    entry: &Entry,
    candidate: &Candidate,
    call: OutgoingCall,
    attempt: usize,
    events: &mpsc::UnboundedSender<Progress>,
) -> Hold {
    let events = events.clone();
    if candidate.member.address == entry.listed_address {
        let incarnation = entry.incarnation;
        let sink: EventSink = Box::new(move |event| {
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
        return Hold::Local(entry.gate.submit(request, sink));
    }
    let gate = gate_address(entry, &candidate.member);
    let sink = Box::new(move |event| {
        let _ = events.send(Progress { attempt, event });
    });
    Hold::Link(entry.links.call(gate, call, sink))
}

/// Asks the gate of an attempt what became of it.
pub(super) fn ask(
    entry: &Entry,
    attempt: &Attempt,
    number: usize,
    events: &mpsc::UnboundedSender<Progress>,
) -> Hold {
    let gate = gate_address(entry, &attempt.member);
    let events = events.clone();
    let sink = Box::new(move |event| {
        let attempt = number;
        let _ = events.send(Progress { attempt, event });
    });
    Hold::Link(entry.links.fence(gate, attempt.key, sink))
}

fn gate_address(entry: &Entry, member: &Member) -> SocketAddr {
    SocketAddr::new(member.vm_ip(), entry.gate_port)
}
