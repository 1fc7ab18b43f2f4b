//! What a gate remembers of calls that may run only once.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use super::{EventSink, GateEvent};
use crate::prelude::*;

/// A record is kept this long after its call's deadline. Its entry asks at the
/// latest when its link is found dead, about a second after it broke.
const KEPT_AFTER_DEADLINE_MS: Millis = Millis(5_000);
/// A key that was fenced is refused for this long: a late copy of its call can
/// only be one that lay in a socket buffer of a paused process or a bad link.
const FENCED_FOR_MS: Millis = Millis::from_secs(60);

/// What is known of a key that was asked about.
#[derive(Debug)]
pub(super) enum Fencing {
    /// It had not started and never will.
    NeverStarts,
    /// It runs; its end goes to the sink as well.
    Running,
    /// It has ended.
    Ended(GateEvent),
}

#[derive(Debug)]
struct Record {
    phase: Phase,
    forget_at: Millis,
}

enum Phase {
    Running(Vec<Arc<EventSink>>),
    Ended(GateEvent),
    Fenced,
}

impl fmt::Debug for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running(_) => "Running",
            Self::Ended(_) => "Ended",
            Self::Fenced => "Fenced",
        })
    }
}

/// Records by key.
///
/// Failure answered: the link breaks while a payment is on its way, and the
/// entry cannot tell whether it ran. Sent again, it might run twice; given up,
/// the caller learns nothing. The record lets the entry ask: a key that has not
/// started is fenced for good, one that runs or has run gives its answer.
#[derive(Debug, Default)]
pub(super) struct Records {
    by_key: HashMap<CallKey, Record>,
    purged_at: Millis,
}

impl Records {
    /// Records held.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Notes that a call starts; false when its key was fenced or has started
    /// before.
    pub(super) fn start(&mut self, key: CallKey, deadline_at: Millis) -> bool {
        if self.by_key.contains_key(&key) {
            return false;
        }
        self.by_key.insert(
            key,
            Record {
                phase: Phase::Running(Vec::new()),
                forget_at: deadline_at + KEPT_AFTER_DEADLINE_MS,
            },
        );
        true
    }

    /// Notes how a call ended; returns who else asked for it.
    pub(super) fn end(
        &mut self,
        key: CallKey,
        event: GateEvent,
        now: Millis,
    ) -> Vec<Arc<EventSink>> {
        self.purge(now);
        let Some(record) = self.by_key.get_mut(&key) else {
            return Vec::new();
        };
        match std::mem::replace(&mut record.phase, Phase::Ended(event)) {
            Phase::Running(watchers) => watchers,
            Phase::Ended(_) | Phase::Fenced => Vec::new(),
        }
    }

    /// Asks about a key.
    pub(super) fn fence(&mut self, key: CallKey, sink: &Arc<EventSink>, now: Millis) -> Fencing {
        let Some(record) = self.by_key.get_mut(&key) else {
            self.by_key.insert(
                key,
                Record {
                    phase: Phase::Fenced,
                    forget_at: now + FENCED_FOR_MS,
                },
            );
            return Fencing::NeverStarts;
        };
        match &mut record.phase {
            Phase::Fenced => Fencing::NeverStarts,
            Phase::Ended(event) => Fencing::Ended(event.clone()),
            Phase::Running(watchers) => {
                watchers.push(Arc::clone(sink));
                Fencing::Running
            }
        }
    }

    fn purge(&mut self, now: Millis) {
        /// Looking through all records at each end would cost more than they do.
        const PURGE_INTERVAL_MS: Millis = Millis(1_000);
        if now.since(self.purged_at) < PURGE_INTERVAL_MS {
            return;
        }
        self.purged_at = now;
        self.by_key.retain(|_, record| now < record.forget_at);
    }
}
