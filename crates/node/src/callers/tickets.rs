//! Issues tickets: one in a redirect, or a batch in advance.

use std::sync::Arc;

use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::header;
use http::{HeaderMap, HeaderValue, Response};
use http_body::Body;
use serde::Serialize;
use uuid::Uuid;

use super::CallerServer;
use super::call::{CallerCall, tenant_of};
use super::entries::Entry;
use crate::answer;
use crate::body::{self, NodeBody};

/// The maximum number of tickets per request.
const MAX_BATCH: u32 = 32;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

#[derive(Serialize)]
struct TicketBatch {
    tickets: Vec<String>,
    valid_ms: u64,
}

/// Issues a ticket for the caller's idempotency key, or for a generated key.
pub(super) fn issue(
    entry: &Entry,
    call: &CallerCall,
    idempotency_key: Option<&str>,
) -> Result<Ticket, Refusal> {
    issue_for(
        entry,
        &call.to.service,
        call.tenant.as_str(),
        idempotency_key,
    )
}

fn issue_for(
    entry: &Entry,
    service: &ServiceName,
    tenant: &str,
    idempotency_key: Option<&str>,
) -> Result<Ticket, Refusal> {
    let (key, gate) = match idempotency_key {
        Some(key) => {
            let key = CallKey::from_parts(service.as_str(), tenant, key);
            (key, entry.ticket_gate(key)?)
        }
        None => {
            let key = CallKey(Uuid::new_v4().as_u128());
            (key, entry.ticket_gate_in_turn()?)
        }
    };
    Ok(Ticket {
        service: service.clone(),
        gate: gate.vm,
        incarnation: gate.incarnation,
        key,
        expires_at: gate.expires_at,
    })
}

/// Answers a non-idempotent call that has no ticket with a redirect to the
/// ticketed URL. Nothing has run; the caller sends the same request there.
pub(super) async fn redirect(
    server: &Arc<CallerServer>,
    entry: &Arc<Entry>,
    call: &CallerCall,
    headers: &HeaderMap,
    body: NodeBody,
) -> Response<NodeBody> {
    let idempotency_key = answer::text(headers, header::IDEMPOTENCY_KEY);
    if idempotency_key.is_some_and(|key| key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        return answer::from_code(ResultCode::TooLarge, "the idempotency key is too long");
    }
    let ticket = match issue(entry, call, idempotency_key) {
        Ok(ticket) => ticket,
        Err(refusal) => return answer::from_refusal(&refusal),
    };
    if !headers.contains_key(http::header::EXPECT) {
        discard(server, call, body).await;
    }
    let mut response = answer::from_code(
        ResultCode::TicketNeeded,
        "nothing has run; send the same request to the ticketed URL",
    );
    let location = format!(
        "{}{}/{}{}",
        header::TICKETED_PREFIX,
        ticket.encode(),
        call.to.service,
        call.to.path_and_query,
    );
    let location = HeaderValue::from_str(&location).expect("a path that came over HTTP is valid");
    let headers = response.headers_mut();
    headers.insert(http::header::LOCATION, location);
    headers.insert(
        http::header::CACHE_CONTROL,
        HeaderValue::from_static("no-store"),
    );
    response
}

/// Reads and discards the body. Many callers send it before they read the
/// answer; if the connection were closed meanwhile, they would see a reset
/// instead of the redirect.
async fn discard(server: &CallerServer, call: &CallerCall, body: NodeBody) {
    if body.is_end_stream() {
        return;
    }
    let deadline = server.clock.to_instant(call.deadline_at);
    let discarding = body::discard(body, call.policy.max_request_bytes);
    let _ = tokio::time::timeout_at(deadline, discarding).await;
}

/// Answers a request for a batch of tickets.
pub(super) fn batch(
    entry: &Entry,
    policy: &ServicePolicy,
    headers: &HeaderMap,
    query: Option<&str>,
) -> Response<NodeBody> {
    let count = match parse_count(query) {
        Ok(count) => count,
        Err(reason) => return answer::from_code(ResultCode::BadRequest, &reason),
    };
    let tenant = tenant_of(headers);
    let mut tickets = Vec::new();
    for _ in 0..count {
        match issue_for(entry, &policy.service, tenant.as_str(), None) {
            Ok(ticket) => tickets.push(ticket.encode()),
            Err(refusal) => return answer::from_refusal(&refusal),
        }
    }
    let batch = TicketBatch {
        tickets,
        valid_ms: policy.ticket_ttl_ms.0,
    };
    let json = serde_json::to_vec(&batch).expect("tickets are plain text");
    let mut response = Response::new(body::full(json));
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    answer::mark(response.headers_mut(), ResultCode::Answered);
    response
}

fn parse_count(query: Option<&str>) -> Result<u32, String> {
    for pair in query.unwrap_or_default().split('&') {
        let Some(count) = pair.strip_prefix("count=") else {
            continue;
        };
        return match count.parse() {
            Ok(count) if (1..=MAX_BATCH).contains(&count) => Ok(count),
            _ => Err(format!("count is {count}, 1 to {MAX_BATCH} is allowed")),
        };
    }
    Ok(1)
}
