//! Cache of tickets that callers fetched before their calls.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use crate::prelude::*;

/// Maximum number of cached tickets per service.
const MAX_CACHED: usize = 256;

/// Body of an answer to `POST /.hitch/tickets/<service>`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct TicketBatch {
    pub(super) tickets: Vec<String>,
    pub(super) valid_ms: u64,
}

struct CachedTicket {
    ticket: String,
    use_before: Instant,
}

/// Cache of unused tickets by service.
#[derive(Default)]
pub(super) struct TicketCache {
    by_service: Mutex<HashMap<String, VecDeque<CachedTicket>>>,
}

impl TicketCache {
    /// Adds tickets. They may be taken during the first half of their validity; the
    /// second half is left for the call itself.
    pub(super) fn store(&self, service: &str, batch: TicketBatch) {
        let use_before = Instant::now() + Duration::from_millis(batch.valid_ms / 2);
        let mut by_service = self.by_service.lock();
        let cached = by_service.entry(service.to_owned()).or_default();
        for ticket in batch.tickets {
            if cached.len() >= MAX_CACHED {
                return;
            }
            cached.push_back(CachedTicket { ticket, use_before });
        }
    }

    /// Takes a ticket that may still be used.
    pub(super) fn take(&self, service: &str) -> Option<String> {
        let mut by_service = self.by_service.lock();
        let cached = by_service.get_mut(service)?;
        while let Some(first) = cached.pop_front() {
            if first.use_before <= Instant::now() {
                continue;
            }
            return Some(first.ticket);
        }
        None
    }
}
