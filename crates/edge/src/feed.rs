//! The change feed: what a node that reads the source tells nodes that do not.
//!
//! A reader's control thread appends to its [`ChangeFeed`]; the link server
//! answers subscriptions from it. The other side is [`Subscriptions`].

mod change_log;
mod links;
mod subscriptions;

use bytes::Bytes;
use hornbeamhitch_dispatch::waits::Waits;
use hornbeamhitch_wire::link::ToEntry;
use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::prelude::*;
use crate::source::{Change, Fact};
use change_log::ChangeLog;

pub(crate) use links::{FeedLinks, TcpFeedLinks};
#[cfg(test)]
pub(crate) use links::{FeedStream, LinkFuture};
pub use subscriptions::{FeedEvent, Subscriptions};

#[cfg(test)]
mod tests;

/// A larger change is told by its name alone. A reader tells some 48 subscribers: so much
/// to each is 0.3 s of a line of 10 Mbit/s.
///
/// Failure answered: readers tell a configuration of thousands of routes, their lines are
/// full for seconds, and each departure that comes after it waits behind it.
const MAX_CHANGE_BYTES: usize = 8 * 1024;

/// Whether a node's feed can be subscribed to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedStatus {
    /// The node is no reader.
    #[default]
    Closed,
    /// It reads.
    Open,
    /// It would read, but its last read failed.
    Unhealthy,
}

/// Recent changes, for subscribers.
#[derive(Debug)]
pub struct ChangeFeed {
    clock: ProcessClock,
    waits: Waits,
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    status: FeedStatus,
    /// Everything up to this revision is known.
    revision: u64,
    /// That was all that the source had published by then.
    as_of: Millis,
    log: ChangeLog,
}

/// What is new to one subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedUpdate {
    /// Encoded changes in their order.
    pub changes: Vec<Bytes>,
    /// Everything up to this revision is known.
    pub revision: u64,
    /// The reader's own last read failed.
    pub last_read_failed: bool,
    /// So long ago this was all that the source had published.
    pub age_ms: Millis,
}

impl ChangeFeed {
    /// A closed feed of a node that knows nothing.
    #[must_use]
    pub fn new(clock: ProcessClock, waits: Waits) -> Self {
        let (changed, _) = watch::channel(());
        Self {
            clock,
            waits,
            state: Mutex::default(),
            changed,
        }
    }

    /// Adds changes, after which everything up to `revision` is known.
    ///
    /// Subscribers are woken only by what is new. Readers hear each other: woken
    /// by each word of the other, two of them would answer each other for ever.
    pub fn append(&self, changes: &[Change], revision: u64) {
        let mut state = self.state.lock();
        if revision <= state.revision {
            return;
        }
        for change in changes {
            state.log_change(change);
        }
        state.revision = revision;
        drop(state);
        self.wake();
    }

    /// This node's own read has shown that all is known that was published by then.
    ///
    /// Subscribers hear of it at once: told a while later, they would take what they know
    /// for older than it is, and all of them would read for themselves.
    pub fn renew(&self, as_of: Millis) {
        self.note_as_of(as_of);
        self.wake();
    }

    /// Another node has told so. Subscribers hear of it when they are told again.
    pub fn note_as_of(&self, as_of: Millis) {
        let mut state = self.state.lock();
        state.as_of = as_of.max(state.as_of);
    }

    /// Opens or closes the feed.
    pub fn set_status(&self, status: FeedStatus) {
        let mut state = self.state.lock();
        if state.status == status {
            return;
        }
        state.status = status;
        drop(state);
        self.wake();
    }

    /// What is new to a subscriber who knows everything up to `revision`;
    /// `None` when this node cannot tell.
    #[must_use]
    pub fn update_after(&self, revision: u64) -> Option<FeedUpdate> {
        let state = self.state.lock();
        if state.status == FeedStatus::Closed {
            return None;
        }
        Some(FeedUpdate {
            changes: state.log.after(revision)?,
            revision: state.revision,
            last_read_failed: state.status == FeedStatus::Unhealthy,
            age_ms: self.clock.now().since(state.as_of),
        })
    }

    /// Tells when [`Self::update_after`] may have something new.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Tells a subscriber who knows everything up to `known` what changes, until nobody
    /// listens or this node can tell no more.
    pub(crate) async fn serve(&self, known: u64, subscriber: &UnboundedSender<ToEntry>) {
        let mut known = known;
        let mut changed = self.subscribe();
        loop {
            changed.mark_unchanged();
            let Some(update) = self.update_after(known) else {
                // A link that has ended needs no answer.
                let _ = subscriber.send(ToEntry::NoFeed);
                return;
            };
            known = known.max(update.revision);
            for change in update.changes {
                let _ = subscriber.send(ToEntry::Change(change));
            }
            let known_to = ToEntry::KnownTo {
                revision: update.revision,
                last_read_failed: update.last_read_failed,
                age_ms: update.age_ms,
            };
            if subscriber.send(known_to).is_err() {
                return;
            }
            // Whether the wait ends by a change or by its time makes no difference.
            let resend_interval = self.waits.tell_again_ms().to_duration();
            let _ = tokio::time::timeout(resend_interval, changed.changed()).await;
        }
    }

    fn wake(&self) {
        self.changed.send_replace(());
    }
}

impl State {
    fn log_change(&mut self, change: &Change) {
        match encode(change) {
            Ok(encoded) => self.log.append(change, encoded),
            Err(error) => {
                log::error!("a change cannot be written for other nodes: {error}");
                // Nobody may be told that everything is known without it.
                self.log.note_lost(change.revision);
            }
        }
    }
}

/// What subscribers are told of a change.
fn encode(change: &Change) -> postcard::Result<Bytes> {
    let encoded = postcard::to_stdvec(change)?;
    let Fact::Routes(routes) = &change.fact else {
        return Ok(encoded.into());
    };
    if encoded.len() <= MAX_CHANGE_BYTES {
        return Ok(encoded.into());
    }
    let reference = Change {
        revision: change.revision,
        fact: Fact::LargeRoutes(routes.version()),
    };
    postcard::to_stdvec(&reference).map(Bytes::from)
}
