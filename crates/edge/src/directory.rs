//! The configuration and targets that traffic uses, and the writer that updates them.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use bytes::Bytes;
use hornbeamhitch_dispatch::knowledge::members::{Difference, MemberTracker};
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::source::{Fact, Listing};

mod lookup;

pub use lookup::{PendingRoutes, RouteLookup};

/// Configuration and targets in force. The control thread replaces the value as a whole.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Routes; `None` until a configuration is known.
    pub routes: Option<Arc<RouteSet>>,
    /// The targets.
    pub members: Arc<Members>,
    /// Time as of which both are complete.
    pub as_of: AsOf,
    /// A newer configuration whose parts are being fetched.
    pub pending: Option<Arc<PendingRoutes>>,
    /// Lag of the routes behind the versions that this node has heard of.
    pub routes_lag: RoutesLag,
}

/// Time as of which a node knows everything that the source has published. All
/// directories of a process share one value.
#[derive(Clone, Debug, Default)]
pub struct AsOf(Arc<AtomicU64>);

impl AsOf {
    const UNKNOWN: u64 = 0;

    /// Records that everything published by `at` is known.
    pub fn note(&self, at: Millis) {
        self.0.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Whether the source has confirmed any state of this node.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.0.load(Ordering::Relaxed) != Self::UNKNOWN
    }

    /// Age of the known state, counted from the start of the process while nothing is
    /// known.
    #[must_use]
    pub fn age_ms(&self, now: Millis) -> Millis {
        now.since(Millis(self.0.load(Ordering::Relaxed)))
    }
}

/// How long this node has known of a configuration that it has not obtained yet. All
/// directories of a process share one value.
///
/// A large configuration is transferred after the change that names it, so a node that knows
/// all changes may still use older routes.
#[derive(Clone, Debug, Default)]
pub struct RoutesLag(Arc<AtomicU64>);

impl RoutesLag {
    const NONE: u64 = 0;

    /// Records that a newer configuration than the one in force was first known at `since`.
    pub fn note_behind(&self, since: Millis) {
        self.0.store(since.0.max(1), Ordering::Relaxed);
    }

    /// Records that the newest known configuration is in force.
    pub fn note_current(&self) {
        self.0.store(Self::NONE, Ordering::Relaxed);
    }

    /// Whether a newer configuration is known than the one in force.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.0.load(Ordering::Relaxed) != Self::NONE
    }

    /// Returns how long the routes in force have been outdated, zero if they are current.
    #[must_use]
    pub fn lag_ms(&self, now: Millis) -> Millis {
        match self.0.load(Ordering::Relaxed) {
            Self::NONE => Millis::ZERO,
            since => now.since(Millis(since)),
        }
    }
}

/// The state that a node sends to another node that has none.
#[derive(Serialize, Deserialize)]
struct Facts {
    routes: RouteSet,
    members: Vec<Member>,
    evacuated: BTreeSet<DataCentre>,
}

impl Directory {
    /// Encodes the known state for a node that has none. Returns `None` without routes.
    #[must_use]
    pub fn to_facts(&self) -> Option<Bytes> {
        let facts = Facts {
            routes: self.routes.as_deref()?.clone(),
            members: self
                .members
                .iter()
                .map(|member| (**member).clone())
                .collect(),
            evacuated: self.members.evacuated().clone(),
        };
        match postcard::to_stdvec(&facts) {
            Ok(encoded) => Some(Bytes::from(encoded)),
            Err(error) => {
                log::error!("facts cannot be encoded: {error}");
                None
            }
        }
    }
}

/// Adopts the state of another node if this node has no configuration.
///
/// Nodes that restart while the store is unavailable would otherwise reject every request
/// until it returns, although all other nodes have the state that they lack. State that
/// is read from the store later replaces the adopted state because versions only
/// increase.
pub fn adopt_facts(directory: &SharedDirectory, encoded: &[u8]) {
    let facts: Facts = match postcard::from_bytes(encoded) {
        Ok(facts) => facts,
        Err(error) => {
            log::warn!("facts received from another node cannot be decoded: {error}");
            return;
        }
    };
    let mut tracker = MemberTracker::default();
    for member in facts.members {
        tracker.upsert(member);
    }
    for data_centre in facts.evacuated {
        tracker.set_evacuated(data_centre, true);
    }
    let version = facts.routes.version();
    let adopted = Arc::new(Directory {
        routes: Some(Arc::new(facts.routes)),
        members: Arc::new(tracker.snapshot()),
        as_of: directory.load().as_of.clone(),
        pending: None,
        routes_lag: directory.load().routes_lag.clone(),
    });
    let before = directory.rcu(|known| match known.routes {
        Some(_) => Arc::clone(known),
        None => Arc::clone(&adopted),
    });
    if before.routes.is_none() {
        log::info!(version; "configuration in force, received from another node");
    }
}

/// Returns the targets of a listing in the form that traffic uses.
pub(crate) fn members_of(listing: &Listing) -> Members {
    let mut tracker = MemberTracker::default();
    for member in &listing.members {
        tracker.upsert(member.clone());
    }
    for data_centre in &listing.evacuated {
        tracker.set_evacuated(data_centre.clone(), true);
    }
    match &listing.routes {
        Some(routes) => tracker.snapshot_for(routes),
        None => tracker.snapshot(),
    }
}

/// A directory shared between the control thread and traffic.
pub type SharedDirectory = Arc<ArcSwap<Directory>>;

/// Writes the directory. Owned by the control thread.
#[derive(Debug)]
pub struct DirectoryWriter {
    directory: SharedDirectory,
    tracker: MemberTracker,
    clock: ProcessClock,
    /// Versions newer than the one in force, and when this node first knew of each.
    outstanding: VecDeque<(u64, Millis)>,
    /// Whether the state in force comes from a stale listing.
    serves_stale: bool,
}

impl DirectoryWriter {
    /// Creates a writer for an empty directory.
    #[must_use]
    pub fn new(directory: SharedDirectory, clock: ProcessClock) -> Self {
        Self {
            directory,
            tracker: MemberTracker::default(),
            clock,
            outstanding: VecDeque::new(),
            serves_stale: false,
        }
    }

    /// Puts a configuration in force unless the one in force is as new or newer.
    ///
    /// A late response, or one from a lagging replica, can deliver an older version after
    /// a newer one. Requests would then use routes that the operator has removed.
    /// Versions only increase while the process runs.
    pub fn set_routes(&self, routes: RouteSet) {
        let directory = self.directory.load();
        let in_force = directory.routes.as_ref().map(|known| known.version());
        if in_force.is_some_and(|known| routes.version() <= known) {
            log::debug!(offered = routes.version(), in_force; "ignored a configuration that is not newer than the one in force");
            return;
        }
        let lag_ms = directory.routes_lag.lag_ms(self.clock.now()).0;
        log::info!(version = routes.version(), before = in_force, lag_ms; "configuration in force");
        let routes = Arc::new(routes);
        // The configuration may name services whose targets were listed before it.
        let members = Arc::new(self.tracker.snapshot_for(&routes));
        let is_tracking = !self.tracker.is_empty();
        self.directory.rcu(|known| {
            let pending = known.pending.as_ref();
            let pending = pending.filter(|pending| pending.version() > routes.version());
            Directory {
                routes: Some(Arc::clone(&routes)),
                members: match is_tracking {
                    true => Arc::clone(&members),
                    false => Arc::clone(&known.members),
                },
                pending: pending.cloned(),
                ..Directory::clone(known)
            }
        });
    }

    /// Sets the newest configuration whose parts are being fetched.
    pub fn set_pending(&self, pending: PendingRoutes) {
        if Some(pending.version()) <= self.version() {
            return;
        }
        let pending = Arc::new(pending);
        self.directory.rcu(|known| Directory {
            pending: Some(Arc::clone(&pending)),
            ..Directory::clone(known)
        });
    }

    /// Lets traffic use a possibly stale listing while no current state is known. The
    /// listing does not count as known, so current state replaces all of it.
    ///
    /// State adopted from another node is kept because it is usually newer.
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
                ..Directory::clone(known)
            })
        });
        if before.routes.is_none() {
            self.serves_stale = true;
            log::info!(version; "configuration in force, from a stale listing");
        }
    }

    /// Whether the targets in force come from a stale listing. Resets the flag.
    pub const fn take_serves_stale(&mut self) -> bool {
        std::mem::replace(&mut self.serves_stale, false)
    }

    /// Adds or replaces the entry of a target.
    pub fn upsert(&mut self, member: Member) {
        self.tracker.upsert(member);
    }

    /// Removes the entry of a target.
    pub fn remove(&mut self, id: &TargetId) {
        self.tracker.remove(id, self.clock.now());
    }

    /// Returns the changes that turn the known targets into a complete listing.
    #[must_use]
    pub fn difference(&self, listed: Vec<Member>) -> Difference {
        self.tracker.difference(listed)
    }

    /// Starts or ends the evacuation of a data centre; returns whether that is a change.
    pub fn set_evacuated(&mut self, data_centre: DataCentre, is_evacuated: bool) -> bool {
        let name = data_centre.to_string();
        let is_changed = self.tracker.set_evacuated(data_centre, is_evacuated);
        match is_evacuated {
            _ if !is_changed => {}
            true => log::warn!(data_centre = name; "the data centre is evacuated"),
            false => log::info!(data_centre = name; "the evacuation of the data centre has ended"),
        }
        is_changed
    }

    /// Returns the changes that turn the known evacuations into those of a complete
    /// listing.
    #[must_use]
    pub fn evacuation_changes(&self, listed: &BTreeSet<DataCentre>) -> Vec<Fact> {
        let known = self.tracker.evacuated();
        let mut facts = Vec::new();
        for started in listed.difference(known) {
            facts.push(Fact::EvacuationStarted(started.clone()));
        }
        for ended in known.difference(listed) {
            facts.push(Fact::EvacuationEnded(ended.clone()));
        }
        facts
    }

    /// Records that the source has returned from an older copy of itself.
    pub fn begin_era(&mut self) {
        self.tracker.begin_era(self.clock.now());
    }

    /// Records that this node failed to read the source.
    pub fn note_store_failure(&mut self) {
        self.tracker.note_store_failure(self.clock.now());
    }

    /// Records that a reader to which this node subscribes failed to read the source.
    pub fn note_remote_store_failure(&mut self, grace_ms: Millis) {
        self.tracker
            .note_remote_store_failure(grace_ms, self.clock.now());
    }

    /// Drops entries whose grace period has ended, and returns the time of the next
    /// check.
    pub fn expire(&mut self) -> Option<Millis> {
        if self.tracker.expire(self.clock.now()) {
            self.publish_members();
        }
        self.tracker.next_expiry()
    }

    /// The targets in force.
    #[must_use]
    pub fn members(&self) -> Arc<Members> {
        Arc::clone(&self.directory.load().members)
    }

    /// Puts the current targets in force.
    pub fn publish_members(&self) {
        let routes = self.directory.load().routes.clone();
        let members = Arc::new(match routes {
            Some(routes) => self.tracker.snapshot_for(&routes),
            None => self.tracker.snapshot(),
        });
        log::info!(targets = members.len(); "targets in force");
        self.directory.rcu(|known| Directory {
            members: Arc::clone(&members),
            ..Directory::clone(known)
        });
    }

    /// Records that everything published by `at` is known.
    pub fn note_as_of(&self, at: Millis) {
        self.directory.load().as_of.note(at);
    }

    /// Records the newest version that is known, which may not be in force yet.
    pub fn note_newest_routes(&mut self, newest: Option<u64>) {
        let last_known = self.outstanding.back().map(|(version, _)| *version);
        if let Some(newest) = newest.filter(|newest| Some(*newest) > last_known) {
            self.outstanding.push_back((newest, self.clock.now()));
        }
        let oldest = self.outstanding.front().map(|(_, known_at)| *known_at);
        let in_force = self.version();
        self.outstanding
            .retain(|(version, _)| Some(*version) > in_force);
        let directory = self.directory.load();
        if directory.pending.is_some()
            && let (Some((_, known_at)), Some(oldest)) = (self.outstanding.front_mut(), oldest)
        {
            // Requests may have been routed by the pending configuration, so the one before it
            // must not be used now.
            *known_at = oldest.min(*known_at);
        }
        let lag = &directory.routes_lag;
        match self.outstanding.front() {
            Some((_, known_at)) => lag.note_behind(*known_at),
            None => lag.note_current(),
        }
    }

    /// Age of the known state.
    #[must_use]
    pub fn age_ms(&self) -> Millis {
        self.directory.load().as_of.age_ms(self.clock.now())
    }

    /// The configuration in force.
    #[must_use]
    pub fn routes(&self) -> Option<Arc<RouteSet>> {
        self.directory.load().routes.clone()
    }

    /// Version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        let directory = self.directory.load();
        directory.routes.as_ref().map(|routes| routes.version())
    }

    /// The clock on which all times of this writer are based.
    #[must_use]
    pub const fn clock(&self) -> ProcessClock {
        self.clock
    }
}
