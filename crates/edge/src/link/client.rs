//! The entry's side of a link.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hornbeamhitch_dispatch::faults::silence::ReportCursor;
use hornbeamhitch_wire::link::{BODY_PART_BYTES, CallId, ToEntry, ToGate};
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
use super::pending::Withdrawal;
use super::pool::LinkPool;
use super::slot::LinkSlot;
use crate::gate::GateEvent;
use crate::prelude::*;
use crate::resources::{Patience, Resources};
use crate::silence::{LastFrame, Silence};
use crate::sockets::{self, PeerKind};
use crate::suspicion::Suspicion;

/// Limit on connecting and on the gate's first frame.
///
/// Data centres of one region are milliseconds apart. A VM that does not answer
/// within this time is down or its accept queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an answer waits for memory. It has run, so that a refusal would lose it.
const ANSWER_PATIENCE: Patience = Patience::Until(Duration::from_secs(2));
/// Time after which a call brings an empty report of demand if no other was sent, so that the
/// gate continues to report its load.
const DEMAND_INTERVAL: Duration = Duration::from_secs(5);

/// Progress of a call, as its entry sees it.
#[derive(Debug)]
pub enum LinkEvent {
    /// The gate with this incarnation reported an event.
    Gate(GateEvent, Incarnation),
    /// No usable link to the gate could be opened, or it broke before the gate requested
    /// the content of the call. The call does not run.
    Unreachable,
    /// The gate is silent, so the call was not sent.
    Silent,
    /// The link broke after the call was sent to the gate with this incarnation.
    Lost(Incarnation),
}

/// Receives the events of one call.
pub type LinkSink = Box<dyn Fn(LinkEvent) + Send + Sync>;

/// A request to a gate.
pub(super) enum LinkRequest {
    Call(Box<OutgoingCall>),
    Fence(CallKey),
}

/// One open link.
#[derive(Debug)]
pub(super) struct Link {
    vm: IpAddr,
    incarnation: Incarnation,
    suspicion: Arc<Suspicion>,
    directory: SharedDirectory,
    silence: Arc<Silence>,
    last_frame: Arc<LastFrame>,
    resources: Arc<Resources>,
    reported: Mutex<ReportCursor>,
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
    /// Wakes the reading task after an attempt was not confirmed and nothing was received.
    silence_observed: tokio::sync::Notify,
}

struct OpenCall {
    sink: LinkSink,
    /// Whether any frame for the call has arrived.
    is_confirmed: bool,
    deferred: DeferredContent,
    answer: Option<(AnswerHead, PartialBody)>,
    /// Waits for the memory of a long answer.
    waiting: Option<MemoryWait>,
}

/// A task that waits for memory, which ends when this is dropped.
struct MemoryWait(AbortHandle);

impl Drop for MemoryWait {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl std::fmt::Debug for OpenCall {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OpenCall").finish_non_exhaustive()
    }
}

impl Link {
    pub(super) async fn open(
        gate: SocketAddr,
        pool: &LinkPool,
        slot: &LinkSlot,
    ) -> Result<Arc<Self>, LinkFault> {
        let connecting_since = Instant::now();
        let stream = sockets::connect(gate, PeerKind::Node, CONNECT_TIMEOUT).await?;
        slot.set_round_trip(connecting_since.elapsed());
        let (reader, writer) = stream.into_split();
        let mut reader = FrameReader::new(reader);
        // The kernel of a paused gate still accepts connections, but the gate sends no
        // first frame.
        let hello = tokio::time::timeout(CONNECT_TIMEOUT, reader.next()).await;
        let ToEntry::Hello { incarnation } = hello.map_err(std::io::Error::from)?? else {
            return Err(LinkFault::Closed);
        };
        pool.silence.note_frame(gate.ip(), &slot.last_frame);
        let (frames, to_write) = mpsc::unbounded_channel();
        let link = Arc::new(Self {
            vm: gate.ip(),
            incarnation,
            suspicion: Arc::clone(&pool.suspicion),
            directory: Arc::clone(&pool.directory),
            silence: Arc::clone(&pool.silence),
            last_frame: Arc::clone(&slot.last_frame),
            resources: Arc::clone(&pool.resources),
            reported: Mutex::default(),
            frames,
            calls: Mutex::default(),
            last_id: AtomicU64::new(0),
            demand_sent_at: Mutex::default(),
            dead: AtomicBool::new(false),
            unresponsive: AtomicBool::new(false),
            request_sent: tokio::sync::Notify::new(),
            silence_observed: tokio::sync::Notify::new(),
        });
        let notices = send_known_notices(&pool.suspicion, &link.frames, ToGate::Crashes);
        let forwarding = forward_notices(
            Arc::clone(&pool.suspicion),
            notices,
            link.frames.clone(),
            ToGate::Crashes,
        );
        let driver = Arc::clone(&link);
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = driver.read(reader) => ended,
                ended = write_frames(writer, to_write, || {}) => ended,
                () = forwarding => Ok(()),
            };
            if let Err(fault) = ended {
                log::info!("the link to {gate} ended: {fault}");
            }
            driver.end();
        });
        Ok(link)
    }

    pub(super) fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Acquire)
    }

    pub(super) fn is_unresponsive(&self) -> bool {
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
    pub(super) fn must_withhold(&self, request: &LinkRequest) -> bool {
        matches!(request, LinkRequest::Call(_)) && self.is_unresponsive()
    }

    pub(super) fn send(&self, request: LinkRequest, sink: LinkSink) -> CallId {
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
            is_confirmed: false,
            deferred,
            answer: None,
            waiting: None,
        };
        self.calls.lock().insert(id, open);
        self.push(frame);
        self.silence
            .report(&self.reported, |report| self.push(ToGate::Silence(report)));
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

    pub(super) fn cancel(&self, id: CallId) {
        if self.calls.lock().remove(&id).is_some() {
            self.push(ToGate::Cancel { id });
        }
    }

    /// Whether the gate may have received the content of an open call.
    pub(super) fn has_sent_content(&self, id: CallId) -> bool {
        let calls = self.calls.lock();
        calls
            .get(&id)
            .is_none_or(|open| !open.deferred.is_outstanding())
    }

    /// Withdraws a call that the gate has not confirmed. Its content, if it was deferred,
    /// is never sent, since a late request for it finds no open call.
    pub(super) fn withdraw(&self, id: CallId) -> Withdrawal {
        let mut calls = self.calls.lock();
        if calls.get(&id).is_none_or(|open| open.is_confirmed) {
            return Withdrawal::Confirmed;
        }
        calls.remove(&id);
        drop(calls);
        self.push(ToGate::Cancel { id });
        Withdrawal::Withdrawn
    }

    /// Makes the link unresponsive, unless a frame has arrived since this time. Returns
    /// whether it is unresponsive.
    pub(super) fn observe_silence(&self, since: Millis) -> bool {
        if !self.silence.observe(self.vm, &self.last_frame, since) {
            return false;
        }
        self.unresponsive.store(true, Ordering::Release);
        self.silence_observed.notify_one();
        true
    }

    /// Reads frames until the link ends or the gate stays silent for too long.
    ///
    /// After a power loss, a network partition or a process freeze, the link stays
    /// open but nothing arrives, and each call on it would wait for its deadline.
    /// While calls are open, silence is therefore detected in steps (see
    /// [`Liveness`]); an idle link causes no traffic. An unresponsive link is
    /// monitored without open calls too, because it would otherwise stay
    /// unresponsive for ever.
    async fn read(self: &Arc<Self>, mut reader: FrameReader) -> Result<(), LinkFault> {
        let mut liveness = Liveness::Alive(Instant::now());
        loop {
            let is_awaiting = !self.calls.lock().is_empty() || self.is_unresponsive();
            tokio::select! {
                // Received frames take precedence: after a pause of this process, there
                // are frames to read and all timers have expired.
                biased;
                frame = reader.next() => {
                    liveness = Liveness::Alive(Instant::now());
                    let frame = frame?;
                    self.unresponsive.store(false, Ordering::Release);
                    self.silence.note_frame(self.vm, &self.last_frame);
                    self.handle(frame)?;
                }
                () = self.silence_observed.notified() => {
                    liveness = self.ping_if_silent(liveness);
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
                let pinged_ms = Millis::from_duration(at.elapsed());
                let pinged_at = self.silence.now().minus(pinged_ms);
                self.silence.observe(self.vm, &self.last_frame, pinged_at);
                Ok(Liveness::Unresponsive(at))
            }
            Liveness::Unresponsive(_) => Err(LinkFault::Closed),
        }
    }

    /// Pings a gate that is silent by an attempt that it has not confirmed, unless a ping is
    /// under way.
    fn ping_if_silent(&self, liveness: Liveness) -> Liveness {
        if !self.is_unresponsive() {
            return liveness;
        }
        match liveness {
            Liveness::Alive(_) => {
                self.push(ToGate::Ping);
                Liveness::Unresponsive(Instant::now())
            }
            Liveness::Pinged(at) | Liveness::Unresponsive(at) => Liveness::Unresponsive(at),
        }
    }

    fn handle(self: &Arc<Self>, frame: ToEntry) -> Result<(), LinkFault> {
        match frame {
            ToEntry::Hello { .. } | ToEntry::Pong => {}
            ToEntry::Crashes(notice) => self.suspicion.merge_notice(&notice),
            ToEntry::Suspect(_) => {}
            ToEntry::WantsFacts => {
                if let Some(encoded) = self.directory.load().to_facts() {
                    facts::send(encoded, |frame| self.push(frame));
                }
            }
            ToEntry::WantsContent { id } => {
                self.send_deferred(id);
                self.deliver(id, GateEvent::WantsContent);
            }
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
                self.begin_answer(id, head, body_bytes, &part)?;
                self.deliver_if_complete(id);
            }
            ToEntry::Body { id, part } => {
                self.push_part(id, &part)?;
                self.deliver_if_complete(id);
            }
            ToEntry::Ended { id, end } => self.deliver_last(id, GateEvent::Ended(end)),
            ToEntry::Received { id } => self.deliver(id, GateEvent::Received),
            ToEntry::Load { id, load } => self.deliver(id, GateEvent::Load(load)),
            ToEntry::Silence(report) => self.silence.merge(&report),
            // Subscriptions and requests for parts use separate connections.
            ToEntry::Change(_)
            | ToEntry::Progress { .. }
            | ToEntry::ReceivingAnswer
            | ToEntry::FeedUnavailable
            | ToEntry::Part(_)
            | ToEntry::PartsEnd { .. } => {}
        }
        Ok(())
    }

    /// Takes the first part of an answer and requests the rest, once there is memory for it.
    fn begin_answer(
        self: &Arc<Self>,
        id: CallId,
        head: AnswerHead,
        body_bytes: u64,
        part: &Bytes,
    ) -> Result<(), LinkFault> {
        let mut body = PartialBody::new(body_bytes, BODY_PART_BYTES as u64);
        body.push(part)?;
        let mut calls = self.calls.lock();
        let Some(open) = calls.get_mut(&id) else {
            drop(calls);
            if !body.is_complete() {
                // The gate keeps the rest until it is requested or the call is cancelled.
                self.push(ToGate::Cancel { id });
            }
            return Ok(());
        };
        open.is_confirmed = true;
        if !body.is_complete() {
            let link = Arc::clone(self);
            let waiting = tokio::spawn(async move { link.request_rest(id, body_bytes).await });
            open.waiting = Some(MemoryWait(waiting.abort_handle()));
        }
        open.answer = Some((head, body));
        Ok(())
    }

    async fn request_rest(&self, id: CallId, body_bytes: u64) {
        let holding = self.resources.hold_body(body_bytes, ANSWER_PATIENCE);
        let Some(charge) = holding.await else {
            log::warn!("no memory is left for an answer of {body_bytes} bytes");
            self.push(ToGate::Cancel { id });
            return self.deliver_last(id, GateEvent::Ended(CallEnd::Broken));
        };
        let mut calls = self.calls.lock();
        let answer = calls.get_mut(&id).and_then(|open| open.answer.as_mut());
        let Some((_, body)) = answer else {
            return;
        };
        body.permit(Some(charge));
        drop(calls);
        self.push(ToGate::WantsRest { id });
    }

    fn send_deferred(&self, id: CallId) {
        let DeferredContent { head, mut body } = match self.calls.lock().get_mut(&id) {
            Some(open) => {
                open.is_confirmed = true;
                std::mem::take(&mut open.deferred)
            }
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

    fn push_part(&self, id: CallId, part: &Bytes) -> Result<(), LinkFault> {
        let mut calls = self.calls.lock();
        let answer = calls.get_mut(&id).and_then(|open| open.answer.as_mut());
        match answer {
            Some((_, body)) => body.push(part),
            None => Ok(()),
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
        if let Some(open) = self.calls.lock().get_mut(&id) {
            open.is_confirmed = true;
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
            let was_incomplete = open.deferred.is_outstanding();
            let event = match was_incomplete && self.silence.is_enabled() {
                true => LinkEvent::Unreachable,
                false => LinkEvent::Lost(self.incarnation),
            };
            (open.sink)(event);
        }
    }
}
