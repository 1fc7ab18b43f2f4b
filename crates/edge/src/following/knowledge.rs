//! What this node knows of the platform's facts, from whomever it was learnt.

use std::sync::Arc;

use crate::directory::DirectoryWriter;
use crate::feed::{ChangeFeed, FeedEvent};
use crate::prelude::*;
use crate::source::{Change, Fact, Listing};

/// Facts, with the revision up to which they are complete.
///
/// Invariant: every change up to `revision` was taken, and none beyond it. The
/// same change comes from the source and from several readers, in any order of
/// batches; taken twice, an older entry would bring back a target that a later
/// change took away. So what is not beyond the revision is left out.
#[derive(Debug)]
pub(super) struct Knowledge {
    directory: DirectoryWriter,
    feed: Arc<ChangeFeed>,
    revision: u64,
    members_changed: bool,
}

impl Knowledge {
    pub(super) const fn new(directory: DirectoryWriter, feed: Arc<ChangeFeed>) -> Self {
        Self {
            directory,
            feed,
            revision: 0,
            members_changed: false,
        }
    }

    /// Everything up to this revision is known.
    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    /// The targets in force.
    pub(super) fn members(&self) -> Arc<Members> {
        self.directory.members()
    }

    /// What subscribers are told.
    pub(super) fn feed(&self) -> &ChangeFeed {
        &self.feed
    }

    /// Whether targets came or went since this was last asked.
    pub(super) const fn take_members_changed(&mut self) -> bool {
        std::mem::replace(&mut self.members_changed, false)
    }

    /// Takes over everything that was read.
    pub(super) fn replace(&mut self, listing: Listing) {
        if let Some(routes) = listing.routes {
            self.directory.set_routes(routes);
        }
        self.directory.replace(listing.members, &listing.unreadable);
        self.publish_members();
        self.revision = listing.revision;
        self.feed.restart(self.revision);
    }

    /// Takes changes, after which everything up to `revision` is known.
    pub(super) fn take(&mut self, changes: Vec<Change>, revision: u64) {
        let mut new = changes;
        new.retain(|change| change.revision > self.revision);
        self.feed.append(&new, revision);
        self.revision = revision.max(self.revision);
        let mut members_changed = false;
        for change in new {
            members_changed |= self.take_fact(change.fact);
        }
        if members_changed {
            self.publish_members();
        }
    }

    /// Takes what a reader told.
    pub(super) fn hear(&mut self, event: FeedEvent) {
        let FeedEvent::Known {
            changes,
            revision,
            is_troubled,
            ..
        } = event
        else {
            return;
        };
        if is_troubled {
            // Entries may lapse now, as if this node's own read had failed.
            self.note_trouble();
        }
        self.take(changes, revision);
    }

    /// The source could not be read.
    pub(super) fn note_trouble(&mut self) {
        self.directory.note_trouble();
    }

    /// Drops entries that stayed missing, and says when to look again.
    pub(super) fn expire(&mut self) -> Option<tokio::time::Instant> {
        let at = self.directory.expire()?;
        Some(self.directory.clock().to_instant(at))
    }

    fn take_fact(&mut self, fact: Fact) -> bool {
        match fact {
            Fact::Routes(routes) => {
                self.directory.set_routes(routes);
                false
            }
            Fact::Listed(member) => {
                self.directory.upsert(member);
                true
            }
            Fact::Left(id) => {
                log::info!("the target {id} has left the list");
                self.directory.remove(&id);
                true
            }
        }
    }

    fn publish_members(&mut self) {
        self.directory.publish_members();
        self.members_changed = true;
    }
}
