//! Passing a gate's answer on to the caller.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hornbeamhitch_core::entry::AttemptEnd;
use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::header;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::entries::AttemptGuard;
use crate::answer;
use crate::body::{self, BodyError, BodyPrefix, NodeBody};

/// A gate's answer that is ready for the caller.
#[derive(Debug)]
pub struct Relayed {
    /// The answer.
    pub response: Response<NodeBody>,
    /// Result code that the gate wrote.
    pub code: ResultCode,
    /// Time from sending to the head of the gate's answer, in microseconds.
    pub time_to_head_us: u32,
}

/// How a gate's answer was taken in.
#[derive(Debug)]
pub enum RelayOutcome {
    /// Whole in hand, or streaming to the caller from here on.
    Answer(Relayed),
    /// The body was cut while it was taken in.
    Truncated,
}

/// Takes in a gate's answer: small ones whole, so that a cut one can still be
/// retried and never reaches the caller as whole; large ones as a stream whose
/// cut the caller sees as a broken connection.
pub async fn receive(
    response: Response<Incoming>,
    mut attempt: AttemptGuard,
    buffer_bytes: u64,
    deadline: tokio::time::Instant,
) -> RelayOutcome {
    let (mut head, mut incoming) = response.into_parts();
    let load = answer::text(&head.headers, header::LOAD).and_then(|text| text.parse().ok());
    let time_to_head_us = attempt.note_head(load);
    let code = answer::code_of(&head.headers).unwrap_or(ResultCode::Answered);
    head.headers.remove(header::LOAD);
    answer::strip_hop_by_hop(&mut head.headers);
    let end = attempt_end(code, &head);
    let body = match read_prefix(&mut incoming, buffer_bytes).await {
        Ok(BodyPrefix::Whole(bytes)) => {
            attempt.end(end);
            body::full(bytes)
        }
        Ok(BodyPrefix::Partial(prefix)) => StreamedAnswer {
            prefix: Some(prefix).filter(|prefix| !prefix.is_empty()),
            inner: incoming,
            attempt: Some(attempt),
            end,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
        }
        .boxed_unsync(),
        Err(_) => {
            attempt.end(AttemptEnd::Broken);
            return RelayOutcome::Truncated;
        }
    };
    RelayOutcome::Answer(Relayed {
        response: Response::from_parts(head, body),
        code,
        time_to_head_us,
    })
}

/// Takes in what an entry buffers. A body without a stated length is buffered
/// like any other: it may be small as well.
async fn read_prefix(
    incoming: &mut Incoming,
    buffer_bytes: u64,
) -> Result<BodyPrefix, body::CollectError> {
    let stated = incoming.size_hint().exact();
    if stated.is_some_and(|length| length > buffer_bytes) {
        return Ok(BodyPrefix::Partial(Bytes::new()));
    }
    body::read_prefix(incoming, buffer_bytes).await
}

/// Replaces an answer that cannot be passed on in the caller's version.
///
/// HTTP/1.0 has no chunks. Without a length only the close of the connection
/// ends the body, so one that is cut on its way would look whole. A visible
/// failure is better; it comes before the first byte.
pub fn fit_to_version(version: http::Version, response: Response<NodeBody>) -> Response<NodeBody> {
    let has_length = response.body().size_hint().exact().is_some();
    if version > http::Version::HTTP_10 || has_length {
        return response;
    }
    answer::from_code(
        ResultCode::AttemptsFailed,
        "the answer has no length, and HTTP/1.0 cannot tell its end from a cut",
    )
}

fn attempt_end(code: ResultCode, head: &http::response::Parts) -> AttemptEnd {
    match code.certainty() {
        Certainty::Answered => AttemptEnd::Answered {
            failed: head.status.is_server_error(),
        },
        Certainty::Unknown if code == ResultCode::DeadlinePassed => AttemptEnd::TimedOut,
        Certainty::Unknown => AttemptEnd::Broken,
        _ => AttemptEnd::Refused(answer::refusal_of(&head.headers, code)),
    }
}

/// A large answer on its way to the caller.
///
/// An error of the inner stream is passed on as an error, which makes the HTTP
/// server break the caller's connection or stream: a visible failure.
struct StreamedAnswer {
    /// What was taken in before the answer proved to be long.
    prefix: Option<Bytes>,
    inner: Incoming,
    attempt: Option<AttemptGuard>,
    end: AttemptEnd,
    deadline: Pin<Box<tokio::time::Sleep>>,
}

impl StreamedAnswer {
    fn finish(&mut self, end: AttemptEnd) {
        if let Some(attempt) = self.attempt.take() {
            attempt.end(end);
        }
    }
}

impl Body for StreamedAnswer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            self.finish(AttemptEnd::TimedOut);
            return Poll::Ready(Some(Err("the deadline passed within the answer".into())));
        }
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        match frame {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(error)) => {
                self.finish(AttemptEnd::Broken);
                Poll::Ready(Some(Err(error.into())))
            }
            None => {
                let end = self.end;
                self.finish(end);
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.prefix {
            Some(_) => SizeHint::default(),
            None => self.inner.size_hint(),
        }
    }
}
