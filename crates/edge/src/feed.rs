//! The change feed, by which nodes that read the source publish changes to other nodes.
//!
//! A reader's control thread appends changes to its [`ChangeFeed`], from which the link
//! server serves subscriptions. [`Subscriptions`] is the subscriber's side.

mod change_log;
mod links;
mod parts;
mod subscriptions;

use std::net::IpAddr;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use hornbeamhitch_dispatch::knowledge::waits::Waits;
use hornbeamhitch_dispatch::routing::routes::parts::PartFault;
use hornbeamhitch_wire::link::{PartsRequest, ToEntry};
use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::prelude::*;
use crate::source::{Change, Fact, SharedSource};
use change_log::ChangeLog;

#[cfg(test)]
pub(crate) use links::LinkFuture;
pub(crate) use links::{FeedLinks, FeedStream, TcpFeedLinks};
pub use parts::PartStore;
pub use subscriptions::{FeedEvent, Subscriptions};

#[cfg(test)]
mod tests;

/// Largest encoded change. For a larger configuration only the digests of its parts are
/// published. A reader has about 48 subscribers, so a change of this size takes 0.3 s on a
/// link of 10 Mbit/s.
///
/// A configuration of thousands of routes would occupy the readers' links for seconds and
/// delay the removals of targets that are published after it.
const MAX_CHANGE_BYTES: usize = 8 * 1024;

/// Largest number of parts of a configuration whose manifest is published as a whole. A reader
/// sends each change to all of its subscribers, before any of them fetches a part.
const MAX_INLINE_PARTS: usize = 64;

/// Whether a node's feed accepts subscribers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedStatus {
    /// The node does not read the source, or knows nothing yet.
    #[default]
    Closed,
    /// The node accepts subscribers, and its last read succeeded.
    Open,
    /// The node accepts subscribers, but its last read failed.
    Unhealthy,
}

/// Recent changes for subscribers.
#[derive(Debug)]
pub struct ChangeFeed {
    clock: ProcessClock,
    waits: Waits,
    state: Mutex<State>,
    parts: Arc<PartStore>,
    changed: watch::Sender<()>,
    /// Receives offers of other nodes to read the source in place of this one.
    offers: OnceLock<UnboundedSender<FeedEvent>>,
    /// The source that this node reads.
    source: OnceLock<SharedSource>,
}

#[derive(Debug, Default)]
struct State {
    status: FeedStatus,
    /// Revision up to which all changes are known.
    revision: Revision,
    /// Time as of which the known changes are all that the source has published.
    as_of: Millis,
    log: ChangeLog,
}

/// Changes that are new to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedUpdate {
    /// Encoded changes in the order of their revisions.
    pub changes: Vec<Bytes>,
    /// Revision up to which all changes are known.
    pub revision: Revision,
    /// Whether the reader's own last read of the source failed.
    pub last_read_failed: bool,
    /// Whether a longer answer of the source is arriving at the reader.
    pub is_receiving: bool,
    /// Time since the known changes were confirmed to be all that the source has
    /// published.
    pub age_ms: Millis,
}

impl ChangeFeed {
    /// Creates a closed feed without changes.
    #[must_use]
    pub fn new(clock: ProcessClock, waits: Waits) -> Self {
        let (changed, _) = watch::channel(());
        Self {
            clock,
            waits,
            state: Mutex::default(),
            parts: Arc::default(),
            changed,
            offers: OnceLock::new(),
            source: OnceLock::new(),
        }
    }

    /// Reports to subscribers whether answers of this source are arriving. Only the first call
    /// has an effect.
    pub(crate) fn observe(&self, source: SharedSource) {
        // A node follows its source once.
        let _ = self.source.set(source);
    }

    /// Passes offers of other nodes to the subscriptions of this node. Only the first call has
    /// an effect.
    pub(crate) fn forward_offers(&self, events: UnboundedSender<FeedEvent>) {
        // A node follows its source once.
        let _ = self.offers.set(events);
    }

    /// Accepts an offer of a node that reads the source.
    pub(crate) fn accept_offer(&self, node: IpAddr) {
        if let Some(offers) = self.offers.get() {
            // Fails only if this node no longer follows the source.
            let _ = offers.send(FeedEvent::Offer { node });
        }
    }

    /// Appends changes, after which all changes up to `revision` are known.
    ///
    /// Only a new revision wakes subscribers. Readers subscribe to each other; if every
    /// update woke them, two readers would exchange updates endlessly.
    pub fn append(&self, changes: &[Change], revision: Revision) {
        let mut state = self.state.lock();
        if revision <= state.revision {
            return;
        }
        for change in changes {
            state.log_change(change, &self.parts);
        }
        state.revision = revision;
        drop(state);
        self.wake();
    }

    /// Records that this node's own read confirmed the known state as of `as_of`.
    ///
    /// Subscribers are notified immediately. If they were notified later, they would
    /// consider their state older than it is and all read the source themselves.
    pub fn renew(&self, as_of: Millis) {
        self.note_as_of(as_of);
        self.wake();
    }

    /// Records that another node confirmed the known state as of `as_of`. Subscribers
    /// receive it with their next update.
    pub fn note_as_of(&self, as_of: Millis) {
        let mut state = self.state.lock();
        state.as_of = as_of.max(state.as_of);
    }

    /// Sets whether the feed accepts subscribers, and wakes them if that changed.
    pub fn set_status(&self, status: FeedStatus) {
        let mut state = self.state.lock();
        if state.status == status {
            return;
        }
        state.status = status;
        drop(state);
        self.wake();
    }

    /// Returns the changes for a subscriber that knows everything up to `revision`, or
    /// `None` if this node cannot provide them.
    #[must_use]
    pub fn update_after(&self, revision: Revision) -> Option<FeedUpdate> {
        let state = self.state.lock();
        if state.status == FeedStatus::Closed {
            return None;
        }
        Some(FeedUpdate {
            changes: state.log.after(revision)?,
            revision: state.revision,
            last_read_failed: state.status == FeedStatus::Unhealthy,
            is_receiving: self
                .source
                .get()
                .is_some_and(|source| source.is_receiving()),
            age_ms: self.clock.now().since(state.as_of),
        })
    }

    /// Returns a receiver that is notified when [`Self::update_after`] may return
    /// something new.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Sends updates to a subscriber that knows everything up to `known`. Returns when
    /// the subscriber is gone or this node can no longer provide updates.
    pub(crate) async fn serve(&self, known: Revision, subscriber: &UnboundedSender<ToEntry>) {
        let mut known = known;
        let mut changed = self.subscribe();
        loop {
            changed.mark_unchanged();
            let Some(update) = self.update_after(known) else {
                // The send fails only if the link has closed, and then no reply is
                // needed.
                let _ = subscriber.send(ToEntry::FeedUnavailable);
                return;
            };
            known = known.max(update.revision);
            for change in update.changes {
                let _ = subscriber.send(ToEntry::Change(change));
            }
            if update.is_receiving {
                let _ = subscriber.send(ToEntry::ReceivingAnswer);
            }
            let progress = ToEntry::Progress {
                revision: update.revision,
                last_read_failed: update.last_read_failed,
                age_ms: update.age_ms,
            };
            if subscriber.send(progress).is_err() {
                return;
            }
            // An update is sent after a change and after each interval, so the result is
            // irrelevant.
            let publish_interval = self.waits.publish_interval_ms().to_duration();
            let _ = tokio::time::timeout(publish_interval, changed.changed()).await;
        }
    }

    /// The parts of configurations that other nodes fetch from this one.
    pub(crate) const fn parts(&self) -> &Arc<PartStore> {
        &self.parts
    }

    /// Answers another node's request for parts of a configuration.
    pub(crate) async fn serve_parts(
        &self,
        request: &PartsRequest,
        requester: &UnboundedSender<ToEntry>,
    ) {
        let (max_wait_ms, idle_timeout_ms) =
            (self.waits.part_retry_ms(), self.waits.part_timeout_ms());
        self.parts
            .serve(request, max_wait_ms, idle_timeout_ms, requester)
            .await;
    }

    fn wake(&self) {
        self.changed.send_replace(());
    }
}

impl State {
    fn log_change(&mut self, change: &Change, parts: &PartStore) {
        match encode(change, parts) {
            Ok(encoded) => self.log.append(change, encoded),
            Err(error) => {
                log::error!("a change cannot be encoded for subscribers: {error}");
                // Subscribers must not consider this revision known, as they lack the
                // change.
                self.log.note_lost(change.revision);
            }
        }
    }
}

/// Encodes a change for subscribers. A configuration that is too large is replaced by the
/// digests of its parts, which subscribers fetch from `parts`.
fn encode(change: &Change, parts: &PartStore) -> Result<Bytes, PartFault> {
    let encoded = postcard::to_stdvec(change)?;
    let Fact::Routes(routes) = &change.fact else {
        return Ok(encoded.into());
    };
    if encoded.len() <= MAX_CHANGE_BYTES {
        return Ok(encoded.into());
    }
    let added = parts.add_routes(routes)?;
    let reference = Change {
        revision: change.revision,
        fact: match added.manifest.parts().len() {
            ..=MAX_INLINE_PARTS => Fact::RoutesInParts(added.manifest),
            _ => Fact::RoutesByDigest {
                version: routes.version(),
                manifest: added.digest,
            },
        },
    };
    Ok(postcard::to_stdvec(&reference)?.into())
}
