//! Pacing of the heartbeats that request a reply from called services.
//!
//! A service with a few targets may be called by thousands of nodes. If each of them
//! requested a reply every second, the requests would overload the targets, which answer
//! only a constant number anyway: 180 callers cost each of three targets 34 kB per
//! second. A caller without a reply therefore doubles its backoff, and halves it when it
//! receives a message from the service. The rate of requests at a target thus follows the
//! rate of its replies, down to one request per minute from each caller.

use std::collections::BTreeMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Backoff after the first unanswered request.
const INITIAL_BACKOFF: Millis = Millis::from_secs(2);
/// Longest backoff, before jitter.
///
/// A service that becomes reachable again gets a request after at most one and a half
/// times this delay, or sooner if one of its members sends a heartbeat to this node.
const MAX_BACKOFF: Millis = Millis::from_secs(60);

/// Pacing of the requests to one service.
#[derive(Clone, Copy, Debug, Default)]
struct RequestPacing {
    due_at: Millis,
    backoff: Millis,
    /// No message has arrived from the service since the last request.
    is_unanswered: bool,
}

/// The services to which requests were sent.
#[derive(Debug, Default)]
pub(super) struct ReplyRequests {
    by_service: BTreeMap<ServiceName, RequestPacing>,
}

impl ReplyRequests {
    /// Returns whether a request to a service is due.
    pub(super) fn is_due(&self, service: &ServiceName, now: Millis) -> bool {
        match self.by_service.get(service) {
            Some(pacing) => now >= pacing.due_at,
            None => true,
        }
    }

    /// Records a request. `spread` is between 0.5 and 1.5 and keeps callers that were
    /// rejected together from retrying together.
    pub(super) fn note_request(&mut self, service: &ServiceName, spread: f64, now: Millis) {
        let pacing = self.by_service.entry(service.clone()).or_default();
        if pacing.is_unanswered {
            let doubled = Millis(pacing.backoff.0 * 2);
            pacing.backoff = doubled.max(INITIAL_BACKOFF).min(MAX_BACKOFF);
        }
        pacing.is_unanswered = true;
        pacing.due_at = now + Millis((pacing.backoff.0 as f64 * spread) as u64);
    }

    /// Records a message from a member of a service, solicited or not.
    pub(super) fn note_message(&mut self, service: &ServiceName, now: Millis) {
        let Some(pacing) = self.by_service.get_mut(service) else {
            return;
        };
        pacing.is_unanswered = false;
        pacing.backoff = Millis(pacing.backoff.0 / 2);
        if pacing.backoff < INITIAL_BACKOFF {
            pacing.backoff = Millis::ZERO;
        }
        pacing.due_at = pacing.due_at.min(now + pacing.backoff);
    }

    /// Drops services that are no longer tracked.
    pub(super) fn retain(&mut self, tracked: &[ServiceName]) {
        self.by_service
            .retain(|service, _| tracked.contains(service));
    }
}
