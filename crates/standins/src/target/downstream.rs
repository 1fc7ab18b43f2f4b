//! Calls that a target makes to other services through its own node.

use http_body_util::Full;
use tokio::time::{Instant, sleep};

use crate::http_client::WholeAnswer;
use crate::http_server::header_number;
use crate::prelude::*;

use super::calls::Call;
use super::{Shared, headers};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum sends of one call; each resend follows an answer that permits it.
const MAX_SENDS: u32 = 5;
const DEFAULT_WAIT_MS: u64 = 20;

/// Makes the first call of the request's chain and passes on the rest of the
/// chain in it.
///
/// Returns the status of the answer, 502 if no complete answer arrived, or
/// `None` if the request has no chain.
pub(super) async fn call_downstream(shared: &Shared, call: &Call) -> Option<StatusCode> {
    let chain = call.text(headers::CALL)?;
    let (first, rest) = match chain.split_once(',') {
        Some((first, rest)) => (first.trim(), Some(rest.trim())),
        None => (chain.trim(), None),
    };
    let Some(node) = *shared.node.lock() else {
        log::warn!(
            "{}: cannot call {first}, no node is set",
            shared.config.name
        );
        return Some(StatusCode::BAD_GATEWAY);
    };
    let deadline = call.deadline.unwrap_or(Instant::now() + DEFAULT_TIMEOUT);
    let mut status = StatusCode::BAD_GATEWAY;
    for _ in 0..MAX_SENDS {
        let left = deadline.saturating_duration_since(Instant::now());
        let Some(request) = request(call, node, first, rest, left) else {
            return Some(StatusCode::BAD_GATEWAY);
        };
        let Ok(answer) = shared.client.send(request, left).await else {
            return Some(StatusCode::BAD_GATEWAY);
        };
        status = answer.status;
        let Some(wait) = retry_delay(&answer) else {
            return Some(status);
        };
        if Instant::now() + wait >= deadline {
            return Some(status);
        }
        sleep(wait).await;
    }
    Some(status)
}

/// Returns the delay before a resend if the answer says that the call certainly
/// did not run, as `docs/callers/result-codes.md` tells callers to do.
///
/// A target does not resend when the connection breaks, because the call may
/// have run.
fn retry_delay(answer: &WholeAnswer) -> Option<Duration> {
    let number = header_number(&answer.headers, header::CODE)?;
    let code = ResultCode::from_number(u16::try_from(number).ok()?)?;
    if code.certainty() != Certainty::NotRun {
        return None;
    }
    let wait_ms = header_number(&answer.headers, header::RETRY_AFTER_MS);
    Some(Duration::from_millis(wait_ms.unwrap_or(DEFAULT_WAIT_MS)))
}

fn request(
    call: &Call,
    node: SocketAddr,
    first: &str,
    rest: Option<&str>,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let depth = call.number(header::DEPTH).unwrap_or(0) + 1;
    let mut request = Request::get(format!("http://{node}/{first}"))
        .header(header::DEPTH, depth)
        .header(header::DEADLINE_MS, Millis::from_duration(left).0);
    if let Some(nonce) = call.text(headers::NONCE) {
        // With the same nonce this call would look like a second run.
        request = request.header(headers::NONCE, format!("{nonce}+"));
    }
    if let Some(tenant) = call.text(header::TENANT) {
        request = request.header(header::TENANT, tenant);
    }
    if let Some(rest) = rest {
        request = request.header(headers::CALL, rest);
    }
    request.body(Full::default()).ok()
}
