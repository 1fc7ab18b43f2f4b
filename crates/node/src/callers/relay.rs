//! Relays a gate's answer to the caller.

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
    /// The response for the caller.
    pub response: Response<NodeBody>,
    /// The result code set by the gate.
    pub code: ResultCode,
    /// Time from sending the request to receiving the head of the answer, in
    /// microseconds.
    pub time_to_head_us: u32,
}

/// The outcome of receiving a gate's answer.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The answer is buffered completely, or streams to the caller from now on.
    Answer(Relayed),
    /// The body ended early while it was buffered.
    Truncated,
}

/// Receives a gate's answer. A small answer is buffered completely, so that a
/// truncated one can still be retried and never reaches the caller as complete.
/// A large answer is streamed; if it is truncated, the caller sees a broken
/// connection.
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

/// Buffers up to `buffer_bytes` of the body. A body without a stated length is
/// buffered like any other, because it may be small as well.
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

/// Replaces an answer that cannot be relayed in the caller's HTTP version.
///
/// HTTP/1.0 has no chunked encoding. Without a length, only the close of the
/// connection ends the body, so a truncated body would look complete. An error
/// is better, because it is visible and comes before the first byte.
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

/// The body of a large answer that is streamed to the caller.
///
/// An error of the inner stream is returned as an error, which makes the HTTP
/// server break the caller's connection or stream, so that the failure is
/// visible.
struct StreamedAnswer {
    /// The bytes received before the answer turned out to be large.
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
            return Poll::Ready(Some(Err(
                "the deadline passed before the end of the answer".into(),
            )));
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
