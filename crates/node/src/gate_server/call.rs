//! A call as it arrives at the gate from an entry.

use std::sync::Arc;
use std::time::Instant;

use hornbeamhitch_core::prelude::*;
use hornbeamhitch_wire::header;
use http::HeaderMap;

use crate::answer;

/// What the gate needs to know of a call besides its bytes.
#[derive(Clone, Debug)]
pub(super) struct GateCall {
    /// The policy in force when it arrived.
    pub policy: Arc<ServicePolicy>,
    /// Rank and histogram label.
    pub class: CallClass,
    /// When it arrived, for the measure of what the gate adds.
    pub arrived_at: Instant,
    /// When it must have ended, in this process's clock.
    pub deadline_at: Millis,
    /// Depth, 0 at the outermost caller.
    pub depth: u32,
}

impl GateCall {
    /// Reads a call's headers against the policy in force.
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
