//! The gate's side of links.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamhitch_dispatch::faults::silence::ReportCursor;
use hornbeamhitch_dispatch::resources::limits::Listener;
use hornbeamhitch_dispatch::resources::peers::Activity;
use hornbeamhitch_wire::link::{CallId, ToEntry, ToGate};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use super::facts::{FactsRequests, PartialFacts};
use super::framed::{
    FrameMemory, FrameReader, LinkFault, PartialBody, forward_notices, next_part,
    send_known_notices, write_frames,
};
use super::read_ahead::ReadAhead;
use crate::directory::adopt_facts;
use crate::feed::ChangeFeed;
use crate::gate::{
    CallContent, CallGuard, DeferredCall, EventSink, Gate, GateEvent, GateRequest, LoadReports,
    WholeCall,
};
use crate::prelude::*;
use crate::resources::{Charge, Registration};
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

type PartialCalls = Arc<Mutex<HashMap<CallId, PartialCall>>>;
/// The rest of answers whose entry has not requested it yet.
type DeferredAnswers = Arc<Mutex<HashMap<CallId, Bytes>>>;

/// Maximum number of requests for parts of a configuration that one link has open.
const MAX_FETCHES: usize = 64;

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
    pub async fn accept(self, socket: TcpListener) {
        let resources = Arc::clone(self.gate.resources());
        sockets::accept_all(
            socket,
            Listener::Links,
            resources,
            |stream, registration| {
                self.serve(stream, registration);
            },
        )
        .await;
    }

    fn serve(&self, stream: TcpStream, registration: Registration) {
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
            partial: PartialCalls::default(),
            deferred_answers: DeferredAnswers::default(),
            reported: Arc::default(),
            subscription: JoinSet::new(),
            fetches: JoinSet::new(),
        };
        let read_ahead = ReadAhead::default();
        let registration = Arc::new(registration);
        let memory = FrameMemory::new(Arc::clone(self.gate.resources()), Arc::clone(&registration));
        let frames = FrameReader::new(reader).charged(memory);
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = link.read(frames, &registration, &read_ahead) => ended,
                () = registration.must_close() => Ok(()),
                ended = write_frames(writer, to_write, || read_ahead.note_drained()) => ended,
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
    partial: PartialCalls,
    deferred_answers: DeferredAnswers,
    reported: Arc<Mutex<ReportCursor>>,
    /// Sends changes to the peer, if it has subscribed to them.
    subscription: JoinSet<()>,
    /// Requests for parts of a configuration that are being answered.
    fetches: JoinSet<()>,
}

impl Link {
    /// Reads frames until the link ends, which cancels all open calls.
    async fn read(
        mut self,
        mut reader: FrameReader,
        registration: &Registration,
        read_ahead: &ReadAhead,
    ) -> Result<(), LinkFault> {
        loop {
            let frame = reader.next().await?;
            read_ahead.note_read().await;
            self.handle(frame)?;
            registration.set_activity(self.activity());
        }
    }

    fn activity(&self) -> Activity {
        let is_idle =
            self.active_calls.lock().is_empty() && self.deferred_answers.lock().is_empty();
        match is_idle {
            true => Activity::Idle,
            false => Activity::Served,
        }
    }

    fn handle(&mut self, frame: ToGate) -> Result<(), LinkFault> {
        match frame {
            ToGate::Call {
                id,
                terms,
                head,
                body_bytes,
                body,
            } => {
                self.submit(id, terms, |link| {
                    link.receive_content(id, head, body_bytes, body)
                });
            }
            ToGate::Offer {
                id,
                terms,
                body_bytes,
            } => {
                self.submit(id, terms, |link| link.expect_content(id, None, body_bytes));
            }
            ToGate::Head { id, head } => {
                if let Some(partial) = self.partial.lock().get_mut(&id) {
                    partial.head = Some(head);
                }
                self.deliver_if_complete(id);
            }
            ToGate::Body { id, part } => {
                if let Some(partial) = self.partial.lock().get_mut(&id) {
                    partial.body.push(&part)?;
                }
                self.deliver_if_complete(id);
            }
            ToGate::Cancel { id } => {
                self.partial.lock().remove(&id);
                self.deferred_answers.lock().remove(&id);
                self.active_calls.lock().remove(&id);
            }
            ToGate::WantsRest { id } => self.send_rest(id),
            ToGate::Fence { id, key } => {
                let sink = self.answer_sink(id, ActiveCalls::default(), None);
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
                self.subscription.abort_all();
                self.subscription
                    .spawn(async move { feed.serve(revision, &answers).await });
                while self.subscription.try_join_next().is_some() {}
            }
            ToGate::OfferFeed { node } => self.feed.accept_offer(node),
            ToGate::FetchParts(request) => {
                let feed = Arc::clone(&self.feed);
                let answers = self.answers.clone();
                while self.fetches.try_join_next().is_some() {}
                if self.fetches.len() >= MAX_FETCHES {
                    return Err(LinkFault::TooManyRequests);
                }
                self.fetches
                    .spawn(async move { feed.serve_parts(&request, &answers).await });
            }
        }
        Ok(())
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
        let (sender, whole) = oneshot::channel();
        let mut calls = self.partial.lock();
        calls.retain(|_, partial| !partial.sender.is_closed());
        let partial = PartialCall {
            head,
            body: PartialBody::new(body_bytes, 0),
            sender,
        };
        calls.insert(id, partial);
        drop(calls);
        let calls = Arc::clone(&self.partial);
        let permit = Box::new(move |charge| {
            if let Some(partial) = calls.lock().get_mut(&id) {
                partial.body.permit(charge);
            }
        });
        CallContent::Deferred(DeferredCall {
            body_bytes,
            permit,
            whole,
        })
    }

    fn deliver_if_complete(&mut self, id: CallId) {
        let mut calls = self.partial.lock();
        if !calls.get(&id).is_some_and(PartialCall::is_complete) {
            return;
        }
        let Some(PartialCall { head, body, sender }) = calls.remove(&id) else {
            return;
        };
        drop(calls);
        let Some(head) = head else {
            return;
        };
        let body = body.into_bytes();
        // The call may have been cancelled in the meantime.
        let _ = sender.send(WholeCall { head, body });
    }

    /// Submits a call to the gate, or rejects it if there is no memory for it.
    fn submit(
        &mut self,
        id: CallId,
        terms: CallTerms,
        content: impl FnOnce(&mut Self) -> CallContent,
    ) {
        let Some(charge) = self.gate.resources().try_hold_request() else {
            log::info!(request = terms.request_id.as_str(); "rejected a call without memory for it");
            let sink = self.answer_sink(id, ActiveCalls::default(), None);
            return sink(GateEvent::Ended(CallEnd::Busy));
        };
        let content = content(self);
        let sink = self.answer_sink(id, Arc::clone(&self.active_calls), Some(charge));
        let sink = self.reporting_sink(sink);
        let guard = self.gate.submit(GateRequest { terms, content }, sink);
        self.active_calls.lock().insert(id, guard);
    }

    /// Sends the rest of an answer to an entry that has memory for it.
    fn send_rest(&self, id: CallId) {
        let Some(mut body) = self.deferred_answers.lock().remove(&id) else {
            return;
        };
        while !body.is_empty() {
            let part = next_part(&mut body);
            let _ = self.answers.send(ToEntry::Body { id, part });
        }
    }

    fn answer_sink(
        &self,
        id: CallId,
        active_calls: ActiveCalls,
        charge: Option<Charge>,
    ) -> EventSink {
        let sender = AnswerSender {
            id,
            answers: self.answers.clone(),
            partial: Arc::clone(&self.partial),
            deferred: Arc::clone(&self.deferred_answers),
            charge: Mutex::new(charge),
        };
        answer_sink(sender, active_calls, Arc::clone(&self.load))
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
    sender: AnswerSender,
    active_calls: ActiveCalls,
    load: Arc<LoadReports>,
) -> EventSink {
    let id = sender.id;
    let answers = sender.answers.clone();
    Box::new(move |event| {
        if let Some(load) = load.due_before(&event) {
            let _ = answers.send(ToEntry::Load { id, load });
        }
        if event.is_last() {
            active_calls.lock().remove(&id);
            sender.partial.lock().remove(&id);
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
            GateEvent::Answered { head, body } => sender.send(head, body),
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

/// Sends the answer of one call.
struct AnswerSender {
    id: CallId,
    answers: Answers,
    /// Where the content of the call arrives.
    partial: PartialCalls,
    deferred: DeferredAnswers,
    /// The memory of the call, which its answer needs until it is written.
    charge: Mutex<Option<Charge>>,
}

impl AnswerSender {
    /// Sends the head and the first part. The rest follows once the entry requests it, since
    /// the entry may lack the memory for it.
    fn send(&self, head: AnswerHead, mut body: Bytes) {
        let body_bytes = body.len() as u64;
        if let Some(charge) = self.charge.lock().take() {
            body = charge.attach(body);
        }
        let part = next_part(&mut body);
        if !body.is_empty() {
            self.deferred.lock().insert(self.id, body);
        }
        let _ = self.answers.send(ToEntry::Answered {
            id: self.id,
            head,
            body_bytes,
            part,
        });
    }
}
