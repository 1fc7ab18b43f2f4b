//! Serves idempotent calls at the gate: streams them, and cancels them when the
//! entry disconnects.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::Bytes;
use hornbeamhitch_core::gate::{Arrival, RunEnd};
use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::header;
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::GateServer;
use super::board::{Admission, RunPermit};
use super::call::GateCall;
use crate::answer;
use crate::body::{BodyError, NodeBody};
use crate::fingerprint;
use crate::peers::SendFailure;
use crate::target_client::InUse;

/// Admits a call, runs it and streams its answer.
pub(super) async fn serve(
    server: &Arc<GateServer>,
    call: GateCall,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    let arrival = Arrival {
        class: call.class,
        deadline_at: call.deadline_at,
        ticket: None,
        digest: 0,
        fingerprint: fingerprint_of(&request),
    };
    if request.headers().contains_key(header::SUSPECT) {
        server.report_suspect(arrival.fingerprint);
    }
    let permit = match server.board.arrive(&arrival) {
        Admission::Run(permit) => permit,
        Admission::Queued(queued) => match queued.wait().await {
            Ok(permit) => permit,
            Err(refusal) => return answer::from_refusal(&refusal),
        },
        Admission::Refused(refusal) => return answer::from_refusal(&refusal),
    };
    let deadline = server.clock.to_instant(call.deadline_at);
    match tokio::time::timeout_at(deadline, run(server, &call, permit, request)).await {
        Ok(response) => response,
        Err(_) => answer::from_code(
            ResultCode::DeadlinePassed,
            "the deadline passed in the target",
        ),
    }
}

async fn run(
    server: &Arc<GateServer>,
    call: &GateCall,
    permit: RunPermit,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    let (parts, body) = request.into_parts();
    let request = server.request_for_target(call, None, parts, body);
    let sent_at = Instant::now();
    let (response, connection) = match server.target.send(request, false).await {
        Ok(answered) => answered,
        Err(SendFailure::NotSent(reason)) => {
            log::warn!("the target cannot be reached: {reason}");
            permit.end(RunEnd::Unreachable);
            server.set_target_reachable(false);
            return answer::from_refusal(&server.board.refusal(ResultCode::NoTarget));
        }
        Err(SendFailure::MaybeSent(reason)) => {
            log::info!("the exchange with the target failed during a run: {reason}");
            server.handle_broken_run().await;
            permit.end(RunEnd::Broken);
            return answer::from_code(ResultCode::RunBroken, "the target broke the connection");
        }
    };
    server.note_added_latency(call.arrived_at, sent_at.elapsed());
    server.note_target_state(response.headers());
    if super::is_not_run(response.status(), response.headers()) {
        permit.end(RunEnd::NotRun);
        server.target.put_back(connection);
        return answer::from_refusal(&server.board.refusal(ResultCode::Overloaded));
    }
    if super::ends_by_close(&response) {
        permit.end(RunEnd::Broken);
        return answer::from_code(
            ResultCode::RunBroken,
            "the answer's end cannot be told from a cut",
        );
    }
    relay(server, permit, connection, response)
}

fn relay(
    server: &Arc<GateServer>,
    permit: RunPermit,
    connection: InUse,
    response: Response<Incoming>,
) -> Response<NodeBody> {
    let (mut head, body) = response.into_parts();
    let failed = head.status.is_server_error();
    answer::strip_hop_by_hop(&mut head.headers);
    answer::mark(&mut head.headers, ResultCode::Answered);
    let mut body = RunBody {
        server: Arc::clone(server),
        inner: body,
        in_use: Some((permit, connection)),
        failed,
    };
    if body.inner.is_end_stream() {
        body.complete();
    }
    Response::from_parts(head, body.boxed_unsync())
}

/// The body of the target's answer, streamed to the entry. It keeps its slot in
/// the target until the last byte. Dropping it early closes the connection,
/// which cancels the run in the target.
struct RunBody {
    server: Arc<GateServer>,
    inner: Incoming,
    in_use: Option<(RunPermit, InUse)>,
    failed: bool,
}

impl RunBody {
    fn complete(&mut self) {
        let Some((permit, connection)) = self.in_use.take() else {
            return;
        };
        self.server.target.put_back(connection);
        permit.end(RunEnd::Answered {
            answer: None,
            failed: self.failed,
        });
    }

    fn fail(&mut self) {
        let Some((permit, _connection)) = self.in_use.take() else {
            return;
        };
        let server = Arc::clone(&self.server);
        tokio::spawn(async move {
            server.handle_broken_run().await;
            permit.end(RunEnd::Broken);
        });
    }
}

impl Body for RunBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        match frame {
            Some(Ok(frame)) => {
                if self.inner.is_end_stream() {
                    self.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.fail();
                Poll::Ready(Some(Err(error.into())))
            }
            None => {
                self.complete();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

fn fingerprint_of(request: &Request<NodeBody>) -> u64 {
    let path = request.uri().path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    fingerprint::of_request(request.method(), path, request.headers())
}
