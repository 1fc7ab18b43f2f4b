//! What traffic knows of configuration and targets, and who writes it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use bytes::Bytes;
use hornbeamhitch_dispatch::members::{Difference, MemberTracker};
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::source::Listing;

/// Facts in force, replaced whole by the control thread.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Routes; `None` until a configuration is known.
    pub routes: Option<Arc<RouteSet>>,
    /// Targets.
    pub members: Arc<Members>,
    /// How old both may be.
    pub as_of: AsOf,
}

/// The time as of which a node knows everything that the source has published. Shared by
/// all directories of a process.
#[derive(Clone, Debug, Default)]
pub struct AsOf(Arc<AtomicU64>);

impl AsOf {
    /// Everything that was published by then is known.
    pub fn note(&self, at: Millis) {
        self.0.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Age of what is known. Counted from the process's start while nothing is.
    #[must_use]
    pub fn age_ms(&self, now: Millis) -> Millis {
        now.since(Millis(self.0.load(Ordering::Relaxed)))
    }
}

/// Largest facts that are told: a frame without room for the message around them.
const MAX_FACTS_BYTES: usize = hornbeamhitch_wire::link::MAX_FRAME_BYTES - 1024;

/// What one node tells another that knows nothing.
#[derive(Serialize, Deserialize)]
struct Facts {
    routes: RouteSet,
    members: Vec<Member>,
}

impl Directory {
    /// What is known, for a node that knows nothing; `None` without routes, or when it is
    /// more than one frame carries: a frame that cannot be sent would end the link with
    /// all calls on it.
    #[must_use]
    pub fn to_facts(&self) -> Option<Bytes> {
        let facts = Facts {
            routes: self.routes.as_deref()?.clone(),
            members: self
                .members
                .iter()
                .map(|member| (**member).clone())
                .collect(),
        };
        match postcard::to_stdvec(&facts) {
            Ok(encoded) if encoded.len() > MAX_FACTS_BYTES => {
                log::warn!("{} bytes of facts are too large to be told", encoded.len());
                None
            }
            Ok(encoded) => Some(Bytes::from(encoded)),
            Err(error) => {
                log::error!("facts cannot be written: {error}");
                None
            }
        }
    }
}

/// Takes over another node's facts where nothing is known.
///
/// Failure answered: nodes are restarted while the store is away, and refuse
/// everything until it returns, although every node beside them knows all that
/// they lack. What is read from the store later replaces it; versions only rise.
pub fn adopt_facts(directory: &SharedDirectory, encoded: &[u8]) {
    let facts: Facts = match postcard::from_bytes(encoded) {
        Ok(facts) => facts,
        Err(error) => {
            log::warn!("another node's facts cannot be read: {error}");
            return;
        }
    };
    let mut tracker = MemberTracker::default();
    for member in facts.members {
        tracker.upsert(member);
    }
    let version = facts.routes.version();
    let adopted = Arc::new(Directory {
        routes: Some(Arc::new(facts.routes)),
        members: Arc::new(tracker.snapshot()),
        as_of: directory.load().as_of.clone(),
    });
    let before = directory.rcu(|known| match known.routes {
        Some(_) => Arc::clone(known),
        None => Arc::clone(&adopted),
    });
    if before.routes.is_none() {
        log::info!(version; "configuration in force, heard from another node");
    }
}

/// The targets of a listing, as traffic reads them.
pub(crate) fn members_of(listing: &Listing) -> Members {
    let mut tracker = MemberTracker::default();
    for member in &listing.members {
        tracker.upsert(member.clone());
    }
    match &listing.routes {
        Some(routes) => tracker.snapshot_for(routes),
        None => tracker.snapshot(),
    }
}

/// The directory as traffic reads it.
pub type SharedDirectory = Arc<ArcSwap<Directory>>;

/// Writes the directory; owned by the control thread.
#[derive(Debug)]
pub struct DirectoryWriter {
    directory: SharedDirectory,
    tracker: MemberTracker,
    clock: ProcessClock,
    /// The facts in force are those of a stale listing.
    serves_stale: bool,
}

impl DirectoryWriter {
    /// A writer of an empty directory.
    #[must_use]
    pub fn new(directory: SharedDirectory, clock: ProcessClock) -> Self {
        Self {
            directory,
            tracker: MemberTracker::default(),
            clock,
            serves_stale: false,
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
        let routes = Arc::new(routes);
        // It may name services whose targets were listed before it.
        let members = Arc::new(self.tracker.snapshot_for(&routes));
        let is_tracking = !self.tracker.is_empty();
        self.directory.rcu(|known| Directory {
            routes: Some(Arc::clone(&routes)),
            members: match is_tracking {
                true => Arc::clone(&members),
                false => Arc::clone(&known.members),
            },
            as_of: known.as_of.clone(),
        });
    }

    /// Lets traffic use a listing that may be stale while nothing is known. None of it
    /// counts as known, so current facts replace all of it.
    ///
    /// What another node told is left alone: it is newer as a rule.
    pub fn adopt_stale(&mut self, routes: RouteSet, members: Members) {
        let version = routes.version();
        let (routes, members) = (Arc::new(routes), Arc::new(members));
        let serves_stale = self.serves_stale;
        let before = self.directory.rcu(|known| {
            let is_replaced = match &known.routes {
                Some(known) => serves_stale && version >= known.version(),
                None => true,
            };
            if !is_replaced {
                return Arc::clone(known);
            }
            Arc::new(Directory {
                routes: Some(Arc::clone(&routes)),
                members: Arc::clone(&members),
                as_of: known.as_of.clone(),
            })
        });
        if before.routes.is_none() {
            self.serves_stale = true;
            log::info!(version; "configuration in force, from a stale listing");
        }
    }

    /// Whether the targets in force are those of a stale listing; true once.
    pub const fn take_serves_stale(&mut self) -> bool {
        std::mem::replace(&mut self.serves_stale, false)
    }

    /// A target's entry was written.
    pub fn upsert(&mut self, member: Member) {
        self.tracker.upsert(member);
    }

    /// A target's entry was removed.
    pub fn remove(&mut self, id: &TargetId) {
        self.tracker.remove(id, self.clock.now());
    }

    /// What a complete listing changes.
    #[must_use]
    pub fn difference(&self, listed: Vec<Member>) -> Difference {
        self.tracker.difference(listed)
    }

    /// The source could not be read.
    pub fn note_read_failure(&mut self) {
        self.tracker.note_trouble(self.clock.now());
    }

    /// A reader that this node hears could not read the source.
    pub fn note_reader_failure(&mut self, grace_ms: Millis) {
        self.tracker
            .note_distant_trouble(grace_ms, self.clock.now());
    }

    /// Drops entries that stayed missing, and says when to look again.
    pub fn expire(&mut self) -> Option<Millis> {
        if self.tracker.expire(self.clock.now()) {
            self.publish_members();
        }
        self.tracker.next_expiry()
    }

    /// The targets that traffic knows.
    #[must_use]
    pub fn members(&self) -> Arc<Members> {
        Arc::clone(&self.directory.load().members)
    }

    /// Shows the changes to traffic.
    pub fn publish_members(&self) {
        let routes = self.directory.load().routes.clone();
        let members = Arc::new(match routes {
            Some(routes) => self.tracker.snapshot_for(&routes),
            None => self.tracker.snapshot(),
        });
        log::info!(targets = members.len(); "targets in force");
        self.directory.rcu(|known| Directory {
            routes: known.routes.clone(),
            members: Arc::clone(&members),
            as_of: known.as_of.clone(),
        });
    }

    /// Everything that was published by then is known.
    pub fn note_as_of(&self, at: Millis) {
        self.directory.load().as_of.note(at);
    }

    /// Age of what is known.
    #[must_use]
    pub fn age_ms(&self) -> Millis {
        self.directory.load().as_of.age_ms(self.clock.now())
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
