//! Calls that a target makes on its part, through its own node.

use http_body_util::Full;
use tokio::time::{Instant, sleep};

use crate::http_client::WholeAnswer;
use crate::http_server::header_number;
use crate::prelude::*;

use super::calls::Call;
use super::{Shared, headers};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Sends of one call, each after an answer that tells to come again.
const MAX_SENDS: u32 = 5;
const DEFAULT_WAIT_MS: u64 = 20;

/// Makes the first call of the request's chain, which carries the rest on.
///
/// Returns the status, 502 when no whole answer came, or nothing when the
/// request asks for no call.
pub(super) async fn call_downstream(shared: &Shared, call: &Call) -> Option<StatusCode> {
    let chain = call.text(headers::CALL)?;
    let (first, rest) = match chain.split_once(',') {
        Some((first, rest)) => (first.trim(), Some(rest.trim())),
        None => (chain.trim(), None),
    };
    let Some(node) = *shared.node.lock() else {
        log::warn!("{} has no node to call {first}", shared.config.name);
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

/// As any documented caller, a target comes again when its call has certainly
/// not run. It does not when the connection breaks: that is a call cut off.
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
        // A name of its own: the same one would look like a second run.
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
