//! One connection of a caller.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use hornbeamhitch_dispatch::resources::limits::{ORDINARY_BODY_BYTES, ORDINARY_REQUEST_BYTES};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::DrainPhase;
use super::phase::ConnectionPhase;
use crate::entry::{
    AnsweredRequest, CallerAnswer, CallerRequest, ConnectionCalls, Entry, ServedAnswer,
};
use crate::http1::{self, HeadFault, HttpReader, ReadFault, RequestHead};
use crate::prelude::*;
use crate::resources::{Charge, ChargedBody, Patience};

/// Maximum number of requests of one connection that are served concurrently.
/// Further ones are not read, so that one caller cannot exhaust the node's memory.
const MAX_PIPELINED: usize = 32;
/// A connection is closed if its caller reads nothing of an answer for this long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection that the node closes waits for the caller to close it too.
const LINGER: Duration = Duration::from_millis(300);

/// The next item to write to the connection.
enum Outgoing {
    /// The interim answer `100 Continue`, which permits sending the body.
    Continue,
    /// An answer, which may not be known yet.
    Answer {
        answer: oneshot::Receiver<ReadyAnswer>,
        /// Whether the request was `HEAD`, so that the answer has no body.
        is_head: bool,
        /// Whether the connection stays open after the answer.
        keep_alive: bool,
    },
}

/// An answer that can be written.
struct ReadyAnswer {
    served: ServedAnswer,
    ready_at: Instant,
    /// The memory of the request and its answer; `None` if the request was not read.
    charge: Option<Charge>,
}

impl ReadyAnswer {
    /// Creates an answer that is ready now.
    fn now(served: ServedAnswer, charge: Option<Charge>) -> Self {
        Self {
            served,
            ready_at: Instant::now(),
            charge,
        }
    }

    /// Memory that is released once the answer is written, in bytes.
    fn held_bytes(&self) -> u64 {
        let body_bytes = self.served.answer.body.len() as u64;
        match body_bytes > ORDINARY_BODY_BYTES {
            true => ORDINARY_REQUEST_BYTES + body_bytes,
            false => ORDINARY_REQUEST_BYTES,
        }
    }
}

/// One connection, from accept to close.
pub(super) struct Connection {
    pub(super) entry: Arc<Entry>,
    pub(super) drain_phase: watch::Receiver<DrainPhase>,
    /// Address of the caller.
    pub(super) peer: IpAddr,
    /// What the connection does.
    pub(super) phase: Arc<ConnectionPhase>,
}

/// Why no further request is read.
enum Stop {
    /// The last request was read, but not all answers have been written.
    AnswersDue,
    /// The caller has disconnected, so answers are of no use.
    CallerLeft,
}

impl Connection {
    /// Serves requests until either side ends the connection, or it is closed for others.
    pub(super) async fn serve(self, stream: TcpStream) {
        let phase = Arc::clone(&self.phase);
        tokio::select! {
            // A request that arrives when the connection closes is left unread, so that its
            // caller knows that it may be sent again.
            biased;
            () = phase.registration().must_close() => {}
            () = self.serve_requests(stream) => {}
        }
    }

    async fn serve_requests(self, stream: TcpStream) {
        let (reader, writer) = stream.into_split();
        let (outgoing, to_write) = mpsc::channel(MAX_PIPELINED);
        let mut request_reader = RequestReader {
            entry: Arc::clone(&self.entry),
            drain_phase: self.drain_phase.clone(),
            peer: self.peer,
            reader: HttpReader::new(reader),
            outgoing,
            phase: Arc::clone(&self.phase),
            calls: JoinSet::new(),
            open_calls: ConnectionCalls::default(),
        };
        let answer_writer = AnswerWriter {
            entry: self.entry,
            writer,
            phase: self.phase,
            previous: AnsweredRequest::default(),
        };
        let writing = answer_writer.run(to_write);
        let mut writing = std::pin::pin!(writing);
        let stop = tokio::select! {
            stop = request_reader.run() => stop,
            () = &mut writing => return,
        };
        if matches!(stop, Stop::CallerLeft) {
            // Dropping the calls cancels their work.
            return;
        }
        let RequestReader {
            outgoing,
            mut reader,
            calls,
            ..
        } = request_reader;
        drop(outgoing);
        let mut until_closed = std::pin::pin!(reader.discard_rest());
        tokio::select! {
            () = &mut writing => {}
            () = &mut until_closed => return,
        }
        drop(calls);
        // Closing with unread bytes resets the connection, and the caller may lose
        // the last answer. Therefore reads and discards for a moment what it sends.
        let _ = tokio::time::timeout(LINGER, until_closed).await;
    }
}

/// The reading side of a connection.
struct RequestReader {
    entry: Arc<Entry>,
    drain_phase: watch::Receiver<DrainPhase>,
    peer: IpAddr,
    reader: HttpReader<OwnedReadHalf>,
    outgoing: mpsc::Sender<Outgoing>,
    phase: Arc<ConnectionPhase>,
    /// Calls in flight; dropping them cancels them.
    calls: JoinSet<()>,
    /// Those calls in the order of their requests.
    open_calls: ConnectionCalls,
}

impl RequestReader {
    async fn run(&mut self) -> Stop {
        loop {
            match self.wait_for_request().await {
                Ok(true) => {}
                Ok(false) => return Stop::AnswersDue,
                Err(_) => return Stop::CallerLeft,
            }
            // A caller's deadline counts from the first byte of its request. Counted
            // from the complete head, a slow head would let the target work beyond
            // the time that the caller waits.
            let arrived = self.entry.now();
            self.phase.begin_request();
            let limits = self.entry.caller_limits();
            let head_timeout = limits.header_timeout_ms.to_duration();
            let reading = self.reader.request_head(limits.header_bytes);
            let head = match tokio::time::timeout(head_timeout, reading).await {
                Ok(Ok(head)) => head,
                Ok(Err(fault)) => return self.refuse(&fault).await,
                Err(_) => return self.answer_and_stop(CallerAnswer::plain(408, "head")).await,
            };
            match self.accept_request(head, arrived, &limits).await {
                Ok(true) => {}
                Ok(false) => return Stop::AnswersDue,
                Err(stop) => return stop,
            }
            while self.calls.try_join_next().is_some() {}
        }
    }

    /// Waits for the first byte of a request. Returns false if no more requests are
    /// read, because the connection was idle for too long or the node is closing.
    async fn wait_for_request(&mut self) -> Result<bool, ReadFault> {
        loop {
            let idle_timeout = self.entry.caller_limits().idle_timeout_ms;
            tokio::select! {
                // A request that has arrived is served even if the node is closing.
                biased;
                read = self.reader.wait_for_bytes() => {
                    read?;
                    return Ok(true);
                }
                _ = self.drain_phase.wait_for(|drain_phase| *drain_phase == DrainPhase::Closing) => {
                    return Ok(false);
                }
                () = tokio::time::sleep(idle_timeout.to_duration()) => {}
            }
            if self.phase.is_answered() {
                return Ok(false);
            }
        }
    }

    /// Reads the body and starts the call. Returns false if this was the last request
    /// of the connection.
    async fn accept_request(
        &mut self,
        head: RequestHead,
        arrived: Millis,
        limits: &CallerLimits,
    ) -> Result<bool, Stop> {
        let framing = match head.framing() {
            Ok(framing) => framing,
            Err(fault) => return Err(self.refuse(&fault.into()).await),
        };
        if head.expects_continue() && self.outgoing.send(Outgoing::Continue).await.is_err() {
            return Err(Stop::CallerLeft);
        }
        let body_timeout = self.entry.body_timeout_ms(&head).to_duration();
        let resources = self.entry.resources();
        let Some(charge) = resources.hold_request(Patience::Relief).await else {
            return Err(self.refuse(&ReadFault::NoRoom).await);
        };
        let memory = ChargedBody::new(resources, Patience::Relief);
        let memory = memory.from_connection(self.phase.registration());
        let reading = self.reader.body_within(framing, limits.body_bytes, memory);
        let body = match tokio::time::timeout(body_timeout, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(fault)) => return Err(self.refuse(&fault).await),
            Err(_) => {
                let answer = CallerAnswer::plain(408, "body");
                return Err(self.answer_and_stop(answer).await);
            }
        };
        // During shutdown, the next request that is read is the last one of its
        // connection. Pipelined requests behind it stay unread, and the caller retries
        // them on another node.
        let keep_alive =
            head.keeps_connection() && *self.drain_phase.borrow() == DrainPhase::Serving;
        let (sender, answer) = oneshot::channel();
        let outgoing = Outgoing::Answer {
            answer,
            is_head: head.method == "HEAD",
            keep_alive,
        };
        self.phase.end_request();
        if self.outgoing.send(outgoing).await.is_err() {
            return Err(Stop::CallerLeft);
        }
        let request = CallerRequest {
            head,
            body,
            arrived,
            peer: self.peer,
            on_connection: self.open_calls.open(),
        };
        self.start(request, charge, sender);
        Ok(keep_alive)
    }

    fn start(
        &mut self,
        request: CallerRequest,
        charge: Charge,
        sender: oneshot::Sender<ReadyAnswer>,
    ) {
        let entry = Arc::clone(&self.entry);
        let phase = Arc::clone(&self.phase);
        self.calls.spawn(async move {
            let served = entry.serve(request).await;
            let ready = ReadyAnswer::now(served, Some(charge));
            phase.registration().add_held(ready.held_bytes());
            // Sending fails if the connection has ended in the meantime.
            let _ = sender.send(ready);
        });
    }

    /// Answers a request that could not be read and ends the connection.
    async fn refuse(&mut self, fault: &ReadFault) -> Stop {
        let answer = match fault {
            ReadFault::Closed | ReadFault::Truncated | ReadFault::Io(_) => return Stop::CallerLeft,
            ReadFault::Head(HeadFault::TooLarge) => CallerAnswer::plain(431, "head too large"),
            ReadFault::Head(fault) => CallerAnswer::plain(400, &fault.to_string()),
            ReadFault::BodyTooLarge => CallerAnswer::plain(413, "body too large"),
            ReadFault::NoRoom => self.entry.memory_exhausted(),
        };
        log::info!("rejected a request that could not be read: {fault}");
        self.answer_and_stop(answer).await
    }

    /// Queues the answer to the last request of the connection behind the earlier ones.
    async fn answer_and_stop(&mut self, answer: CallerAnswer) -> Stop {
        let (sender, receiver) = oneshot::channel();
        let request = AnsweredRequest::default();
        let _ = sender.send(ReadyAnswer::now(ServedAnswer { answer, request }, None));
        let outgoing = Outgoing::Answer {
            answer: receiver,
            is_head: false,
            keep_alive: false,
        };
        self.phase.end_request();
        match self.outgoing.send(outgoing).await {
            Ok(()) => Stop::AnswersDue,
            Err(_) => Stop::CallerLeft,
        }
    }
}

/// The writing side of a connection.
struct AnswerWriter {
    entry: Arc<Entry>,
    writer: OwnedWriteHalf,
    phase: Arc<ConnectionPhase>,
    /// The request that was answered last.
    previous: AnsweredRequest,
}

impl AnswerWriter {
    /// Writes answers in the order of their requests.
    ///
    /// The connection is closed only after the answer to the last request that was read,
    /// so every request that was sent to a target gets its answer.
    async fn run(mut self, mut to_write: mpsc::Receiver<Outgoing>) {
        while let Some(outgoing) = to_write.recv().await {
            let is_written = match outgoing {
                Outgoing::Continue => self.write(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await,
                Outgoing::Answer {
                    answer,
                    is_head,
                    keep_alive,
                } => {
                    // The call ended without an answer, so the connection is closed.
                    let Ok(ready) = answer.await else {
                        return;
                    };
                    self.write_answer(ready, is_head, keep_alive).await
                }
            };
            if !is_written {
                return;
            }
        }
        // Closes only the sending side; the last bytes may still be in transit.
        let _ = self.writer.shutdown().await;
    }

    /// Writes an answer. Returns false if the connection is broken.
    async fn write_answer(&mut self, ready: ReadyAnswer, is_head: bool, keep_alive: bool) -> bool {
        self.phase.begin_answer();
        let held_bytes = ready.held_bytes();
        let ReadyAnswer {
            served: ServedAnswer { answer, request },
            ready_at,
            charge,
        } = ready;
        let body = (!is_head).then_some(answer.body);
        let encoded = http1::response(answer.status, &answer.fields, body, !keep_alive);
        if !self.write(encoded.into_buf()).await {
            return false;
        }
        if charge.is_some() {
            self.phase.registration().remove_held(held_bytes);
        }
        self.phase.end_answer();
        let held = ready_at.elapsed();
        self.entry.record_held(&request, &self.previous, held);
        self.previous = request;
        true
    }

    /// Writes bytes. Returns false if the connection is broken or its caller reads nothing.
    async fn write(&mut self, mut bytes: impl Buf) -> bool {
        let mut written_bytes = 0;
        while bytes.has_remaining() {
            let writing = self.writer.write_buf(&mut bytes);
            match tokio::time::timeout(WRITE_TIMEOUT, writing).await {
                Ok(Ok(count)) if count > 0 => written_bytes += count as u64,
                _ => return false,
            }
            if bytes.has_remaining() {
                self.phase.registration().set_moved(written_bytes);
            }
        }
        true
    }
}
