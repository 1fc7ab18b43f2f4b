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
const FIRST_PAUSE: Millis = Millis::from_secs(2);
/// The longest pause, before it is spread.
///
/// A service that is in reach again is asked at most one and a half times this
/// late, and sooner if any of its members speaks to this node or its calls go
/// there.
const MAX_PAUSE: Millis = Millis::from_secs(60);

/// One service that is asked.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    due_at: Millis,
    pause: Millis,
    /// Nothing was heard of the service since the last question.
    is_open: bool,
}

/// The services that were asked.
#[derive(Debug, Default)]
pub(super) struct Asking {
    by_service: BTreeMap<ServiceName, Asked>,
}

impl Asking {
    /// Whether a service may be asked now.
    pub(super) fn is_due(&self, service: &ServiceName, now: Millis) -> bool {
        match self.by_service.get(service) {
            Some(asked) => now >= asked.due_at,
            None => true,
        }
    }

    /// Notes a question; `spread` is from 0.5 to 1.5 and keeps callers that
    /// were turned away together from coming back together.
    pub(super) fn note_question(&mut self, service: &ServiceName, spread: f64, now: Millis) {
        let asked = self.by_service.entry(service.clone()).or_default();
        if asked.is_open {
            let doubled = Millis(asked.pause.0 * 2);
            asked.pause = doubled.max(FIRST_PAUSE).min(MAX_PAUSE);
        }
        asked.is_open = true;
        asked.due_at = now + Millis((asked.pause.0 as f64 * spread) as u64);
    }

    /// Notes that a member of a service has spoken, asked or not.
    pub(super) fn note_heard(&mut self, service: &ServiceName, now: Millis) {
        let Some(asked) = self.by_service.get_mut(service) else {
            return;
        };
        asked.is_open = false;
        asked.pause = Millis(asked.pause.0 / 2);
        if asked.pause < FIRST_PAUSE {
            asked.pause = Millis::ZERO;
        }
        asked.due_at = asked.due_at.min(now + asked.pause);
    }

    /// Forgets services that are not held any more.
    pub(super) fn retain(&mut self, held: &[ServiceName]) {
        self.by_service.retain(|service, _| held.contains(service));
    }
}
