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

    /// Takes over everything that was read, as changes to what was known.
    ///
    /// Failure answered: the source drops its history, and each reader reads
    /// everything anew. If subscribers were not told the difference, all of them
    /// would turn to the source in that moment, with what they know from before.
    pub(super) fn replace(&mut self, listing: Listing) {
        let revision = listing.revision;
        let in_force = self.directory.version();
        let is_new = |routes: &RouteSet| in_force.is_none_or(|known| routes.version() > known);
        let routes = listing.routes.filter(is_new);
        let difference = self
            .directory
            .difference(listing.members, &listing.unreadable);
        let mut facts = Vec::new();
        facts.extend(routes.map(Fact::Routes));
        facts.extend(difference.written.into_iter().map(Fact::Listed));
        facts.extend(difference.removed.into_iter().map(Fact::Left));
        let changes = facts.into_iter().map(|fact| Change { revision, fact });
        self.take(changes.collect(), revision);
    }

    /// Takes changes, after which everything up to `revision` is known.
    pub(super) fn take(&mut self, changes: Vec<Change>, revision: u64) {
        let mut new = changes;
        new.retain(|change| change.revision > self.revision);
        self.feed.append(&new, revision);
        self.revision = revision.max(self.revision);
        let mut routes = Vec::new();
        let mut members_changed = false;
        for change in new {
            match change.fact {
                Fact::Routes(written) => routes.push(written),
                Fact::Listed(member) => {
                    self.directory.upsert(member);
                    members_changed = true;
                }
                Fact::Left(id) => {
                    log::info!("the target {id} has left the list");
                    self.directory.remove(&id);
                    members_changed = true;
                }
            }
        }
        if members_changed {
            self.publish_members();
        }
        // After the targets, which new routes may lead to.
        for written in routes {
            self.directory.set_routes(written);
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

    fn publish_members(&mut self) {
        self.directory.publish_members();
        self.members_changed = true;
    }
}
