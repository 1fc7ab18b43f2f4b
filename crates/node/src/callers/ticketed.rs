//! Serves ticketed calls. A ticketed call is only sent to the gate that its
//! ticket names and never moves to another one.

use std::sync::Arc;
use std::time::Duration;

use hornbeamhitch_core::entry::AttemptEnd;
use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::header;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;

use super::CallerServer;
use super::call::{CallerCall, Outbound};
use super::entries::{AttemptGuard, Entry};
use super::relay::{self, RelayOutcome, Relayed};
use crate::answer;
use crate::body::{self, NodeBody};
use crate::peers::SendFailure;

/// How long before the caller's deadline the gate answers, so that its "still
/// running" arrives in time.
const ANSWER_MARGIN_MS: Millis = Millis(20);
/// How long an entry keeps sending fence requests to a gate whose stream broke.
const FENCE_WINDOW_MS: Millis = Millis(1_500);
const FENCE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Retry delay for callers of an unreachable gate. A short network partition
/// may have ended by then.
const UNREACHABLE_RETRY_MS: Millis = Millis(500);
const GATE_LOST_RETRY_MS: Millis = Millis(2_000);

/// Serves one call under its ticket.
pub(super) async fn serve(
    server: &Arc<CallerServer>,
    entry: &Arc<Entry>,
    call: CallerCall,
    ticket: &Ticket,
    request: Request<NodeBody>,
) -> Response<NodeBody> {
    let Some(gate) = entry.choose_gate(ticket) else {
        return answer::from_refusal(&Refusal::fixed(ResultCode::GateGone));
    };
    // If a later incarnation is known on this VM, the ticket's incarnation has
    // ended. An earlier one only means that this node's view is older than the
    // ticket.
    let known_incarnation = gate.incarnation;
    if known_incarnation.is_some_and(|known| known > ticket.incarnation) {
        return answer::from_refusal(&Refusal::fixed(ResultCode::GateGone));
    }
    let (parts, body) = request.into_parts();
    let mut outbound = Outbound::prepare(&parts, &call, &server.entry_header);
    outbound.set_ticket(&ticket.encode());
    if let Some(clock_ms) = gate.clock_ms {
        let remaining_ms = call.deadline_at.since(server.clock.now());
        outbound.set_gate_deadline(clock_ms + remaining_ms);
    }
    let ticketed = TicketedCall {
        server,
        call: &call,
        outbound,
    };
    let deadline = server.clock.to_instant(call.deadline_at);
    let mut response = match tokio::time::timeout_at(deadline, ticketed.run(gate.guard, body)).await
    {
        Ok(response) => response,
        Err(_) => {
            // Only the gate knows whether the call is running, and it can only
            // be queried with the same ticket.
            answer::from_refusal(&Refusal::retry_after(
                ResultCode::GateLost,
                GATE_LOST_RETRY_MS,
            ))
        }
    };
    add_next_ticket(entry, &call, &mut response);
    response
}

struct TicketedCall<'a> {
    server: &'a Arc<CallerServer>,
    call: &'a CallerCall,
    outbound: Outbound,
}

impl TicketedCall<'_> {
    async fn run(&self, guard: AttemptGuard, body: NodeBody) -> Response<NodeBody> {
        let peer = guard.target.peer;
        let request = self.outbound.request(peer, 0, self.remaining_ms(), body);
        let response = match self.server.peers.send(peer, request).await {
            Ok(response) => response,
            Err(SendFailure::NotSent(reason)) => {
                log::info!("gate {} cannot be reached: {reason}", guard.target.vm);
                guard.end(AttemptEnd::Unreachable);
                return answer::from_refusal(&Refusal::retry_after(
                    ResultCode::GateUnreachable,
                    UNREACHABLE_RETRY_MS,
                ));
            }
            Err(SendFailure::MaybeSent(reason)) => {
                log::info!("stream to gate {} broke: {reason}", guard.target.vm);
                guard.end(AttemptEnd::Broken);
                return self.settle(peer).await;
            }
        };
        self.server
            .report_load(&guard.target.vm, response.headers());
        match self.receive(response, guard).await {
            RelayOutcome::Answer(relayed) => relayed.response,
            RelayOutcome::Truncated => self.settle(peer).await,
        }
    }

    /// Determines the outcome after the stream to the gate broke: the request
    /// may be running, may have run, or may still be in transit. Querying the
    /// gate fences the key. A call that has not started can then never start,
    /// so "not run" is certain even if a late packet arrives. Without the
    /// gate's answer the outcome is unknown.
    async fn settle(&self, peer: std::net::SocketAddr) -> Response<NodeBody> {
        let give_up_at = (self.server.clock.now() + FENCE_WINDOW_MS).min(self.call.deadline_at);
        while self.server.clock.now() < give_up_at {
            let request = self.outbound.fence_request(peer, self.remaining_ms());
            match self.server.peers.send(peer, request).await {
                Ok(response) => match self.read_settlement(response).await {
                    Some(relayed) => return final_answer_after_send(relayed),
                    None => tokio::time::sleep(FENCE_RETRY_DELAY).await,
                },
                Err(_) => tokio::time::sleep(FENCE_RETRY_DELAY).await,
            }
        }
        answer::from_refusal(&Refusal::retry_after(
            ResultCode::GateLost,
            GATE_LOST_RETRY_MS,
        ))
    }

    async fn receive(&self, response: Response<Incoming>, guard: AttemptGuard) -> RelayOutcome {
        let buffer_bytes = u64::from(self.call.policy.buffer_bytes);
        let deadline = self.server.clock.to_instant(self.call.deadline_at);
        relay::receive(response, guard, buffer_bytes, deadline).await
    }

    /// Reads a settlement completely into memory, since a truncated one can be
    /// requested again. A settlement is either small or an answer from the
    /// record. Returns `None` if it cannot be read completely or has no result
    /// code.
    async fn read_settlement(&self, response: Response<Incoming>) -> Option<Relayed> {
        let (mut head, incoming) = response.into_parts();
        let code = answer::code_of(&head.headers)?;
        head.headers.remove(header::LOAD);
        answer::strip_hop_by_hop(&mut head.headers);
        let max_bytes = u64::from(self.call.policy.max_stored_answer_bytes);
        let bytes = body::collect(body::wrap(incoming), max_bytes).await.ok()?;
        Some(Relayed {
            response: Response::from_parts(head, body::full(bytes)),
            code,
            time_to_head_us: 0,
        })
    }

    fn remaining_ms(&self) -> Millis {
        let remaining_ms = self.call.deadline_at.since(self.server.clock.now());
        remaining_ms.minus(ANSWER_MARGIN_MS)
    }
}

/// Replaces "this attempt did not run", which does not hold once the request
/// was sent to a process that has ended: the earlier incarnation may have run
/// it.
fn final_answer_after_send(relayed: Relayed) -> Response<NodeBody> {
    match relayed.code.certainty() {
        Certainty::TicketDead | Certainty::NotYet => answer::from_refusal(&Refusal::retry_after(
            ResultCode::GateLost,
            GATE_LOST_RETRY_MS,
        )),
        _ => relayed.response,
    }
}

/// Adds a new ticket to the answer, which saves the caller a round trip for its
/// next call or for another attempt.
fn add_next_ticket(entry: &Entry, call: &CallerCall, response: &mut Response<NodeBody>) {
    let code = answer::code_of(response.headers());
    let is_useful = code.is_some_and(|code| {
        matches!(
            code.certainty(),
            Certainty::Answered | Certainty::NotRun | Certainty::TicketDead
        )
    });
    if !is_useful {
        return;
    }
    let Ok(ticket) = super::tickets::issue(entry, call, None) else {
        return;
    };
    let value = HeaderValue::from_str(&ticket.encode()).expect("a ticket is URL-safe text");
    response.headers_mut().insert(header::NEXT_TICKET, value);
}
