//! One caller's connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

use super::Leaving;
use crate::entry::{CallerAnswer, CallerRequest, Entry};
use crate::http1::{self, HeadFault, HttpReader, ReadFault, RequestHead};
use crate::prelude::*;

/// Requests of one connection that are answered at the same time. Further ones
/// stay unread, so that a caller cannot fill the node.
const MAX_PIPELINED: usize = 32;
/// A caller that does not read its answer for this long is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection that was ended from here waits for the caller's close.
const LINGER: Duration = Duration::from_millis(300);

/// What is written next on the connection.
enum Outgoing {
    /// Leave to send the body.
    Continue,
    /// An answer, when it is there.
    Answer {
        answer: oneshot::Receiver<CallerAnswer>,
        is_head: bool,
        keeps: bool,
    },
}

/// One connection from its first byte to its last.
pub(super) struct Connection {
    pub(super) entry: Arc<Entry>,
    pub(super) leaving: watch::Receiver<Leaving>,
}

/// Why no further request is read.
enum Stop {
    /// The caller's last request was read; its answers are still due.
    AnswersDue,
    /// The caller has left; nobody reads answers.
    CallerLeft,
}

impl Connection {
    /// Serves requests until either side ends the connection.
    pub(super) async fn serve(self, stream: TcpStream) {
        let (reader, writer) = stream.into_split();
        let (outgoing, to_write) = mpsc::channel(MAX_PIPELINED);
        let unanswered = Arc::new(AtomicUsize::new(0));
        let mut reading = Reading {
            entry: self.entry,
            leaving: self.leaving.clone(),
            reader: HttpReader::new(reader),
            outgoing,
            unanswered: Arc::clone(&unanswered),
            calls: JoinSet::new(),
        };
        let writing = write_answers(writer, to_write, unanswered);
        let mut writing = std::pin::pin!(writing);
        let stop = tokio::select! {
            stop = reading.run() => stop,
            () = &mut writing => return,
        };
        if matches!(stop, Stop::CallerLeft) {
            // Dropping the calls cancels them: work for nobody is stopped.
            return;
        }
        let Reading {
            outgoing,
            mut reader,
            calls,
            ..
        } = reading;
        drop(outgoing);
        let mut until_closed = std::pin::pin!(reader.discard_rest());
        tokio::select! {
            () = &mut writing => {}
            () = &mut until_closed => return,
        }
        drop(calls);
        // Closing with bytes unread resets the connection, and the caller may
        // lose the last answer. So what it still sends is read for a moment.
        let _ = tokio::time::timeout(LINGER, until_closed).await;
    }
}

/// The reading side of a connection.
struct Reading {
    entry: Arc<Entry>,
    leaving: watch::Receiver<Leaving>,
    reader: HttpReader<OwnedReadHalf>,
    outgoing: mpsc::Sender<Outgoing>,
    /// Requests read whose answers are not written.
    unanswered: Arc<AtomicUsize>,
    /// Calls in hand; dropped, they are cancelled.
    calls: JoinSet<()>,
}

impl Reading {
    async fn run(&mut self) -> Stop {
        loop {
            match self.wait_for_request().await {
                Ok(true) => {}
                Ok(false) => return Stop::AnswersDue,
                Err(_) => return Stop::CallerLeft,
            }
            // A caller's deadline runs from its first byte. Counted from the whole
            // head, one that comes slowly would give its target more time than
            // the caller waits, and the work would be for nobody.
            let arrived = self.entry.now();
            let limits = self.entry.caller_limits();
            let head_timeout = limits.header_timeout_ms.to_duration();
            let reading = self.reader.request_head(limits.header_bytes);
            let head = match tokio::time::timeout(head_timeout, reading).await {
                Ok(Ok(head)) => head,
                Ok(Err(fault)) => return self.refuse(&fault).await,
                Err(_) => return self.answer_and_stop(CallerAnswer::plain(408, "head")).await,
            };
            match self.take_request(head, arrived, &limits).await {
                Ok(true) => {}
                Ok(false) => return Stop::AnswersDue,
                Err(stop) => return stop,
            }
            while self.calls.try_join_next().is_some() {}
        }
    }

    /// Waits for the first byte of a request; false when none is read any more
    /// because the connection has rested too long or the node closes.
    async fn wait_for_request(&mut self) -> Result<bool, ReadFault> {
        loop {
            let idle_timeout = self.entry.caller_limits().idle_timeout_ms;
            tokio::select! {
                // A request that has come is served, whatever else is due.
                biased;
                read = self.reader.wait_for_bytes() => {
                    read?;
                    return Ok(true);
                }
                _ = self.leaving.wait_for(|leaving| *leaving == Leaving::Closing) => {
                    return Ok(false);
                }
                () = tokio::time::sleep(idle_timeout.to_duration()) => {}
            }
            if self.unanswered.load(Ordering::Acquire) == 0 {
                return Ok(false);
            }
        }
    }

    /// Reads the body and starts the call; false when it was the last one.
    async fn take_request(
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
        // While the node leaves, the first request that is read is the last one
        // of its connection; what was sent behind it stays unread and is sent
        // again elsewhere.
        let keeps = head.keeps_connection() && *self.leaving.borrow() == Leaving::Not;
        let (sender, answer) = oneshot::channel();
        let outgoing = Outgoing::Answer {
            answer,
            is_head: head.method == "HEAD",
            keeps,
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
                reservation,
            },
            sender,
        );
        Ok(keeps)
    }

    fn start(&mut self, request: CallerRequest, sender: oneshot::Sender<CallerAnswer>) {
        let entry = Arc::clone(&self.entry);
        self.calls.spawn(async move {
            let answer = entry.serve(request).await;
            // The connection may have ended meanwhile; then nobody waits.
            let _ = sender.send(answer);
        });
    }

    async fn refuse(&mut self, fault: &ReadFault) -> Stop {
        let answer = match fault {
            ReadFault::Closed | ReadFault::Truncated | ReadFault::Io(_) => return Stop::CallerLeft,
            ReadFault::Head(HeadFault::TooLarge) => CallerAnswer::plain(431, "head too large"),
            ReadFault::Head(fault) => CallerAnswer::plain(400, &fault.to_string()),
            ReadFault::BodyTooLarge => CallerAnswer::plain(413, "body too large"),
            ReadFault::NoRoom => self.entry.no_room(),
        };
        log::info!("a request was refused: {fault}");
        self.answer_and_stop(answer).await
    }

    /// Answers the last request of the connection, behind those before it.
    async fn answer_and_stop(&mut self, answer: CallerAnswer) -> Stop {
        let (sender, receiver) = oneshot::channel();
        let _ = sender.send(answer);
        let outgoing = Outgoing::Answer {
            answer: receiver,
            is_head: false,
            keeps: false,
        };
        self.unanswered.fetch_add(1, Ordering::AcqRel);
        match self.outgoing.send(outgoing).await {
            Ok(()) => Stop::AnswersDue,
            Err(_) => Stop::CallerLeft,
        }
    }
}

/// Writes answers in the order of their requests.
///
/// The connection ends only behind the answer to the last request that was
/// read: a request that was passed on is never left without its answer.
async fn write_answers(
    mut writer: OwnedWriteHalf,
    mut to_write: mpsc::Receiver<Outgoing>,
    unanswered: Arc<AtomicUsize>,
) {
    while let Some(outgoing) = to_write.recv().await {
        let bytes = match outgoing {
            Outgoing::Continue => Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"),
            Outgoing::Answer {
                answer,
                is_head,
                keeps,
            } => {
                // A call that ended without an answer ends the connection.
                let Ok(answer) = answer.await else {
                    return;
                };
                unanswered.fetch_sub(1, Ordering::AcqRel);
                let closes = !keeps;
                let body = (!is_head).then_some(answer.body.as_ref());
                http1::response_bytes(answer.status, &answer.fields, body, closes).freeze()
            }
        };
        let writing = writer.write_all(&bytes);
        match tokio::time::timeout(WRITE_TIMEOUT, writing).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
    // The callers' kernel may still have to fetch what was written last.
    let _ = writer.shutdown().await;
}
