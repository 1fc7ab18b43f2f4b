//! The gate's side of links.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamhitch_dispatch::faults::silence::ReportCursor;
use hornbeamhitch_wire::link::{CallId, ToEntry, ToGate};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use super::facts::{FactsRequests, PartialFacts};
use super::framed::{
    FrameReader, LinkFault, PartialBody, forward_notices, next_part, send_known_notices,
    write_frames,
};
use crate::directory::adopt_facts;
use crate::feed::ChangeFeed;
use crate::gate::{
    CallContent, CallGuard, EventSink, Gate, GateEvent, GateRequest, LoadReports, WholeCall,
};
use crate::prelude::*;
use crate::sockets;
use crate::suspicion::Suspicion;

type Answers = mpsc::UnboundedSender<ToEntry>;
/// Open calls of one link. Dropping an element cancels its call.
type ActiveCalls = Arc<Mutex<HashMap<CallId, CallGuard>>>;

/// Accepts links for a gate.
#[derive(Debug)]
pub struct LinkServer {
    /// The gate.
    pub gate: Arc<Gate>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Requests that are suspected of crashing targets.
    pub suspicion: Arc<Suspicion>,
    /// Routes and targets in force.
    pub directory: SharedDirectory,
    /// Changes for subscribers.
    pub feed: Arc<ChangeFeed>,
    /// Requests for the state of other nodes.
    pub facts_requests: Arc<FactsRequests>,
}

/// Interval at which a node without routes requests them from a peer with a link.
///
/// A node that has just started reads the store within this time if the store is
/// available.
const REQUEST_FACTS_INTERVAL: Duration = Duration::from_millis(400);

/// A call whose head or body the entry deferred and which has not arrived whole.
struct PartialCall {
    head: Option<CallHead>,
    body: PartialBody,
    sender: oneshot::Sender<WholeCall>,
}

impl PartialCall {
    /// Whether the head and the whole body have arrived.
    fn is_complete(&self) -> bool {
        self.head.is_some() && self.body.is_complete()
    }
}

impl LinkServer {
    /// Accepts links until the process ends.
    pub async fn accept(self, listener: TcpListener) {
        sockets::accept_all(listener, "a link", |stream| self.serve(stream)).await;
    }

    fn serve(&self, stream: TcpStream) {
        let (reader, writer) = stream.into_split();
        let (answers, to_write) = mpsc::unbounded_channel();
        let hello = ToEntry::Hello {
            incarnation: self.incarnation,
        };
        let _ = answers.send(hello);
        let notices = send_known_notices(&self.suspicion, &answers, ToEntry::Crashes);
        let forwarding = forward_notices(
            Arc::clone(&self.suspicion),
            notices,
            answers.clone(),
            ToEntry::Crashes,
        );
        let requesting = request_facts(
            Arc::clone(&self.directory),
            Arc::clone(&self.facts_requests),
            answers.clone(),
        );
        let link = Link {
            gate: Arc::clone(&self.gate),
            directory: Arc::clone(&self.directory),
            suspicion: Arc::clone(&self.suspicion),
            feed: Arc::clone(&self.feed),
            answers,
            load: Arc::new(LoadReports::new(Arc::clone(&self.gate))),
            facts: PartialFacts::default(),
            facts_requests: Arc::clone(&self.facts_requests),
            active_calls: ActiveCalls::default(),
            partial: HashMap::new(),
            reported: Arc::default(),
        };
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = link.read(FrameReader::new(reader)) => ended,
                ended = write_frames(writer, to_write) => ended,
                () = forwarding => Ok(()),
                () = requesting => Ok(()),
            };
            if let Err(fault) = ended {
                log::debug!("a link ended: {fault}");
            }
        });
    }
}

/// Requests routes and targets from the peer for as long as this node knows none.
/// Does not return before the link ends.
async fn request_facts(directory: SharedDirectory, requests: Arc<FactsRequests>, answers: Answers) {
    loop {
        tokio::time::sleep(REQUEST_FACTS_INTERVAL).await;
        if directory.load().routes.is_some() {
            std::future::pending::<()>().await;
        }
        if !requests.begin(REQUEST_FACTS_INTERVAL) {
            continue;
        }
        if answers.send(ToEntry::WantsFacts).is_err() {
            return;
        }
    }
}

struct Link {
    gate: Arc<Gate>,
    directory: SharedDirectory,
    suspicion: Arc<Suspicion>,
    feed: Arc<ChangeFeed>,
    answers: Answers,
    load: Arc<LoadReports>,
    facts: PartialFacts,
    facts_requests: Arc<FactsRequests>,
    active_calls: ActiveCalls,
    partial: HashMap<CallId, PartialCall>,
    reported: Arc<Mutex<ReportCursor>>,
}

impl Link {
    /// Reads frames until the link ends, which cancels all open calls.
    async fn read(mut self, mut reader: FrameReader) -> Result<(), LinkFault> {
        loop {
            match reader.next().await? {
                ToGate::Call {
                    id,
                    terms,
                    head,
                    body_bytes,
                    body,
                } => {
                    let content = self.receive_content(id, head, body_bytes, body);
                    self.submit(id, GateRequest { terms, content });
                }
                ToGate::Offer {
                    id,
                    terms,
                    body_bytes,
                } => {
                    let content = self.expect_content(id, None, body_bytes);
                    self.submit(id, GateRequest { terms, content });
                }
                ToGate::Head { id, head } => {
                    if let Some(partial) = self.partial.get_mut(&id) {
                        partial.head = Some(head);
                        self.deliver_if_complete(id);
                    }
                }
                ToGate::Body { id, part } => {
                    if let Some(partial) = self.partial.get_mut(&id) {
                        partial.body.push(&part);
                        self.deliver_if_complete(id);
                    }
                }
                ToGate::Cancel { id } => {
                    self.partial.remove(&id);
                    self.active_calls.lock().remove(&id);
                }
                ToGate::Fence { id, key } => {
                    let sink = self.answer_sink(id, ActiveCalls::default());
                    self.gate.fence(key, sink);
                }
                ToGate::Crashes(notice) => self.suspicion.merge_notice(&notice),
                ToGate::Demand(report) => self.load.note_demand(&report),
                ToGate::Silence(report) => self.gate.silence().merge(&report),
                ToGate::Suspect(_) => {}
                ToGate::Facts(encoded) => adopt_facts(&self.directory, &encoded),
                ToGate::FactsPart {
                    digest,
                    whole_bytes,
                    part,
                } => {
                    self.facts_requests.note_progress();
                    if let Some(encoded) = self.facts.add(digest, whole_bytes, &part) {
                        adopt_facts(&self.directory, &encoded);
                    }
                }
                ToGate::Ping => {
                    let _ = self.answers.send(ToEntry::Pong);
                }
                ToGate::Subscribe { revision } => {
                    let feed = Arc::clone(&self.feed);
                    let answers = self.answers.clone();
                    tokio::spawn(async move { feed.serve(revision, &answers).await });
                }
                ToGate::OfferFeed { node } => self.feed.accept_offer(node),
                ToGate::FetchParts(request) => {
                    let feed = Arc::clone(&self.feed);
                    let answers = self.answers.clone();
                    tokio::spawn(async move { feed.serve_parts(&request, &answers).await });
                }
            }
        }
    }

    fn receive_content(
        &mut self,
        id: CallId,
        head: CallHead,
        body_bytes: u64,
        body: Bytes,
    ) -> CallContent {
        if body.len() as u64 >= body_bytes {
            return CallContent::Whole(WholeCall { head, body });
        }
        self.expect_content(id, Some(head), body_bytes)
    }

    fn expect_content(
        &mut self,
        id: CallId,
        head: Option<CallHead>,
        body_bytes: u64,
    ) -> CallContent {
        let (sender, receiver) = oneshot::channel();
        self.partial
            .retain(|_, partial| !partial.sender.is_closed());
        let partial = PartialCall {
            head,
            body: PartialBody::new(body_bytes),
            sender,
        };
        self.partial.insert(id, partial);
        CallContent::Deferred(receiver)
    }

    fn deliver_if_complete(&mut self, id: CallId) {
        if !self.partial.get(&id).is_some_and(PartialCall::is_complete) {
            return;
        }
        let Some(PartialCall { head, body, sender }) = self.partial.remove(&id) else {
            return;
        };
        let Some(head) = head else {
            return;
        };
        let body = body.into_bytes();
        // The call may have been cancelled in the meantime.
        let _ = sender.send(WholeCall { head, body });
    }

    fn submit(&mut self, id: CallId, request: GateRequest) {
        let sink = self.answer_sink(id, Arc::clone(&self.active_calls));
        let sink = self.reporting_sink(sink);
        let guard = self.gate.submit(request, sink);
        self.active_calls.lock().insert(id, guard);
    }

    fn answer_sink(&self, id: CallId, active_calls: ActiveCalls) -> EventSink {
        answer_sink(
            id,
            self.answers.clone(),
            active_calls,
            Arc::clone(&self.load),
        )
    }

    /// Extends a sink so that the end of its call is preceded by the silent VMs that the
    /// entry has not received on this link.
    fn reporting_sink(&self, sink: EventSink) -> EventSink {
        let answers = self.answers.clone();
        let reported = Arc::clone(&self.reported);
        let silence = Arc::clone(self.gate.silence());
        Box::new(move |event| {
            if event.is_last() {
                silence.report(&reported, |report| {
                    let _ = answers.send(ToEntry::Silence(report));
                });
            }
            sink(event);
        })
    }
}

/// Creates a sink that sends a call's events as frames.
///
/// A send fails silently when the link has ended. The entry then requests the
/// outcomes that it needs over a new link.
fn answer_sink(
    id: CallId,
    answers: Answers,
    active_calls: ActiveCalls,
    load: Arc<LoadReports>,
) -> EventSink {
    Box::new(move |event| {
        if let Some(load) = load.due_before(&event) {
            let _ = answers.send(ToEntry::Load { id, load });
        }
        if event.is_last() {
            active_calls.lock().remove(&id);
        }
        match event {
            GateEvent::WantsContent => {
                let _ = answers.send(ToEntry::WantsContent { id });
            }
            GateEvent::Started { slowness_percent } => {
                let _ = answers.send(ToEntry::Started {
                    id,
                    slowness_percent,
                });
            }
            GateEvent::Answered { head, body } => send_answer(id, &answers, head, body),
            GateEvent::Ended(end) => {
                let _ = answers.send(ToEntry::Ended { id, end });
            }
            GateEvent::Received => {
                let _ = answers.send(ToEntry::Received { id });
            }
            GateEvent::Load(load) => {
                let _ = answers.send(ToEntry::Load { id, load });
            }
        }
    })
}

fn send_answer(id: CallId, answers: &Answers, head: AnswerHead, body: Bytes) {
    let mut body = body;
    let _ = answers.send(ToEntry::Answered {
        id,
        head,
        body_bytes: body.len() as u64,
        part: next_part(&mut body),
    });
    while !body.is_empty() {
        let part = next_part(&mut body);
        let _ = answers.send(ToEntry::Body { id, part });
    }
}
