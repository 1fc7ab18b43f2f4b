//! What this node knows of the platform's facts, from whomever it was learnt.

use std::net::IpAddr;
use std::sync::Arc;

use hornbeamhitch_dispatch::waits::Waits;

use super::large_routes::LargeRoutesReader;
use crate::directory::DirectoryWriter;
use crate::feed::{ChangeFeed, FeedEvent};
use crate::prelude::*;
use crate::source::{Change, Fact, Listing};

/// So many entries that lapse together, or this part of all, are a sign of
/// trouble on the way to the platform, and no longer of single targets that end.
const MASS_EXPIRY_COUNT: usize = 3;
const MASS_EXPIRY_DIVISOR: usize = 8;

/// What is known of this node's own way to the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnReads {
    /// The last read was answered, and nothing speaks against another.
    Good,
    /// What readers told makes it doubtful; a read will tell.
    Doubtful,
    /// The last read failed.
    Failed,
}

/// Facts, with the revision up to which they are complete.
///
/// Invariant: every change up to `revision` was taken, and none beyond it. The
/// same change comes from the source and from several readers, in any order of
/// batches; taken twice, an older entry would bring back a target that a later
/// change took away. So what is not beyond the revision is left out.
///
/// One exception: while this node's own reads are not good, targets that lapse
/// are kept, and everything has to be read anew afterwards. Failure answered: a
/// part of the VMs is cut off from the platform, and their entries lapse, though
/// their targets serve. Whoever reaches the platform must leave them alone; if
/// those that were cut off did so too, on the word of readers, nobody would use a
/// third of the targets, and callers would be refused at the others.
#[derive(Debug)]
pub(super) struct KnownState {
    directory: DirectoryWriter,
    feed: Arc<ChangeFeed>,
    large_routes: LargeRoutesReader,
    revision: u64,
    /// Newest version among the changes up to there.
    routes_version: Option<u64>,
    members_changed: bool,
    own_ip: IpAddr,
    waits: Waits,
    own_reads: OwnReads,
    /// A lapse was told and not taken.
    has_deferred_removals: bool,
}

impl KnownState {
    /// Nothing is known yet to the node on this VM.
    pub(super) const fn new(
        directory: DirectoryWriter,
        feed: Arc<ChangeFeed>,
        large_routes: LargeRoutesReader,
        own_ip: IpAddr,
        waits: Waits,
    ) -> Self {
        Self {
            waits,
            directory,
            feed,
            large_routes,
            own_ip,
            own_reads: OwnReads::Good,
            has_deferred_removals: false,
            revision: 0,
            routes_version: None,
            members_changed: false,
        }
    }

    /// Everything up to this revision is known.
    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    /// Age of what is known.
    pub(super) fn age_ms(&self) -> Millis {
        self.directory.age_ms()
    }

    /// The targets in force.
    pub(super) fn members(&self) -> Arc<Members> {
        self.directory.members()
    }

    /// Whether this node reaches the source, as far as it knows.
    pub(super) const fn own_reads(&self) -> OwnReads {
        self.own_reads
    }

    /// The source has answered. Comes before what it told is taken: lapses that it tells
    /// are no longer held then.
    pub(super) const fn note_good_read(&mut self) {
        self.own_reads = OwnReads::Good;
    }

    /// Lets traffic use a listing that may be stale while nothing is known.
    pub(super) fn adopt_stale(&mut self, routes: RouteSet, members: Members) {
        self.directory.adopt_stale(routes, members);
    }

    /// Everything is known that the source had published so long ago.
    pub(super) fn renew(&self, age_ms: Millis) {
        let as_of = self.directory.clock().now().minus(age_ms);
        self.directory.note_as_of(as_of);
        self.feed.renew(as_of);
    }

    /// Whether lapses were kept back.
    pub(super) const fn has_deferred_removals(&self) -> bool {
        self.has_deferred_removals
    }

    /// Whether lapses were kept back, so that everything has to be read anew;
    /// true once.
    pub(super) const fn take_deferred_removals(&mut self) -> bool {
        std::mem::replace(&mut self.has_deferred_removals, false)
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
    pub(super) fn apply_listing(&mut self, listing: Listing) {
        let revision = listing.revision;
        // Routes in force may be those of a stale listing, of which subscribers know nothing.
        let known = self.routes_version;
        let is_newer = |routes: &RouteSet| known.is_none_or(|known| routes.version() > known);
        let routes = listing.routes.filter(is_newer);
        let difference = self.directory.difference(listing.members);
        let mut facts = Vec::new();
        facts.extend(routes.map(Fact::Routes));
        facts.extend(difference.written.into_iter().map(Fact::Listed));
        facts.extend(difference.removed.into_iter().map(Fact::Removed));
        let changes = facts.into_iter().map(|fact| Change { revision, fact });
        // Not only what is beyond the known revision: a lapse that was kept back
        // is not.
        self.apply(changes.collect(), revision);
    }

    /// Takes changes, after which everything up to `revision` is known.
    pub(super) fn apply_new(&mut self, changes: Vec<Change>, revision: u64) {
        let mut new = changes;
        new.retain(|change| change.revision > self.revision);
        self.apply(new, revision);
    }

    fn apply(&mut self, changes: Vec<Change>, revision: u64) {
        self.feed.append(&changes, revision);
        self.revision = revision.max(self.revision);
        let mut routes = Vec::new();
        // Targets of a stale listing end with the first current facts, also where these
        // name no target.
        let mut members_changed = self.directory.take_serves_stale();
        for change in changes {
            match change.fact {
                Fact::Routes(written) => {
                    self.routes_version = self.routes_version.max(Some(written.version()));
                    routes.push(written);
                }
                Fact::LargeRoutes(version) => {
                    self.routes_version = self.routes_version.max(Some(version));
                    if Some(version) > self.directory.version() {
                        self.large_routes.request(version);
                    }
                }
                Fact::Listed(member) => {
                    self.directory.upsert(member);
                    members_changed = true;
                }
                Fact::Removed(id) if self.defers_removal(&id) => {
                    log::info!(
                        "the target {id} has lapsed, and is kept: the source is not reached"
                    );
                    self.has_deferred_removals = true;
                }
                Fact::Removed(id) => {
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

    /// Takes what a reader told, or what was read because of it.
    pub(super) fn apply_event(&mut self, event: FeedEvent) {
        let (changes, revision, last_read_failed, as_of) = match event {
            FeedEvent::Update {
                changes,
                revision,
                last_read_failed,
                as_of,
                ..
            } => (changes, revision, last_read_failed, as_of),
            FeedEvent::RoutesRead(routes) => return self.directory.set_routes(routes),
            FeedEvent::Lost { .. } => return,
        };
        if last_read_failed {
            // Entries may lapse now, as if this node's own read had failed.
            let grace_ms = self.waits.hearsay_hold_ms();
            self.directory.note_reader_failure(grace_ms);
        }
        if self.own_reads == OwnReads::Good && self.is_isolation_likely(&changes) {
            self.own_reads = OwnReads::Doubtful;
        }
        self.apply_new(changes, revision);
        // Whoever knew less than this node shows that there was no more to know then.
        self.directory.note_as_of(as_of);
        self.feed.note_as_of(as_of);
    }

    /// Whether the entry of this VM lapses, or many do together.
    fn is_isolation_likely(&self, changes: &[Change]) -> bool {
        let members = self.directory.members();
        let mut expired = 0;
        for change in changes {
            let Fact::Removed(id) = &change.fact else {
                continue;
            };
            let Some(member) = members.get(id).filter(|member| !member.draining) else {
                continue;
            };
            if member.vm_ip() == self.own_ip {
                return true;
            }
            expired += 1;
        }
        expired >= MASS_EXPIRY_COUNT.max(members.len() / MASS_EXPIRY_DIVISOR)
    }

    /// Whether a removal is not taken for now. A target that said that it drains
    /// is going in any case.
    fn defers_removal(&self, id: &TargetId) -> bool {
        if self.own_reads == OwnReads::Good {
            return false;
        }
        let members = self.directory.members();
        members.get(id).is_some_and(|member| !member.draining)
    }

    /// The source could not be read.
    pub(super) fn note_failed_read(&mut self) {
        self.own_reads = OwnReads::Failed;
        self.note_entries_may_expire();
    }

    /// Entries may lapse now, so that a removal waits for their return.
    pub(super) fn note_entries_may_expire(&mut self) {
        self.directory.note_read_failure();
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
