//! The state that this node knows, whether it was read from the source or received from
//! readers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;

use hornbeamhitch_dispatch::knowledge::waits::Waits;
use rand::seq::IndexedRandom;

use super::large_routes::{LargeRoutes, ManifestSource, WantedRoutes};
use crate::directory::{DirectoryWriter, PendingRoutes};
use crate::feed::{ChangeFeed, FeedEvent};
use crate::prelude::*;
use crate::source::{Change, Fact, Listing};

/// When this many entries, or this fraction of all entries, expire together, a network
/// problem between VMs and the platform is likelier than the failure of single targets.
const MASS_EXPIRY_COUNT: usize = 3;
const MASS_EXPIRY_DIVISOR: usize = 8;
/// Number of nodes other than readers that are asked for the parts of a configuration.
const MAX_OTHER_SOURCES: usize = 4;

/// State of this node's own reads of the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnReads {
    /// The last read succeeded, and no update from a reader suggests otherwise.
    Good,
    /// Updates from readers suggest that this node cannot reach the source; the next read
    /// decides.
    Doubtful,
    /// The last read failed.
    Failed,
}

/// Published facts, and the revision up to which they are complete.
///
/// Invariant: every change up to `revision` has been applied, and none after it. The same
/// change arrives from the source and from several readers, with batches in any order. If
/// an older entry were applied again, a target that a later change removed would come
/// back. Changes up to `revision` are therefore ignored.
///
/// There is one exception: while this node's own reads are not good, expired targets are
/// kept, and the complete listing has to be read afterwards. When a partition separates
/// some VMs from the platform, their entries expire although their targets are still
/// serving. Nodes that reach the platform must not use these targets. If the partitioned
/// nodes followed the readers' updates and dropped them too, no node would use a third of
/// the targets, and the remaining targets would reject callers.
#[derive(Debug)]
pub(super) struct KnownState {
    directory: DirectoryWriter,
    feed: Arc<ChangeFeed>,
    large_routes: LargeRoutes,
    revision: Revision,
    /// Newest version of the configuration among the changes up to `revision`.
    routes_version: Option<u64>,
    members_changed: bool,
    own_ip: IpAddr,
    waits: Waits,
    own_reads: OwnReads,
    /// Whether the removal of an expired target has been deferred.
    has_deferred_removals: bool,
    /// Readers whose updates lack changes before this revision, until this node knows
    /// that revision from elsewhere.
    missing_before: BTreeMap<IpAddr, Revision>,
    /// The nodes to which this node subscribes.
    readers: Vec<IpAddr>,
}

impl KnownState {
    /// Returns the empty state of the node on the VM `own_ip`.
    pub(super) const fn new(
        directory: DirectoryWriter,
        feed: Arc<ChangeFeed>,
        large_routes: LargeRoutes,
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
            revision: Revision::ZERO,
            routes_version: None,
            members_changed: false,
            missing_before: BTreeMap::new(),
            readers: Vec::new(),
        }
    }

    /// Revision up to which all changes are known.
    pub(super) const fn revision(&self) -> Revision {
        self.revision
    }

    /// Age of the known state.
    pub(super) fn age_ms(&self) -> Millis {
        self.directory.age_ms()
    }

    /// The targets in force.
    pub(super) fn members(&self) -> Arc<Members> {
        self.directory.members()
    }

    /// State of this node's own reads of the source.
    pub(super) const fn own_reads(&self) -> OwnReads {
        self.own_reads
    }

    /// Records a successful read. Must be called before the changes of the read are
    /// applied, so that removals among them are not deferred.
    pub(super) const fn note_good_read(&mut self) {
        self.own_reads = OwnReads::Good;
    }

    /// Lets traffic use a possibly stale listing while no current one is known.
    pub(super) fn adopt_stale(&mut self, routes: RouteSet, members: Members) {
        self.directory.adopt_stale(routes, members);
    }

    /// Records that the state is complete as of `age_ms` ago, as confirmed by the source.
    pub(super) fn renew(&self, age_ms: Millis) {
        let as_of = self.directory.clock().now().minus(age_ms);
        self.directory.note_as_of(as_of);
        self.feed.renew(as_of);
    }

    /// Whether removals have been deferred.
    pub(super) const fn has_deferred_removals(&self) -> bool {
        self.has_deferred_removals
    }

    /// Whether removals have been deferred, so that the complete listing has to be read.
    /// Resets the flag.
    pub(super) const fn take_deferred_removals(&mut self) -> bool {
        std::mem::replace(&mut self.has_deferred_removals, false)
    }

    /// The feed that publishes this state to subscribers.
    pub(super) fn feed(&self) -> &ChangeFeed {
        &self.feed
    }

    /// Whether the targets have changed since the last call.
    pub(super) const fn take_members_changed(&mut self) -> bool {
        std::mem::replace(&mut self.members_changed, false)
    }

    /// Applies a complete listing as a set of changes to the known state.
    ///
    /// When the source drops its history, each reader reads the complete listing. The
    /// difference is published to subscribers; otherwise all of them would have to read
    /// the source at that moment, with an outdated state.
    pub(super) fn apply_listing(&mut self, listing: Listing) {
        let revision = listing.revision;
        let (known, targets) = (self.revision, listing.members.len());
        log::info!(known:%, revision:%, targets; "read the complete listing");
        // The routes in force may come from a stale listing that was not published to
        // subscribers.
        let known = self.routes_version;
        let is_newer = |routes: &RouteSet| known.is_none_or(|known| routes.version() > known);
        let routes = listing.routes.filter(is_newer);
        let difference = self.directory.difference(listing.members);
        let mut facts = Vec::new();
        if revision > self.revision {
            let after = self.revision;
            facts.push(Fact::DerivedFromListing { after });
        }
        facts.extend(self.directory.evacuation_changes(&listing.evacuated));
        facts.extend(routes.map(Fact::Routes));
        facts.extend(difference.written.into_iter().map(Fact::Listed));
        facts.extend(difference.removed.into_iter().map(Fact::Removed));
        let changes = facts.into_iter().map(|fact| Change { revision, fact });
        // Changes up to the known revision are not skipped because deferred removals are
        // among them.
        self.apply(changes.collect(), revision, None);
    }

    /// Applies the changes that are newer than the known state, which is then complete up
    /// to `revision`. They were read from the source, or received from `sender`.
    pub(super) fn apply_new(
        &mut self,
        changes: Vec<Change>,
        revision: Revision,
        sender: Option<IpAddr>,
    ) {
        let mut new = changes;
        new.retain(|change| change.revision > self.revision);
        self.apply(new, revision, sender);
    }

    fn apply(&mut self, changes: Vec<Change>, revision: Revision, sender: Option<IpAddr>) {
        self.note_era(revision);
        self.feed.append(&changes, revision);
        self.revision = revision.max(self.revision);
        let mut routes = Vec::new();
        // The first current facts replace the targets of a stale listing, even if they
        // name no target.
        let mut members_changed = self.directory.take_serves_stale();
        for change in changes {
            match change.fact {
                Fact::Routes(written) => {
                    self.routes_version = self.routes_version.max(Some(written.version()));
                    routes.push(written);
                }
                Fact::LargeRoutes(version) => self.request_routes(version, None, sender),
                Fact::RoutesInParts(manifest) => {
                    let version = manifest.version();
                    self.request_routes(version, Some(ManifestSource::Known(manifest)), sender);
                }
                Fact::RoutesByDigest { version, manifest } => {
                    self.request_routes(version, Some(ManifestSource::Digest(manifest)), sender);
                }
                Fact::Listed(member) => {
                    self.directory.upsert(member);
                    members_changed = true;
                }
                Fact::Removed(id) if self.defers_removal(&id) => {
                    log::info!("keeping the expired target {id} because the source is unreachable");
                    self.has_deferred_removals = true;
                }
                Fact::Removed(id) => {
                    log::info!("the target {id} was removed from the listing");
                    self.directory.remove(&id);
                    members_changed = true;
                }
                Fact::EvacuationStarted(data_centre) => {
                    members_changed |= self.directory.set_evacuated(data_centre, true);
                }
                Fact::EvacuationEnded(data_centre) => {
                    members_changed |= self.directory.set_evacuated(data_centre, false);
                }
                Fact::DerivedFromListing { .. } => {}
            }
        }
        if members_changed {
            self.publish_members();
        }
        // Routes are set after the targets that they may refer to.
        for written in routes {
            self.directory.set_routes(written);
        }
        self.directory.note_newest_routes(self.routes_version);
    }

    /// Requests a configuration that is too large for the change feed, unless the one in
    /// force is as new.
    fn request_routes(
        &mut self,
        version: u64,
        manifest: Option<ManifestSource>,
        sender: Option<IpAddr>,
    ) {
        self.routes_version = self.routes_version.max(Some(version));
        if Some(version) <= self.directory.version() {
            return;
        }
        if manifest.is_some() {
            self.keep_parts_in_force();
        }
        self.large_routes.request(WantedRoutes {
            version,
            manifest,
            sources: self.sources_of_parts(sender),
        });
    }

    /// Returns the nodes to ask for parts: the sender of the manifest, then other nodes and
    /// readers in turn. Readers refer to the same nodes, all of which may be slow or gone.
    fn sources_of_parts(&self, sender: Option<IpAddr>) -> Vec<IpAddr> {
        let mut others = self.directory.members().vms();
        others.remove(&self.own_ip);
        for known in sender.iter().chain(&self.readers) {
            others.remove(known);
        }
        let others: Vec<IpAddr> = others.into_iter().collect();
        let mut others = others.sample(&mut rand::rng(), MAX_OTHER_SOURCES);
        let mut sources: Vec<IpAddr> = sender.into_iter().collect();
        for reader in &self.readers {
            sources.extend(others.next());
            if !sources.contains(reader) {
                sources.push(*reader);
            }
        }
        sources.extend(others);
        sources
    }

    /// Keeps the parts of the configuration in force, most of which are usually also parts
    /// of the next one.
    fn keep_parts_in_force(&self) {
        let Some(routes) = self.directory.routes() else {
            return;
        };
        let parts = self.feed.parts();
        if parts.keeps_version(routes.version()) {
            return;
        }
        if let Err(fault) = parts.add_routes(&routes) {
            log::error!("the configuration in force cannot be split into parts: {fault}");
        }
    }

    /// Prepares for the changes of a later era, in which facts of before may be missing or
    /// return.
    fn note_era(&mut self, revision: Revision) {
        let known = self.revision;
        if known == Revision::ZERO || revision <= known || revision.is_same_era(known) {
            return;
        }
        log::warn!(known:%, revision:%; "the source has returned from an older copy");
        self.directory.begin_era();
    }

    /// Applies an event from a reader, or a configuration that was read separately.
    pub(super) fn apply_event(&mut self, event: FeedEvent) {
        let (reader, changes, revision, last_read_failed, as_of) = match event {
            FeedEvent::Update {
                reader,
                changes,
                revision,
                last_read_failed,
                as_of,
                is_receiving: _,
            } => (reader, changes, revision, last_read_failed, as_of),
            FeedEvent::ManifestKnown(manifest) => {
                let parts = Arc::clone(self.feed.parts());
                self.directory
                    .set_pending(PendingRoutes { manifest, parts });
                return;
            }
            FeedEvent::RoutesRead(routes) => {
                self.directory.set_routes(routes);
                self.directory.note_newest_routes(self.routes_version);
                return;
            }
            FeedEvent::Lost { reader } => {
                self.missing_before.remove(&reader);
                return;
            }
            FeedEvent::Offer { .. } => return,
        };
        if last_read_failed {
            // Entries may expire now, as after a failed read of this node.
            let grace_ms = self.waits.relayed_removal_hold_ms();
            self.directory.note_remote_store_failure(grace_ms);
        }
        if self.own_reads == OwnReads::Good && self.is_isolation_likely(&changes) {
            self.own_reads = OwnReads::Doubtful;
        }
        if !self.is_complete(reader, &changes, revision) {
            log::info!(revision:%; "skipped an update of the reader {reader} that lacks changes");
            return;
        }
        self.apply_new(changes, revision, Some(reader));
        // A reader that knows less than this node still confirms that nothing newer
        // existed as of that time.
        self.directory.note_as_of(as_of);
        self.feed.note_as_of(as_of);
    }

    /// Whether updates of a reader were skipped whose changes this node does not know yet.
    pub(super) fn is_missing_changes(&self) -> bool {
        let mut needed = self.missing_before.values();
        needed.any(|needed| *needed > self.revision)
    }

    /// Sets the readers of this node, and forgets skipped updates of nodes to which it is not
    /// subscribed. A former reader that still publishes lacks what its skipped updates lacked.
    pub(super) fn set_readers(&mut self, readers: &[IpAddr], subscribed: &BTreeSet<IpAddr>) {
        self.readers = readers.to_vec();
        self.missing_before
            .retain(|reader, _| subscribed.contains(reader));
    }

    /// Whether an update of a reader contains every change after the revision that this
    /// node knows.
    ///
    /// A reader that has read a complete listing cannot tell what was published and
    /// withdrawn since the revision that it knew before. A node that has learnt of such a
    /// target or evacuation from another reader would keep it for good. So it skips the
    /// updates of this reader until it knows all that they contain from elsewhere.
    fn is_complete(&mut self, reader: IpAddr, changes: &[Change], revision: Revision) -> bool {
        let needed = self.missing_before.get(&reader).copied();
        let mut is_complete = needed.is_none_or(|needed| self.revision >= needed);
        for change in changes {
            if let Fact::DerivedFromListing { after } = change.fact {
                is_complete &= self.revision <= after || self.revision >= change.revision;
            }
        }
        match is_complete {
            true => self.missing_before.remove(&reader),
            false => self
                .missing_before
                .insert(reader, revision.max(needed.unwrap_or(Revision::ZERO))),
        };
        is_complete
    }

    /// Whether this VM's own entry or many entries at once have expired, which suggests
    /// that this node cannot reach the source.
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

    /// Whether the removal of a target is deferred. Removals of draining targets never
    /// are.
    fn defers_removal(&self, id: &TargetId) -> bool {
        if self.own_reads == OwnReads::Good {
            return false;
        }
        let members = self.directory.members();
        members.get(id).is_some_and(|member| !member.draining)
    }

    /// Records a failed read of the source.
    pub(super) fn note_failed_read(&mut self) {
        self.own_reads = OwnReads::Failed;
        self.note_entries_may_expire();
    }

    /// Forgets that reads of the source failed.
    pub(super) const fn forget_failed_reads(&mut self) {
        self.own_reads = OwnReads::Good;
    }

    /// Records that entries may expire although their targets are alive, which delays
    /// removals.
    pub(super) fn note_entries_may_expire(&mut self) {
        self.directory.note_store_failure();
    }

    /// Drops entries whose grace period has ended, and returns the time of the next
    /// check.
    pub(super) fn expire(&mut self) -> Option<tokio::time::Instant> {
        let at = self.directory.expire()?;
        Some(self.directory.clock().to_instant(at))
    }

    fn publish_members(&mut self) {
        self.directory.publish_members();
        self.members_changed = true;
    }
}
