//! Records of ticketed calls: what is known about each key until its ticket
//! expires.
//!
//! Two rules guarantee "at most once" in constant memory:
//!
//! - a record is removed only once every ticket presented for its key has
//!   expired, and an expired ticket without a record never runs;
//! - when no record can be added, no new key may start. If a key must then be
//!   fenced, the *floor* is raised: tickets without a record that expire at or
//!   before the floor never run. This fences more keys than requested, never
//!   fewer.

use std::cmp::Reverse;
use std::collections::hash_map::Entry;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use super::{RunId, StoredAnswer};
use crate::prelude::*;

/// Bytes counted for each stored header in addition to its name and value.
const HEADER_OVERHEAD_BYTES: u64 = 64;

/// Extension of the record of a run that outlives its ticket.
const LIVE_EXTENSION: Millis = Millis(1_000);

/// Maximum number of tickets with an excessive expiry that are fenced by a
/// record per incarnation. Such records are kept for so long that they need a
/// separate limit.
const MAX_EXCESSIVE_EXPIRY_FENCES: u32 = 64;

/// What is known about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RecordState {
    /// Waiting or running as this run.
    Live(RunId),
    /// The call ran, with this answer.
    Answered(Arc<StoredAnswer>),
    /// The call ran; its answer was too large to store.
    AnswerNotKept,
    /// The call was started and its end was not observed. It never runs again.
    Unknown,
    /// The call did not run and never will under a ticket that expires no later
    /// than the record's `fenced_through`. A later ticket may still run it.
    Fenced {
        /// The retry time that the caller was given.
        retry_after_ms: Option<Millis>,
    },
}

/// The record of one key.
#[derive(Debug)]
pub(super) struct Record {
    /// Digest of the request; `None` if the key was fenced before the request
    /// arrived.
    pub(super) digest: Option<u64>,
    /// Latest expiry of all tickets presented for the key.
    expires_at: Millis,
    created_at: Millis,
    /// Tickets that expire no later than this have been or will be answered
    /// with "not run".
    fenced_through: Option<Millis>,
    pub(super) state: RecordState,
}

/// When a record is next checked for expiry; there is one entry per record.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ExpiryCheck {
    at: Millis,
    key: CallKey,
}

/// All records of one incarnation of a gate.
#[derive(Debug, Default)]
pub(super) struct Records {
    by_key: HashMap<CallKey, Record>,
    expiry_checks: BinaryHeap<Reverse<ExpiryCheck>>,
    floor: Option<Millis>,
    fenced: usize,
    excessive_expiry_fences: u32,
    stored_bytes: u64,
}

impl Records {
    /// Returns the record that applies to a ticket, and extends its expiry to
    /// that of the ticket.
    ///
    /// Without the extension, a second ticket for the key that was answered
    /// with "not run" from this record could start after the record was
    /// removed.
    ///
    /// The record does not apply to a ticket that had expired before the record
    /// was created. That ticket's own record may have been removed, and the key
    /// may have got a second ticket since. Answering with the second ticket's
    /// "fenced" would deny a run under the first one.
    pub(super) fn find_and_extend(&mut self, ticket: &Ticket) -> Option<&Record> {
        let record = self.by_key.get_mut(&ticket.key)?;
        if ticket.expires_at <= record.created_at {
            return None;
        }
        record.expires_at = record.expires_at.max(ticket.expires_at);
        Some(record)
    }

    /// Returns the refusal of a ticket that was fenced, or that expires no
    /// later than a fenced one.
    ///
    /// A caller that was answered with "not run" returns with its own
    /// idempotency key and a new ticket. The new ticket must not be refused
    /// until the old one expires, because an overload of seconds would then
    /// block the call for minutes. The expiry distinguishes the two, because a
    /// gate's clock only moves forward. The old ticket stays refused even while
    /// the new one runs.
    pub(super) fn fenced_refusal(&self, ticket: &Ticket) -> Option<Refusal> {
        let record = self.by_key.get(&ticket.key)?;
        if ticket.expires_at <= record.created_at {
            return None;
        }
        if ticket.expires_at > record.fenced_through? {
            return None;
        }
        let retry_after_ms = match &record.state {
            RecordState::Fenced { retry_after_ms } => *retry_after_ms,
            _ => None,
        };
        Some(Refusal {
            code: ResultCode::Fenced,
            retry_after_ms,
        })
    }

    /// Whether the key's record already lasts as long as this ticket.
    pub(super) fn covers(&self, ticket: &Ticket) -> bool {
        match self.by_key.get(&ticket.key) {
            Some(record) => record.expires_at >= ticket.expires_at,
            None => false,
        }
    }

    /// Whether the floor prevents a ticket without a record from running.
    pub(super) fn below_floor(&self, ticket: &Ticket) -> bool {
        self.floor.is_some_and(|floor| ticket.expires_at <= floor)
    }

    /// Fences every ticket without a record that expires no later than this.
    pub(super) fn raise_floor(&mut self, expires_at: Millis) {
        self.floor = self.floor.max(Some(expires_at));
    }

    /// Whether another record fits, after expired ones have been removed.
    pub(super) fn has_room(&mut self, max_records: u32, now: Millis) -> bool {
        if self.by_key.len() < max_records as usize {
            return true;
        }
        self.purge(now);
        self.by_key.len() < max_records as usize
    }

    /// Takes one of the few records for tickets with an excessive expiry;
    /// returns false if none is left.
    pub(super) fn take_excessive_expiry_fence(&mut self) -> bool {
        if self.excessive_expiry_fences >= MAX_EXCESSIVE_EXPIRY_FENCES {
            return false;
        }
        self.excessive_expiry_fences += 1;
        true
    }

    /// Adds a record for a key that has none, or reuses the record of a fenced
    /// key for a ticket newer than the fenced ones.
    pub(super) fn insert(
        &mut self,
        ticket: &Ticket,
        digest: Option<u64>,
        state: RecordState,
        now: Millis,
    ) {
        let fenced_through = is_fenced(&state).then_some(ticket.expires_at);
        self.fenced += usize::from(is_fenced(&state));
        let vacant = match self.by_key.entry(ticket.key) {
            Entry::Vacant(vacant) => vacant,
            Entry::Occupied(mut known) => {
                let record = known.get_mut();
                assert!(
                    is_fenced(&record.state),
                    "only the record of a key that has not run is reused"
                );
                self.fenced -= 1;
                record.digest = digest;
                record.expires_at = record.expires_at.max(ticket.expires_at);
                record.fenced_through = record.fenced_through.max(fenced_through);
                record.state = state;
                return;
            }
        };
        vacant.insert(Record {
            digest,
            expires_at: ticket.expires_at,
            created_at: now,
            fenced_through,
            state,
        });
        self.expiry_checks.push(Reverse(ExpiryCheck {
            at: ticket.expires_at,
            key: ticket.key,
        }));
    }

    /// Records the end of a waiting or running call. The state becomes "answer
    /// not kept" if the answer would exceed the total size allowed for stored
    /// answers.
    pub(super) fn settle(&mut self, key: CallKey, state: RecordState, max_stored_bytes: u64) {
        let state = self.within_bytes(state, max_stored_bytes);
        let record = self.by_key.get_mut(&key);
        let record = record.expect("the record of an active call is never removed");
        debug_assert!(matches!(record.state, RecordState::Live(_)));
        if is_fenced(&state) {
            self.fenced += 1;
            // Every ticket presented for this run is answered with "not run".
            record.fenced_through = record.fenced_through.max(Some(record.expires_at));
        }
        record.state = state;
    }

    /// Removes records whose tickets have all expired, except those of waiting
    /// or running calls.
    pub(super) fn purge(&mut self, now: Millis) {
        while let Some(Reverse(check)) = self.expiry_checks.peek() {
            if check.at > now {
                return;
            }
            let Some(Reverse(check)) = self.expiry_checks.pop() else {
                return;
            };
            match self.next_check_at(check.key, now) {
                Some(at) => self
                    .expiry_checks
                    .push(Reverse(ExpiryCheck { at, key: check.key })),
                None => self.remove(check.key),
            }
        }
    }

    /// Returns the number of records of keys that did not run.
    pub(super) const fn fenced(&self) -> usize {
        self.fenced
    }

    /// Returns the total size of all stored answers in bytes.
    pub(super) const fn stored_bytes(&self) -> u64 {
        self.stored_bytes
    }

    /// Returns the number of records.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    fn next_check_at(&self, key: CallKey, now: Millis) -> Option<Millis> {
        let record = self.by_key.get(&key)?;
        if record.expires_at > now {
            return Some(record.expires_at);
        }
        match record.state {
            RecordState::Live(_) => Some(now + LIVE_EXTENSION),
            _ => None,
        }
    }

    fn remove(&mut self, key: CallKey) {
        let Some(record) = self.by_key.remove(&key) else {
            return;
        };
        self.fenced -= usize::from(is_fenced(&record.state));
        if let RecordState::Answered(answer) = &record.state {
            self.stored_bytes -= size_bytes(answer);
        }
    }

    fn within_bytes(&mut self, state: RecordState, max_stored_bytes: u64) -> RecordState {
        let RecordState::Answered(answer) = &state else {
            return state;
        };
        let total_bytes = self.stored_bytes.saturating_add(size_bytes(answer));
        if total_bytes > max_stored_bytes {
            return RecordState::AnswerNotKept;
        }
        self.stored_bytes = total_bytes;
        state
    }
}

const fn is_fenced(state: &RecordState) -> bool {
    matches!(state, RecordState::Fenced { .. })
}

/// Returns the number of bytes that a stored answer counts for.
pub(super) fn size_bytes(answer: &StoredAnswer) -> u64 {
    let mut bytes = answer.body.len() as u64;
    for header in &answer.headers {
        bytes += (header.name.len() + header.value.len()) as u64 + HEADER_OVERHEAD_BYTES;
    }
    bytes
}
