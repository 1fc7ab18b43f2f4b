//! Parses calls that arrive at the gate from an entry.

use std::sync::Arc;
use std::time::Instant;

use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::header;
use http::HeaderMap;

use crate::answer;

/// The parameters of a call, apart from its content.
#[derive(Clone, Debug)]
pub(super) struct GateCall {
    /// The service's policy at the time of arrival.
    pub policy: Arc<ServicePolicy>,
    /// The call's class, which determines its priority and its histogram label.
    pub class: CallClass,
    /// When the call arrived, to measure the latency that the gate adds.
    pub arrived_at: Instant,
    /// The time by which the call must have ended, on this process's clock.
    pub deadline_at: Millis,
    /// Nesting depth of the call; 0 for the outermost caller.
    pub depth: u32,
}

impl GateCall {
    /// Parses a call's headers and applies the defaults of the policy in force.
    pub(super) fn read(
        policy: Arc<ServicePolicy>,
        method: &str,
        path: &str,
        headers: &HeaderMap,
        now: Millis,
    ) -> Self {
        let kind = policy.call_for(method, path);
        let class = kind.map_or_else(CallClass::default, |call| call.class);
        let default_ms = kind.map_or(policy.deadline_ms, |call| call.deadline_ms);
        let remaining_ms = answer::number(headers, header::DEADLINE_MS).map_or(default_ms, Millis);
        let fixed_at = answer::number(headers, header::GATE_DEADLINE_AT_MS).map(Millis);
        Self {
            arrived_at: Instant::now(),
            class,
            deadline_at: fixed_at.unwrap_or(Millis::MAX).min(now + remaining_ms),
            depth: answer::number(headers, header::DEPTH).unwrap_or(0),
            policy,
        }
    }
}
