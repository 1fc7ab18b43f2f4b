//! What traffic knows of configuration and targets, and who writes it.

use std::sync::Arc;

use arc_swap::ArcSwap;
use hornbeamhitch_dispatch::members::MemberTracker;

use crate::prelude::*;

/// Facts in force, replaced whole by the control thread.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Routes; `None` until a configuration is known.
    pub routes: Option<Arc<RouteSet>>,
    /// Targets.
    pub members: Arc<Members>,
}

/// The directory as traffic reads it.
pub type SharedDirectory = Arc<ArcSwap<Directory>>;

/// Writes the directory; owned by the control thread.
#[derive(Debug)]
pub struct DirectoryWriter {
    directory: SharedDirectory,
    tracker: MemberTracker,
    clock: ProcessClock,
}

impl DirectoryWriter {
    /// A writer of an empty directory.
    #[must_use]
    pub fn new(directory: SharedDirectory, clock: ProcessClock) -> Self {
        Self {
            directory,
            tracker: MemberTracker::default(),
            clock,
        }
    }

    /// Takes over a configuration unless one as new is in force.
    ///
    /// Failure answered: a read that was answered late, or by a replica behind,
    /// brings an older version after a newer one; requests would go back to
    /// routes that the operator has taken away. Versions of one life only rise.
    pub fn set_routes(&self, routes: RouteSet) {
        let directory = self.directory.load();
        let in_force = directory.routes.as_ref().map(|known| known.version());
        if in_force.is_some_and(|known| routes.version() <= known) {
            log::debug!(offered = routes.version(), in_force; "an older configuration was offered");
            return;
        }
        log::info!(version = routes.version(), before = in_force; "configuration in force");
        self.directory.store(Arc::new(Directory {
            routes: Some(Arc::new(routes)),
            members: Arc::clone(&directory.members),
        }));
    }

    /// A target's entry was written.
    pub fn upsert(&mut self, member: Member) {
        self.tracker.upsert(member);
    }

    /// A target's entry was removed.
    pub fn remove(&mut self, id: &TargetId) {
        self.tracker.remove(id, self.clock.now());
    }

    /// A complete listing was read.
    pub fn replace(&mut self, members: Vec<Member>) {
        self.tracker.replace(members, self.clock.now());
    }

    /// The source could not be read.
    pub fn note_trouble(&mut self) {
        self.tracker.note_trouble(self.clock.now());
    }

    /// Drops entries that stayed missing, and says when to look again.
    pub fn expire(&mut self) -> Option<Millis> {
        if self.tracker.expire(self.clock.now()) {
            self.publish_members();
        }
        self.tracker.next_expiry()
    }

    /// Shows the changes to traffic.
    pub fn publish_members(&self) {
        let directory = self.directory.load();
        let members = self.tracker.snapshot();
        log::info!(targets = members.len(); "targets in force");
        self.directory.store(Arc::new(Directory {
            routes: directory.routes.clone(),
            members: Arc::new(members),
        }));
    }

    /// Version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        let directory = self.directory.load();
        directory.routes.as_ref().map(|routes| routes.version())
    }

    /// The clock that times are read from.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        self.clock
    }
}
