//! The entry's side of links: a pool of connections to gates.

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

use super::facts;
use super::framed::{
    FrameReader, LinkFault, PartialBody, forward_notices, next_part, send_known_notices,
    write_frames,
};
use super::liveness::Liveness;
use super::outgoing::{DeferredContent, OutgoingCall, call_frame};
use crate::gate::GateEvent;
use crate::prelude::*;
use crate::sockets;
use crate::suspicion::Suspicion;

/// Limit on connecting and on the gate's first frame.
///
/// Data centres of one region are milliseconds apart. A VM that does not answer
/// within this time is down or its accept queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a call brings an empty report of demand if no other was sent, so that the
/// gate continues to report its load.
const DEMAND_INTERVAL: Duration = Duration::from_secs(5);

/// Progress of a call, as its entry sees it.
#[derive(Debug)]
pub enum LinkEvent {
    /// The gate with this incarnation reported an event.
    Gate(GateEvent, Incarnation),
    /// No usable link to the gate could be opened. Nothing was sent.
    Unreachable,
    /// The link broke after the call was sent to the gate with this incarnation.
    Lost(Incarnation),
}

/// Receives the events of one call.
pub type LinkSink = Box<dyn Fn(LinkEvent) + Send + Sync>;

/// Handle of a request to a gate. Dropping it cancels the request.
#[derive(Debug)]
pub struct PendingRequest {
    task: AbortHandle,
    sent: SentRequest,
}

/// The link and id of a request, once it was sent.
///
/// The sending task does not await between sending and setting this, so a drop
/// finds a request that is either unsent or recorded here.
type SentRequest = Arc<Mutex<Option<(Arc<Link>, CallId)>>>;

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.task.abort();
        if let Some((link, id)) = self.sent.lock().take() {
            link.cancel(id);
        }
    }
}

/// Links by the gate's address. A link is opened on first use and then reused.
#[derive(Debug)]
pub struct LinkPool {
    suspicion: Arc<Suspicion>,
    directory: SharedDirectory,
    links: Mutex<HashMap<SocketAddr, Arc<LinkSlot>>>,
}

#[derive(Debug, Default)]
struct LinkSlot {
    /// Locked while connecting, so that a burst of calls opens only one link.
    link: tokio::sync::Mutex<Option<Arc<Link>>>,
}

/// A request to a gate.
enum LinkRequest {
    Call(Box<OutgoingCall>),
    Fence(CallKey),
}

impl LinkPool {
    /// Creates a pool without links.
    #[must_use]
    pub fn new(suspicion: Arc<Suspicion>, directory: SharedDirectory) -> Self {
        Self {
            suspicion,
            directory,
            links: Mutex::default(),
        }
    }

    /// Sends a call to a gate.
    pub fn call(
        self: &Arc<Self>,
        gate: SocketAddr,
        call: OutgoingCall,
        sink: LinkSink,
    ) -> PendingRequest {
        self.start(gate, LinkRequest::Call(Box::new(call)), sink)
    }

    /// Asks a gate for the outcome of a key and fences the key: a call with it that
    /// has not started will never run.
    pub fn fence(
        self: &Arc<Self>,
        gate: SocketAddr,
        key: CallKey,
        sink: LinkSink,
    ) -> PendingRequest {
        self.start(gate, LinkRequest::Fence(key), sink)
    }

    fn start(
        self: &Arc<Self>,
        gate: SocketAddr,
        request: LinkRequest,
        sink: LinkSink,
    ) -> PendingRequest {
        let sent = SentRequest::default();
        let pool = Arc::clone(self);
        let sent_by_task = Arc::clone(&sent);
        let task = tokio::spawn(async move {
            match pool.link(gate).await {
                Ok(link) if link.must_withhold(&request) => sink(LinkEvent::Unreachable),
                Ok(link) => {
                    let id = link.send(request, sink);
                    *sent_by_task.lock() = Some((link, id));
                }
                Err(fault) => {
                    log::debug!("no link to {gate}: {fault}");
                    sink(LinkEvent::Unreachable);
                }
            }
        });
        PendingRequest {
            task: task.abort_handle(),
            sent,
        }
    }

    /// Whether the gate has a responsive link now or one can be opened.
    pub async fn is_reachable(&self, gate: SocketAddr) -> bool {
        self.link(gate)
            .await
            .is_ok_and(|link| !link.is_unresponsive())
    }

    /// Drops the links to gates for which `known` returns false.
    pub fn retain(&self, known: impl Fn(&SocketAddr) -> bool) {
        self.links.lock().retain(|address, _| known(address));
    }

    async fn link(&self, gate: SocketAddr) -> Result<Arc<Link>, LinkFault> {
        let slot = Arc::clone(self.links.lock().entry(gate).or_default());
        let mut current = slot.link.lock().await;
        if let Some(link) = current.as_ref()
            && !link.is_dead()
        {
            return Ok(Arc::clone(link));
        }
        let link = Link::open(gate, &self.suspicion, &self.directory).await?;
        *current = Some(Arc::clone(&link));
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
    /// When demand was last reported on this link.
    demand_sent_at: Mutex<Option<Instant>>,
    /// Whether the link has ended.
    dead: AtomicBool,
    /// Whether the gate has failed to answer the last ping in time.
    unresponsive: AtomicBool,
    /// Wakes the reading task after a request, since a response is now due.
    request_sent: tokio::sync::Notify,
}

struct OpenCall {
    sink: LinkSink,
    deferred: DeferredContent,
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
        // The kernel of a paused gate still accepts connections, but the gate sends no
        // first frame.
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
            demand_sent_at: Mutex::default(),
            dead: AtomicBool::new(false),
            unresponsive: AtomicBool::new(false),
            request_sent: tokio::sync::Notify::new(),
        });
        let notices = send_known_notices(suspicion, &link.frames, ToGate::Crashes);
        let forwarding = forward_notices(
            Arc::clone(suspicion),
            notices,
            link.frames.clone(),
            ToGate::Crashes,
        );
        let driver = Arc::clone(&link);
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = driver.read(reader) => ended,
                ended = write_frames(writer, to_write) => ended,
                () = forwarding => Ok(()),
            };
            if let Err(fault) = ended {
                log::info!("the link to {gate} ended: {fault}");
            }
            driver.end();
        });
        Ok(link)
    }

    fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Acquire)
    }

    fn is_unresponsive(&self) -> bool {
        self.unresponsive.load(Ordering::Acquire)
    }

    /// Whether a request must not be sent on this link now.
    ///
    /// Calls are not sent to an unresponsive gate. It takes a while until a network
    /// partition or a frozen VM is detected for certain. A call that is sent in the
    /// meantime does not run, but nobody can know that: its caller gets "unknown"
    /// and may not repeat a payment. A call that was never sent goes to another
    /// target without using the retry budget. A fence request is always sent,
    /// because only this gate can answer it.
    fn must_withhold(&self, request: &LinkRequest) -> bool {
        matches!(request, LinkRequest::Call(_)) && self.is_unresponsive()
    }

    fn send(&self, request: LinkRequest, sink: LinkSink) -> CallId {
        let id = CallId(self.last_id.fetch_add(1, Ordering::Relaxed) + 1);
        let (frame, deferred) = match request {
            LinkRequest::Fence(key) => (ToGate::Fence { id, key }, DeferredContent::default()),
            LinkRequest::Call(call) => {
                self.send_demand(&call);
                call_frame(id, *call)
            }
        };
        let open = OpenCall {
            sink,
            deferred,
            answer: None,
        };
        self.calls.lock().insert(id, open);
        self.push(frame);
        self.request_sent.notify_one();
        if self.is_dead() {
            // The link ended while the call was inserted, so nothing else notifies its
            // sink.
            self.end();
        }
        id
    }

    /// Sends the report of demand that is due with a call.
    fn send_demand(&self, call: &OutgoingCall) {
        if !call.wants_load {
            return;
        }
        let mut sent_at = self.demand_sent_at.lock();
        let is_recent = sent_at.is_some_and(|at| at.elapsed() < DEMAND_INTERVAL);
        if call.demand.is_none() && is_recent {
            return;
        }
        *sent_at = Some(Instant::now());
        self.push(ToGate::Demand(call.demand.unwrap_or_default()));
    }

    fn push(&self, frame: ToGate) {
        // A closed channel means that the link has ended. `end` reports that to every
        // open call.
        let _ = self.frames.send(frame);
    }

    fn cancel(&self, id: CallId) {
        if self.calls.lock().remove(&id).is_some() {
            self.push(ToGate::Cancel { id });
        }
    }

    /// Reads frames until the link ends or the gate stays silent for too long.
    ///
    /// After a power loss, a network partition or a process freeze, the link stays
    /// open but nothing arrives, and each call on it would wait for its deadline.
    /// While calls are open, silence is therefore detected in steps (see
    /// [`Liveness`]); an idle link causes no traffic. An unresponsive link is
    /// monitored without open calls too, because it would otherwise stay
    /// unresponsive for ever.
    async fn read(&self, mut reader: FrameReader) -> Result<(), LinkFault> {
        let mut liveness = Liveness::Alive(Instant::now());
        loop {
            let is_awaiting = !self.calls.lock().is_empty() || self.is_unresponsive();
            tokio::select! {
                // Received frames take precedence: after a pause of this process, there
                // are frames to read and all timers have expired.
                biased;
                frame = reader.next() => {
                    liveness = Liveness::Alive(Instant::now());
                    self.unresponsive.store(false, Ordering::Release);
                    self.handle(frame?);
                }
                () = self.request_sent.notified(), if !is_awaiting => {
                    liveness = Liveness::Alive(Instant::now());
                }
                () = tokio::time::sleep_until(liveness.expires_at()), if is_awaiting => {
                    liveness = self.escalate_silence(liveness)?;
                }
            }
        }
    }

    /// Moves to the next state when the gate was silent for the whole current one.
    ///
    /// # Errors
    ///
    /// The gate was silent for so long that the link is given up.
    fn escalate_silence(&self, liveness: Liveness) -> Result<Liveness, LinkFault> {
        match liveness {
            Liveness::Alive(_) => {
                self.push(ToGate::Ping);
                Ok(Liveness::Pinged(Instant::now()))
            }
            Liveness::Pinged(at) => {
                self.unresponsive.store(true, Ordering::Release);
                Ok(Liveness::Unresponsive(at))
            }
            Liveness::Unresponsive(_) => Err(LinkFault::Closed),
        }
    }

    fn handle(&self, frame: ToEntry) {
        match frame {
            ToEntry::Hello { .. } | ToEntry::Pong => {}
            ToEntry::Crashes(notice) => self.suspicion.merge_notice(&notice),
            ToEntry::Suspect(_) => {}
            ToEntry::WantsFacts => {
                if let Some(encoded) = self.directory.load().to_facts() {
                    facts::send(encoded, |frame| self.push(frame));
                }
            }
            ToEntry::WantsContent { id } => self.send_deferred(id),
            ToEntry::Started {
                id,
                slowness_percent,
            } => self.deliver(id, GateEvent::Started { slowness_percent }),
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
                self.deliver_if_complete(id);
            }
            ToEntry::Body { id, part } => {
                self.push_part(id, &part);
                self.deliver_if_complete(id);
            }
            ToEntry::Ended { id, end } => self.deliver_last(id, GateEvent::Ended(end)),
            ToEntry::Received { id } => self.deliver(id, GateEvent::Received),
            ToEntry::Load { id, load } => self.deliver(id, GateEvent::Load(load)),
            ToEntry::Silence(_) => {}
            // Subscriptions and requests for parts use separate connections.
            ToEntry::Change(_)
            | ToEntry::Progress { .. }
            | ToEntry::ReceivingAnswer
            | ToEntry::FeedUnavailable
            | ToEntry::Part(_)
            | ToEntry::PartsEnd { .. } => {}
        }
    }

    fn send_deferred(&self, id: CallId) {
        let DeferredContent { head, mut body } = match self.calls.lock().get_mut(&id) {
            Some(open) => std::mem::take(&mut open.deferred),
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

    fn deliver_if_complete(&self, id: CallId) {
        let mut calls = self.calls.lock();
        let Some(open) = calls.get_mut(&id) else {
            return;
        };
        let is_complete = open
            .answer
            .as_ref()
            .is_some_and(|(_, body)| body.is_complete());
        if !is_complete {
            return;
        }
        let answer = open.answer.take();
        drop(calls);
        if let Some((head, body)) = answer {
            let body = body.into_bytes();
            self.deliver_last(id, GateEvent::Answered { head, body });
        }
    }

    /// Delivers an event that is not the last of its call.
    fn deliver(&self, id: CallId, event: GateEvent) {
        if let Some(open) = self.calls.lock().get(&id) {
            (open.sink)(LinkEvent::Gate(event, self.incarnation));
        }
    }

    fn deliver_last(&self, id: CallId, event: GateEvent) {
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
