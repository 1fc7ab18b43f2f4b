//! The entry's end of links.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hornbeamhitch_wire::link::{CallId, ToEntry, ToGate};
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::framed::{FrameReader, LinkFault, PartialBody, next_part, pass_on, write_frames};
use super::hearing::Hearing;
use super::outgoing::{KeptBack, OutgoingCall, call_frame};
use crate::gate::GateEvent;
use crate::prelude::*;
use crate::sockets;
use crate::suspicion::Suspicion;

/// Data centres of one region are milliseconds apart; a VM that does not answer
/// in this time is dark or its queue of connections is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// What becomes of a call, seen from its entry.
#[derive(Debug)]
pub enum LinkEvent {
    /// Told by the gate in this life.
    Gate(GateEvent, Incarnation),
    /// No link could be had; nothing was sent.
    Unreachable,
    /// The link broke after the call was sent to this life of the gate.
    Lost(Incarnation),
}

/// Takes the events of one call.
pub type LinkSink = Box<dyn Fn(LinkEvent) + Send + Sync>;

/// A question to a gate that goes on until it is dropped, which withdraws it.
#[derive(Debug)]
pub struct Asked {
    task: AbortHandle,
    sent: SentPlace,
}

/// Where a question went, once it was sent. The task that sends it fills this
/// without a pause in between, so a drop meets it either unsent or filled.
type SentPlace = Arc<Mutex<Option<(Arc<Link>, CallId)>>>;

impl Drop for Asked {
    fn drop(&mut self) {
        self.task.abort();
        if let Some((link, id)) = self.sent.lock().take() {
            link.withdraw(id);
        }
    }
}

/// Links by the gate's address, opened on need and kept.
#[derive(Debug)]
pub struct LinkPool {
    suspicion: Arc<Suspicion>,
    directory: SharedDirectory,
    links: Mutex<HashMap<SocketAddr, Arc<LinkSlot>>>,
}

#[derive(Debug, Default)]
struct LinkSlot {
    /// Held while connecting, so that a burst opens one link.
    link: tokio::sync::Mutex<Option<Arc<Link>>>,
}

/// What is sent over a link.
enum Question {
    Call(Box<OutgoingCall>),
    Fence(CallKey),
}

impl LinkPool {
    /// A pool without links.
    #[must_use]
    pub fn new(suspicion: Arc<Suspicion>, directory: SharedDirectory) -> Self {
        Self {
            suspicion,
            directory,
            links: Mutex::default(),
        }
    }

    /// Sends a call to a gate.
    pub fn call(self: &Arc<Self>, gate: SocketAddr, call: OutgoingCall, sink: LinkSink) -> Asked {
        self.ask(gate, Question::Call(Box::new(call)), sink)
    }

    /// Asks a gate about a key, which fences it.
    pub fn fence(self: &Arc<Self>, gate: SocketAddr, key: CallKey, sink: LinkSink) -> Asked {
        self.ask(gate, Question::Fence(key), sink)
    }

    fn ask(self: &Arc<Self>, gate: SocketAddr, question: Question, sink: LinkSink) -> Asked {
        let sent = SentPlace::default();
        let pool = Arc::clone(self);
        let place = Arc::clone(&sent);
        let task = tokio::spawn(async move {
            match pool.link(gate).await {
                Ok(link) if link.refuses(&question) => sink(LinkEvent::Unreachable),
                Ok(link) => {
                    let id = link.send(question, sink);
                    *place.lock() = Some((link, id));
                }
                Err(fault) => {
                    log::debug!("no link to {gate}: {fault}");
                    sink(LinkEvent::Unreachable);
                }
            }
        });
        Asked {
            task: task.abort_handle(),
            sent,
        }
    }

    /// Whether a link to a gate can be had now.
    pub async fn is_reached(&self, gate: SocketAddr) -> bool {
        self.link(gate).await.is_ok_and(|link| !link.is_doubted())
    }

    /// Drops links to gates that are no longer listed.
    pub fn retain(&self, known: impl Fn(&SocketAddr) -> bool) {
        self.links.lock().retain(|address, _| known(address));
    }

    async fn link(&self, gate: SocketAddr) -> Result<Arc<Link>, LinkFault> {
        let slot = Arc::clone(self.links.lock().entry(gate).or_default());
        let mut kept = slot.link.lock().await;
        if let Some(link) = kept.as_ref()
            && !link.is_dead()
        {
            return Ok(Arc::clone(link));
        }
        let link = Link::open(gate, &self.suspicion, &self.directory).await?;
        *kept = Some(Arc::clone(&link));
        Ok(link)
    }
}

/// One open link.
#[derive(Debug)]
struct Link {
    incarnation: Incarnation,
    suspicion: Arc<Suspicion>,
    directory: SharedDirectory,
    frames: mpsc::UnboundedSender<ToGate>,
    calls: Mutex<HashMap<CallId, OpenCall>>,
    last_id: AtomicU64,
    dead: AtomicBool,
    /// The gate did not answer lately.
    doubted: AtomicBool,
    /// Something was sent, so an answer is due.
    asked: tokio::sync::Notify,
}

struct OpenCall {
    sink: LinkSink,
    kept_back: KeptBack,
    answer: Option<(AnswerHead, PartialBody)>,
}

impl std::fmt::Debug for OpenCall {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OpenCall").finish_non_exhaustive()
    }
}

impl Link {
    async fn open(
        gate: SocketAddr,
        suspicion: &Arc<Suspicion>,
        directory: &SharedDirectory,
    ) -> Result<Arc<Self>, LinkFault> {
        let stream = sockets::connect(gate, CONNECT_TIMEOUT).await?;
        let (reader, writer) = stream.into_split();
        let mut reader = FrameReader::new(reader);
        // A paused gate accepts, in its kernel, and says nothing.
        let hello = tokio::time::timeout(CONNECT_TIMEOUT, reader.next()).await;
        let ToEntry::Hello { incarnation } = hello.map_err(std::io::Error::from)?? else {
            return Err(LinkFault::Closed);
        };
        let (frames, to_write) = mpsc::unbounded_channel();
        let link = Arc::new(Self {
            incarnation,
            suspicion: Arc::clone(suspicion),
            directory: Arc::clone(directory),
            frames,
            calls: Mutex::default(),
            last_id: AtomicU64::new(0),
            dead: AtomicBool::new(false),
            doubted: AtomicBool::new(false),
            asked: tokio::sync::Notify::new(),
        });
        let (known, news) = suspicion.subscribe();
        for notice in known {
            link.push(ToGate::Suspect(notice));
        }
        let telling = pass_on(news, link.frames.clone(), ToGate::Suspect);
        let driven = Arc::clone(&link);
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = driven.read(reader) => ended,
                ended = write_frames(writer, to_write) => ended,
                () = telling => Ok(()),
            };
            if let Err(fault) = ended {
                log::info!("the link to {gate} ended: {fault}");
            }
            driven.end();
        });
        Ok(link)
    }

    fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Acquire)
    }

    fn is_doubted(&self) -> bool {
        self.doubted.load(Ordering::Acquire)
    }

    /// Whether a question is better not sent.
    ///
    /// Failure answered: until a cut or a frozen VM is noticed for certain, calls
    /// go on being sent there. They run nowhere, yet nobody can tell, so their
    /// callers are told "unknown" and may not send a payment again. Held back
    /// from the first unanswered question on, they have not been sent, and go
    /// elsewhere without using the retry budget. A question about a key is sent:
    /// only this gate can answer it.
    fn refuses(&self, question: &Question) -> bool {
        matches!(question, Question::Call(_)) && self.is_doubted()
    }

    fn send(&self, question: Question, sink: LinkSink) -> CallId {
        let id = CallId(self.last_id.fetch_add(1, Ordering::Relaxed) + 1);
        let (frame, kept_back) = match question {
            Question::Fence(key) => (ToGate::Fence { id, key }, KeptBack::default()),
            Question::Call(call) => call_frame(id, *call),
        };
        let open = OpenCall {
            sink,
            kept_back,
            answer: None,
        };
        self.calls.lock().insert(id, open);
        self.push(frame);
        self.asked.notify_one();
        if self.is_dead() {
            // It ended while the call was put in; nobody else tells its sink.
            self.end();
        }
        id
    }

    fn push(&self, frame: ToGate) {
        // A closed channel means that the link has ended, which is told to
        // every call in hand.
        let _ = self.frames.send(frame);
    }

    fn withdraw(&self, id: CallId) {
        if self.calls.lock().remove(&id).is_some() {
            self.push(ToGate::Cancel { id });
        }
    }

    /// Reads until the link ends or falls silent.
    ///
    /// Failure answered: a VM that lost power, a partition or a frozen process
    /// leaves a link open that answers nothing, and each call on it would wait
    /// for its deadline. While calls wait, silence is noticed step by step (see
    /// [`Hearing`]); an idle link costs nothing. A link in doubt is followed to
    /// its end without calls too, or it would stay in doubt for ever.
    async fn read(&self, mut reader: FrameReader) -> Result<(), LinkFault> {
        let mut hearing = Hearing::Heard(Instant::now());
        loop {
            let awaits = !self.calls.lock().is_empty() || self.is_doubted();
            tokio::select! {
                // What has come goes first: a process that was paused wakes with
                // answers to read and with all its waits over.
                biased;
                frame = reader.next() => {
                    hearing = Hearing::Heard(Instant::now());
                    self.doubted.store(false, Ordering::Release);
                    self.take(frame?);
                }
                () = self.asked.notified(), if !awaits => {
                    hearing = Hearing::Heard(Instant::now());
                }
                () = tokio::time::sleep_until(hearing.ends_at()), if awaits => {
                    hearing = self.listen_harder(hearing)?;
                }
            }
        }
    }

    /// The next step of a silence.
    fn listen_harder(&self, hearing: Hearing) -> Result<Hearing, LinkFault> {
        match hearing {
            Hearing::Heard(_) => {
                self.push(ToGate::Ping);
                Ok(Hearing::Asked(Instant::now()))
            }
            Hearing::Asked(at) => {
                self.doubted.store(true, Ordering::Release);
                Ok(Hearing::Doubted(at))
            }
            Hearing::Doubted(_) => Err(LinkFault::Closed),
        }
    }

    fn take(&self, frame: ToEntry) {
        match frame {
            ToEntry::Hello { .. } | ToEntry::Pong => {}
            ToEntry::Suspect(notice) => self.suspicion.merge_notice(&notice),
            ToEntry::WantsFacts => {
                if let Some(encoded) = self.directory.load().to_facts() {
                    self.push(ToGate::Facts(encoded));
                }
            }
            ToEntry::WantsBody { id } => self.send_rest(id),
            ToEntry::Started {
                id,
                slowness_percent,
            } => {
                if let Some(open) = self.calls.lock().get(&id) {
                    let started = GateEvent::Started { slowness_percent };
                    (open.sink)(LinkEvent::Gate(started, self.incarnation));
                }
            }
            ToEntry::Answered {
                id,
                head,
                body_bytes,
                part,
            } => {
                let mut body = PartialBody::new(body_bytes);
                body.push(&part);
                if let Some(open) = self.calls.lock().get_mut(&id) {
                    open.answer = Some((head, body));
                }
                self.tell_whole_answer(id);
            }
            ToEntry::Body { id, part } => {
                self.push_part(id, &part);
                self.tell_whole_answer(id);
            }
            ToEntry::Ended { id, end } => self.tell_last(id, GateEvent::Ended(end)),
            // Only subscribers are told these, on connections of their own.
            ToEntry::Change(_) | ToEntry::KnownTo { .. } | ToEntry::NoFeed => {}
        }
    }

    fn send_rest(&self, id: CallId) {
        let KeptBack { head, mut body } = match self.calls.lock().get_mut(&id) {
            Some(open) => std::mem::take(&mut open.kept_back),
            None => return,
        };
        if let Some(head) = head {
            self.push(ToGate::Head { id, head });
        }
        while !body.is_empty() {
            let part = next_part(&mut body);
            self.push(ToGate::Body { id, part });
        }
    }

    fn push_part(&self, id: CallId, part: &Bytes) {
        let mut calls = self.calls.lock();
        let answer = calls.get_mut(&id).and_then(|open| open.answer.as_mut());
        if let Some((_, body)) = answer {
            body.push(part);
        }
    }

    fn tell_whole_answer(&self, id: CallId) {
        let mut calls = self.calls.lock();
        let Some(open) = calls.get_mut(&id) else {
            return;
        };
        let is_whole = open
            .answer
            .as_ref()
            .is_some_and(|(_, body)| body.is_whole());
        if !is_whole {
            return;
        }
        let answer = open.answer.take();
        drop(calls);
        if let Some((head, body)) = answer {
            let body = body.into_bytes();
            self.tell_last(id, GateEvent::Answered { head, body });
        }
    }

    fn tell_last(&self, id: CallId, event: GateEvent) {
        let open = self.calls.lock().remove(&id);
        if let Some(open) = open {
            (open.sink)(LinkEvent::Gate(event, self.incarnation));
        }
    }

    fn end(&self) {
        self.dead.store(true, Ordering::Release);
        let calls = std::mem::take(&mut *self.calls.lock());
        for open in calls.into_values() {
            (open.sink)(LinkEvent::Lost(self.incarnation));
        }
    }
}
