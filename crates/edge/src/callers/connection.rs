//! One connection of a caller.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::DrainPhase;
use crate::entry::{
    AnsweredRequest, CallerAnswer, CallerRequest, ConnectionCalls, Entry, ServedAnswer,
};
use crate::http1::{self, HeadFault, HttpReader, ReadFault, RequestHead};
use crate::prelude::*;

/// Maximum number of requests of one connection that are served concurrently.
/// Further ones are not read, so that one caller cannot exhaust the node's memory.
const MAX_PIPELINED: usize = 32;
/// A connection is closed if writing one answer takes longer than this.
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
}

impl ReadyAnswer {
    /// Creates an answer that is ready now.
    fn now(served: ServedAnswer) -> Self {
        Self {
            served,
            ready_at: Instant::now(),
        }
    }
}

/// One connection, from accept to close.
pub(super) struct Connection {
    pub(super) entry: Arc<Entry>,
    pub(super) drain_phase: watch::Receiver<DrainPhase>,
    /// Address of the caller.
    pub(super) peer: IpAddr,
}

/// Why no further request is read.
enum Stop {
    /// The last request was read, but not all answers have been written.
    AnswersDue,
    /// The caller has disconnected, so answers are of no use.
    CallerLeft,
}

impl Connection {
    /// Serves requests until either side ends the connection.
    pub(super) async fn serve(self, stream: TcpStream) {
        let (reader, writer) = stream.into_split();
        let (outgoing, to_write) = mpsc::channel(MAX_PIPELINED);
        let unanswered = Arc::new(AtomicUsize::new(0));
        let mut request_reader = RequestReader {
            entry: Arc::clone(&self.entry),
            drain_phase: self.drain_phase.clone(),
            peer: self.peer,
            reader: HttpReader::new(reader),
            outgoing,
            unanswered: Arc::clone(&unanswered),
            calls: JoinSet::new(),
            open_calls: ConnectionCalls::default(),
        };
        let answer_writer = AnswerWriter {
            entry: self.entry,
            writer,
            unanswered,
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
    /// Number of requests that were read and not answered yet.
    unanswered: Arc<AtomicUsize>,
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
            if self.unanswered.load(Ordering::Acquire) == 0 {
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
        let mut reservation = self.entry.reserve_body();
        let reading = self
            .reader
            .body_within(framing, limits.body_bytes, |bytes| {
                reservation.grow_to(bytes)
            });
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
        self.unanswered.fetch_add(1, Ordering::AcqRel);
        if self.outgoing.send(outgoing).await.is_err() {
            return Err(Stop::CallerLeft);
        }
        self.start(
            CallerRequest {
                head,
                body,
                arrived,
                peer: self.peer,
                reservation,
                on_connection: self.open_calls.open(),
            },
            sender,
        );
        Ok(keep_alive)
    }

    fn start(&mut self, request: CallerRequest, sender: oneshot::Sender<ReadyAnswer>) {
        let entry = Arc::clone(&self.entry);
        self.calls.spawn(async move {
            let served = entry.serve(request).await;
            // Sending fails if the connection has ended in the meantime.
            let _ = sender.send(ReadyAnswer::now(served));
        });
    }

    /// Answers a request that could not be read and ends the connection.
    async fn refuse(&mut self, fault: &ReadFault) -> Stop {
        let answer = match fault {
            ReadFault::Closed | ReadFault::Truncated | ReadFault::Io(_) => return Stop::CallerLeft,
            ReadFault::Head(HeadFault::TooLarge) => CallerAnswer::plain(431, "head too large"),
            ReadFault::Head(fault) => CallerAnswer::plain(400, &fault.to_string()),
            ReadFault::BodyTooLarge => CallerAnswer::plain(413, "body too large"),
            ReadFault::NoRoom => self.entry.body_memory_exhausted(),
        };
        log::info!("rejected a request that could not be read: {fault}");
        self.answer_and_stop(answer).await
    }

    /// Queues the answer to the last request of the connection behind the earlier ones.
    async fn answer_and_stop(&mut self, answer: CallerAnswer) -> Stop {
        let (sender, receiver) = oneshot::channel();
        let request = AnsweredRequest::default();
        let _ = sender.send(ReadyAnswer::now(ServedAnswer { answer, request }));
        let outgoing = Outgoing::Answer {
            answer: receiver,
            is_head: false,
            keep_alive: false,
        };
        self.unanswered.fetch_add(1, Ordering::AcqRel);
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
    /// Number of requests that were read and not answered yet.
    unanswered: Arc<AtomicUsize>,
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
                Outgoing::Continue => self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await,
                Outgoing::Answer {
                    answer,
                    is_head,
                    keep_alive,
                } => {
                    // The call ended without an answer, so the connection is closed.
                    let Ok(ready) = answer.await else {
                        return;
                    };
                    self.unanswered.fetch_sub(1, Ordering::AcqRel);
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
        let ServedAnswer { answer, request } = ready.served;
        let body = (!is_head).then_some(answer.body.as_ref());
        let bytes = http1::response_bytes(answer.status, &answer.fields, body, !keep_alive);
        if !self.write(&bytes).await {
            return false;
        }
        let held = ready.ready_at.elapsed();
        self.entry.record_held(&request, &self.previous, held);
        self.previous = request;
        true
    }

    /// Writes bytes. Returns false if the connection is broken or its caller reads nothing.
    async fn write(&mut self, bytes: &[u8]) -> bool {
        let writing = self.writer.write_all(bytes);
        matches!(
            tokio::time::timeout(WRITE_TIMEOUT, writing).await,
            Ok(Ok(()))
        )
    }
}
