//! How often a node asks each service that it calls for a heartbeat.
//!
//! A service of a few targets may be called by thousands of nodes. When each
//! of them asked once a second, the targets would drown in questions of which
//! they answer a constant number anyway: 180 callers cost each of three
//! targets 34 kB a second. So a caller that gets no answer asks half as often,
//! and whoever hears of the service again asks twice as often. The questions
//! that a target gets then follow the answers that it gives, up to one a
//! minute from each caller.

use std::collections::BTreeMap;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// The pause after the first question that was not answered.
const INITIAL_BACKOFF: Millis = Millis::from_secs(2);
/// The longest pause, before it is spread.
///
/// A service that is in reach again is asked at most one and a half times this
/// late, and sooner if any of its members speaks to this node or its calls go
/// there.
const MAX_BACKOFF: Millis = Millis::from_secs(60);

/// One service that is asked.
#[derive(Clone, Copy, Debug, Default)]
struct RequestPacing {
    due_at: Millis,
    backoff: Millis,
    /// Nothing was heard of the service since the last question.
    is_unanswered: bool,
}

/// The services that were asked.
#[derive(Debug, Default)]
pub(super) struct ReplyRequests {
    by_service: BTreeMap<ServiceName, RequestPacing>,
}

impl ReplyRequests {
    /// Whether a service may be asked now.
    pub(super) fn is_due(&self, service: &ServiceName, now: Millis) -> bool {
        match self.by_service.get(service) {
            Some(pacing) => now >= pacing.due_at,
            None => true,
        }
    }

    /// Notes a question; `spread` is from 0.5 to 1.5 and keeps callers that
    /// were turned away together from coming back together.
    pub(super) fn note_request(&mut self, service: &ServiceName, spread: f64, now: Millis) {
        let pacing = self.by_service.entry(service.clone()).or_default();
        if pacing.is_unanswered {
            let doubled = Millis(pacing.backoff.0 * 2);
            pacing.backoff = doubled.max(INITIAL_BACKOFF).min(MAX_BACKOFF);
        }
        pacing.is_unanswered = true;
        pacing.due_at = now + Millis((pacing.backoff.0 as f64 * spread) as u64);
    }

    /// Notes that a member of a service has spoken, asked or not.
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

    /// Forgets services that are not held any more.
    pub(super) fn retain(&mut self, tracked: &[ServiceName]) {
        self.by_service
            .retain(|service, _| tracked.contains(service));
    }
}
