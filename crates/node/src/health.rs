//! Watches the health of this node's target, within the probe budget.
//!
//! Health endpoints lag or mislead, so they are only hints: answers to real
//! calls take precedence, and the endpoint is only queried while the calls give
//! no current information.

use std::sync::Arc;
use std::time::Duration;

use hornbeamhitch_core::budget::TokenBucket;
use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::header;
use http::{Request, StatusCode};

use crate::answer;
use crate::body;
use crate::clock::ProcessClock;
use crate::gate_server::GateServer;
use crate::peers::SendFailure;

const HEALTH_PATH: &str = "/.health";
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an answer that requested draining takes precedence over a health
/// endpoint that reports no problem.
const DRAINING_HOLD_MS: Millis = Millis::from_secs(5);

/// Watches the target until the process ends.
pub async fn watch(gate: Arc<GateServer>, clock: ProcessClock) {
    let mut budget: Option<TokenBucket> = None;
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let Some(policy) = gate.board.policy() else {
            continue;
        };
        let now = clock.now();
        let budgets = policy.budgets;
        let bucket = budget.get_or_insert_with(|| {
            TokenBucket::new(budgets.probes_per_s, budgets.probe_burst, now)
        });
        bucket.set_rate(budgets.probes_per_s, budgets.probe_burst, now);
        if !gate.needs_health_check() || !bucket.try_take(now) {
            continue;
        }
        check(&gate, clock).await;
    }
}

async fn check(gate: &GateServer, clock: ProcessClock) {
    let mut request = Request::new(body::empty());
    *request.uri_mut() = http::Uri::from_static(HEALTH_PATH);
    let host = gate.target.address().to_string();
    let host = http::HeaderValue::from_str(&host).expect("an address is plain ASCII");
    request.headers_mut().insert(http::header::HOST, host);
    gate.note_probe();
    let sending = gate.target.send(request, false);
    let answered = tokio::time::timeout(REQUEST_TIMEOUT, sending).await;
    let response = match answered {
        Ok(Ok((response, _connection))) => response,
        Ok(Err(SendFailure::NotSent(_))) => {
            gate.set_target_reachable(false);
            return;
        }
        // A missing answer is not conclusive; the next check follows soon.
        Ok(Err(SendFailure::MaybeSent(_))) | Err(_) => return,
    };
    gate.set_target_reachable(true);
    let state = answer::text(response.headers(), header::STATE);
    if state == Some(header::STATE_DRAINING) {
        gate.set_target_draining(true);
        return;
    }
    let is_healthy = response.status() == StatusCode::OK;
    if is_healthy && gate.draining_answer_age_ms(clock.now()) >= DRAINING_HOLD_MS {
        gate.set_target_draining(false);
    }
}
