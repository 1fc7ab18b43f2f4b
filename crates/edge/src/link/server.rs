//! The gate's end of links.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamhitch_wire::link::{CallId, ToEntry, ToGate};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use super::framed::{FrameReader, LinkFault, PartialBody, next_part, pass_on, write_frames};
use crate::directory::adopt_facts;
use crate::feed::ChangeFeed;
use crate::gate::{CallContent, EventSink, Gate, GateEvent, GateRequest, Wanted, WholeCall};
use crate::prelude::*;
use crate::sockets;
use crate::suspicion::Suspicion;

type Answers = mpsc::UnboundedSender<ToEntry>;
/// Calls in hand on one link; dropping one cancels it.
type InHand = Arc<Mutex<HashMap<CallId, Wanted>>>;

/// Accepts links for a gate.
#[derive(Debug)]
pub struct LinkServer {
    /// The gate.
    pub gate: Arc<Gate>,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// What is held against requests.
    pub suspicion: Arc<Suspicion>,
    /// Facts in force.
    pub directory: SharedDirectory,
    /// What subscribers are told.
    pub feed: Arc<ChangeFeed>,
}

/// A node that has just started reads the store within this time, if it can be
/// read; after that it asks whoever opens a link, and again as often.
const ASK_FOR_FACTS_AFTER: Duration = Duration::from_millis(400);

/// A call of which something was kept back until the gate wants it.
struct Arriving {
    head: Option<CallHead>,
    body: PartialBody,
    whole: oneshot::Sender<WholeCall>,
}

impl Arriving {
    /// Whether the head and the whole body are in hand.
    fn is_whole(&self) -> bool {
        self.head.is_some() && self.body.is_whole()
    }
}

impl LinkServer {
    /// Accepts links for as long as the process lives.
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
        let (known, news) = self.suspicion.subscribe();
        for notice in known {
            let _ = answers.send(ToEntry::Suspect(notice));
        }
        let telling = pass_on(news, answers.clone(), ToEntry::Suspect);
        let asking = ask_for_facts(Arc::clone(&self.directory), answers.clone());
        let link = Link {
            gate: Arc::clone(&self.gate),
            directory: Arc::clone(&self.directory),
            suspicion: Arc::clone(&self.suspicion),
            feed: Arc::clone(&self.feed),
            answers,
            in_hand: InHand::default(),
            arriving: HashMap::new(),
        };
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = link.read(FrameReader::new(reader)) => ended,
                ended = write_frames(writer, to_write) => ended,
                () = telling => Ok(()),
                () = asking => Ok(()),
            };
            if let Err(fault) = ended {
                log::debug!("a link ended: {fault}");
            }
        });
    }
}

/// Asks the other side for facts while this node knows none; never ends while
/// the link lives.
async fn ask_for_facts(directory: SharedDirectory, answers: Answers) {
    loop {
        tokio::time::sleep(ASK_FOR_FACTS_AFTER).await;
        if directory.load().routes.is_some() {
            std::future::pending::<()>().await;
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
    in_hand: InHand,
    arriving: HashMap<CallId, Arriving>,
}

impl Link {
    /// Reads until the link ends, which cancels what is in hand.
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
                    let content = self.take_content(id, head, body_bytes, body);
                    self.submit(id, GateRequest { terms, content });
                }
                ToGate::Ask {
                    id,
                    terms,
                    body_bytes,
                } => {
                    let content = self.expect_rest(id, None, body_bytes);
                    self.submit(id, GateRequest { terms, content });
                }
                ToGate::Head { id, head } => {
                    if let Some(arriving) = self.arriving.get_mut(&id) {
                        arriving.head = Some(head);
                        self.hand_over_whole(id);
                    }
                }
                ToGate::Body { id, part } => {
                    if let Some(arriving) = self.arriving.get_mut(&id) {
                        arriving.body.push(&part);
                        self.hand_over_whole(id);
                    }
                }
                ToGate::Cancel { id } => {
                    self.arriving.remove(&id);
                    self.in_hand.lock().remove(&id);
                }
                ToGate::Fence { id, key } => {
                    let sink = answer_sink(id, self.answers.clone(), InHand::default());
                    self.gate.fence(key, sink);
                }
                ToGate::Suspect(notice) => self.suspicion.merge_notice(&notice),
                ToGate::Facts(encoded) => adopt_facts(&self.directory, &encoded),
                ToGate::Ping => {
                    let _ = self.answers.send(ToEntry::Pong);
                }
                ToGate::Follow { revision } => {
                    let feed = Arc::clone(&self.feed);
                    let answers = self.answers.clone();
                    tokio::spawn(async move { feed.serve(revision, &answers).await });
                }
            }
        }
    }

    fn take_content(
        &mut self,
        id: CallId,
        head: CallHead,
        body_bytes: u64,
        body: Bytes,
    ) -> CallContent {
        if body.len() as u64 >= body_bytes {
            return CallContent::Whole(WholeCall { head, body });
        }
        self.expect_rest(id, Some(head), body_bytes)
    }

    fn expect_rest(&mut self, id: CallId, head: Option<CallHead>, body_bytes: u64) -> CallContent {
        let (whole, coming) = oneshot::channel();
        self.arriving
            .retain(|_, arriving| !arriving.whole.is_closed());
        let arriving = Arriving {
            head,
            body: PartialBody::new(body_bytes),
            whole,
        };
        self.arriving.insert(id, arriving);
        CallContent::Later(coming)
    }

    fn hand_over_whole(&mut self, id: CallId) {
        if !self.arriving.get(&id).is_some_and(Arriving::is_whole) {
            return;
        }
        let Some(Arriving { head, body, whole }) = self.arriving.remove(&id) else {
            return;
        };
        let Some(head) = head else {
            return;
        };
        let body = body.into_bytes();
        // A call that was withdrawn meanwhile needs none of it.
        let _ = whole.send(WholeCall { head, body });
    }

    fn submit(&mut self, id: CallId, request: GateRequest) {
        let sink = answer_sink(id, self.answers.clone(), Arc::clone(&self.in_hand));
        let wanted = self.gate.submit(request, sink);
        self.in_hand.lock().insert(id, wanted);
    }
}

/// Sends a call's events as frames. The link may be gone by then; its entry
/// asks about what matters to it over another.
fn answer_sink(id: CallId, answers: Answers, in_hand: InHand) -> EventSink {
    Box::new(move |event| {
        if event.is_last() {
            in_hand.lock().remove(&id);
        }
        match event {
            GateEvent::WantsBody => {
                let _ = answers.send(ToEntry::WantsBody { id });
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
