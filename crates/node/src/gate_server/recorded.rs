//! Serves ticketed calls at the gate: runs them at most once and answers
//! repeats from the record.

use std::sync::Arc;

use bytes::Bytes;
use hornbeamhitch_core::gate::{Arrival, RunEnd, Settlement, StoredAnswer, StoredHeader};
use hornbeamhitch_core::prelude::*;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use super::GateServer;
use super::board::{Admission, KeyState, RecordedAdmission, RunPermit};
use super::call::GateCall;
use crate::answer;
use crate::body::{self, CollectError, NodeBody};
use crate::peers::SendFailure;
use crate::uploads::{BufferedUpload, Reservation};

/// How long a run may continue after its caller's deadline. It is better to
/// finish a payment that is running and let the caller fetch its answer later
/// than to abort it with an unknown outcome.
const RUN_GRACE_MS: Millis = Millis::from_secs(30);
/// Larger answers are treated as broken; no caller of a non-idempotent call
/// needs them.
const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Delay after which a caller should fetch the answer of a run that is still in
/// progress.
const STILL_RUNNING_RETRY_MS: Millis = Millis(200);

/// Serves one ticketed call according to its record.
pub(super) async fn serve(
    server: &Arc<GateServer>,
    call: GateCall,
    ticket: &Ticket,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    let (parts, body) = request.into_parts();
    let max_bytes = call.policy.max_request_bytes;
    let BufferedUpload { body, reservation } = match server.uploads.buffer(body, max_bytes).await {
        Ok(buffered) => buffered,
        Err(CollectError::TooLarge) => return refuse_too_large(server, ticket),
        Err(CollectError::Truncated) => {
            return answer::from_code(ResultCode::UploadCut, "the upload ended early");
        }
        // Nothing was recorded, so the result is "not yet" and never "not run".
        Err(CollectError::BudgetExhausted) => {
            let refusal = server.board.refusal(ResultCode::RecordsFull);
            return answer::from_refusal(&refusal);
        }
    };
    let digest = digest(&parts, &body);
    let arrival = Arrival {
        class: call.class,
        deadline_at: call.deadline_at,
        ticket: Some(ticket),
        digest,
        // The fingerprint covers the content without the key, so that the
        // suspicion also applies when a caller resends the same content under a
        // new key.
        fingerprint: digest,
    };
    let deadline_at = call.deadline_at;
    let settled = match server.board.arrive_recorded(&arrival) {
        RecordedAdmission::First { admission, settled } => {
            let run = RecordedRun {
                server: Arc::clone(server),
                call,
                ticket: ticket.clone(),
                parts,
                body,
                _reservation: reservation,
            };
            return run_first_arrival(run, admission, settled, deadline_at).await;
        }
        RecordedAdmission::Joined(settled) => settled,
        RecordedAdmission::Replay(answer) => return replay(&answer, ResultCode::Replayed),
        RecordedAdmission::Refused(refusal) => return answer::from_refusal(&refusal),
    };
    await_settlement(server, settled, deadline_at).await
}

/// Refuses a body above the limit. "Not run" is only true once the key is
/// fenced: an earlier send under the ticket may have run, or a late one may
/// still arrive.
///
/// If the key has run, it may have run with this very body, before a new
/// configuration lowered the limit. The body is not read to its end, so this
/// cannot be determined. In that case only this attempt is refused.
fn refuse_too_large(server: &GateServer, ticket: &Ticket) -> Response<NodeBody> {
    let is_fenced = match server.board.fence(ticket) {
        KeyState::Settled(Settlement::Refused(refusal)) => {
            refusal.code.certainty() == Certainty::NotRun
        }
        _ => false,
    };
    if is_fenced {
        return answer::from_code(ResultCode::TooLarge, "the body is above the limit");
    }
    answer::from_code(
        ResultCode::BadRequest,
        "the body is above the limit, and its ticket was used before",
    )
}

/// Answers an entry's fence request.
pub(super) async fn serve_fence(
    server: &Arc<GateServer>,
    ticket: &Ticket,
    deadline_at: Millis,
) -> Response<NodeBody> {
    match server.board.fence(ticket) {
        KeyState::Settled(settlement) => from_settlement(&settlement),
        KeyState::Running(settled) => await_settlement(server, settled, deadline_at).await,
    }
}

/// Runs a call independently of the connection on which it arrived: once
/// started, a payment runs to its end and is recorded, even if all callers have
/// disconnected.
async fn run_first_arrival(
    run: RecordedRun,
    admission: Admission,
    settled: oneshot::Receiver<Settlement>,
    deadline_at: Millis,
) -> Response<NodeBody> {
    let server = Arc::clone(&run.server);
    let (answer_sender, answer_receiver) = oneshot::channel();
    server.spawn_tracked(run.run(admission, answer_sender));
    let answered =
        tokio::time::timeout_at(server.clock.to_instant(deadline_at), answer_receiver).await;
    match answered {
        Ok(Ok(answer)) => replay(&answer, ResultCode::Answered),
        Ok(Err(_)) => await_settlement(&server, settled, deadline_at).await,
        Err(_) => still_running(),
    }
}

async fn await_settlement(
    server: &GateServer,
    settled: oneshot::Receiver<Settlement>,
    deadline_at: Millis,
) -> Response<NodeBody> {
    let deadline = server.clock.to_instant(deadline_at);
    match tokio::time::timeout_at(deadline, settled).await {
        Ok(Ok(settlement)) => from_settlement(&settlement),
        Ok(Err(_)) => answer::from_code(ResultCode::RunBroken, "the run left no settlement"),
        Err(_) => still_running(),
    }
}

fn still_running() -> Response<NodeBody> {
    answer::from_refusal(&Refusal::retry_after(
        ResultCode::StillRunning,
        STILL_RUNNING_RETRY_MS,
    ))
}

fn from_settlement(settlement: &Settlement) -> Response<NodeBody> {
    match settlement {
        Settlement::Answered(stored) => replay(stored, ResultCode::Replayed),
        Settlement::Refused(refusal) => answer::from_refusal(refusal),
    }
}

fn replay(stored: &StoredAnswer, code: ResultCode) -> Response<NodeBody> {
    let mut response = Response::new(body::full(stored.body.clone()));
    *response.status_mut() =
        StatusCode::from_u16(stored.status).expect("a status that came over HTTP is valid");
    for header in &stored.headers {
        let name = http::HeaderName::from_bytes(header.name.as_bytes());
        let value = http::HeaderValue::from_bytes(&header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            continue;
        };
        response.headers_mut().append(name, value);
    }
    answer::mark(response.headers_mut(), code);
    response
}

/// One ticketed call that runs in the target.
struct RecordedRun {
    server: Arc<GateServer>,
    call: GateCall,
    ticket: Ticket,
    parts: Parts,
    body: Bytes,
    /// Share of the upload budget for the body, kept until the run has ended.
    _reservation: Reservation,
}

impl RecordedRun {
    async fn run(self, admission: Admission, answer_sender: oneshot::Sender<Arc<StoredAnswer>>) {
        let permit = match admission {
            Admission::Run(permit) => permit,
            Admission::Queued(queued) => match queued.wait().await {
                Ok(permit) => permit,
                // The gate has recorded the refusal and sends it to all waiting
                // arrivals.
                Err(_) => return,
            },
            Admission::Refused(_) => return,
        };
        self.run_in_target(permit, answer_sender).await;
    }

    async fn run_in_target(
        self,
        permit: RunPermit,
        answer_sender: oneshot::Sender<Arc<StoredAnswer>>,
    ) {
        let server = Arc::clone(&self.server);
        let limit_at = self.call.deadline_at + RUN_GRACE_MS;
        let max_stored_bytes = self.call.policy.max_stored_answer_bytes as usize;
        let attempt = self.send_to_target();
        let limit = server.clock.to_instant(limit_at);
        let outcome = match tokio::time::timeout_at(limit, attempt).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Broken,
        };
        match outcome {
            Outcome::Answered(answer) => {
                let failed = answer.status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16();
                let is_small = answer.body.len() <= max_stored_bytes;
                let _ = answer_sender.send(Arc::clone(&answer));
                permit.end(RunEnd::Answered {
                    answer: is_small.then_some(answer),
                    failed,
                });
            }
            Outcome::NotRun => permit.end(RunEnd::NotRun),
            Outcome::Unreachable => permit.end(RunEnd::Unreachable),
            Outcome::Broken => {
                server.handle_broken_run().await;
                permit.end(RunEnd::Broken);
            }
        }
    }

    async fn send_to_target(self) -> Outcome {
        let server = Arc::clone(&self.server);
        let request = server.request_for_target(
            &self.call,
            Some(&self.ticket),
            self.parts,
            body::full(self.body),
        );
        let (response, connection) = match server.target.send(request, true).await {
            Ok(answered) => answered,
            Err(SendFailure::NotSent(reason)) => {
                log::warn!("the target cannot be reached: {reason}");
                server.set_target_reachable(false);
                return Outcome::Unreachable;
            }
            Err(SendFailure::MaybeSent(reason)) => {
                log::warn!("the exchange with the target failed during a ticketed run: {reason}");
                return Outcome::Broken;
            }
        };
        server.note_target_state(response.headers());
        if super::is_not_run(response.status(), response.headers()) {
            return Outcome::NotRun;
        }
        if super::ends_by_close(&response) {
            return Outcome::Broken;
        }
        let (mut head, body) = response.into_parts();
        let Ok(body) = body::collect(body::wrap(body), MAX_ANSWER_BYTES).await else {
            return Outcome::Broken;
        };
        server.target.put_back(connection);
        answer::strip_hop_by_hop(&mut head.headers);
        let mut headers = Vec::with_capacity(head.headers.len());
        for (name, value) in &head.headers {
            headers.push(StoredHeader {
                name: name.as_str().to_owned(),
                value: value.as_bytes().to_vec(),
            });
        }
        Outcome::Answered(Arc::new(StoredAnswer {
            status: head.status.as_u16(),
            headers,
            body: body.to_vec(),
        }))
    }
}

enum Outcome {
    Answered(Arc<StoredAnswer>),
    NotRun,
    Unreachable,
    Broken,
}

/// Hashes the content of a request without its key: method, path, query and
/// body.
fn digest(parts: &Parts, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(parts.method.as_str().as_bytes());
    hash.update(b"\0");
    hash.update(parts.uri.path().as_bytes());
    hash.update(b"\0");
    hash.update(parts.uri.query().unwrap_or_default().as_bytes());
    hash.update(b"\0");
    hash.update(body);
    hash.digest()
}
