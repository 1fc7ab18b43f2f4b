//! The targets that the platform lists, and what becomes of entries that lapse.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

#[cfg(test)]
pub(crate) mod tests;

/// Entries that lapsed with the store's trouble are back within about this
/// time when their target lives; one still missing is gone.
const LAPSE_GRACE_MS: Millis = Millis(2_000);
/// A removal this soon after trouble with the store may be a lapse.
const STORE_FAILURE_WINDOW_MS: Millis = Millis(1_000);

/// A target that is gone is remembered this long: far beyond the time in which
/// an entry that slept may still send to it.
const REMOVED_RETENTION_MS: Millis = Millis::from_secs(60);

/// One life of a target; a restarted target has another id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetId(Arc<str>);

impl TargetId {
    /// Wraps an id as the platform writes it.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self(Arc::from(id))
    }

    /// The id itself.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// This life of the target.
    pub id: TargetId,
    /// Its service.
    pub service: ServiceName,
    /// Its own address, reachable from its VM only.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It takes no new work and will end.
    pub draining: bool,
    /// Order in which targets were first listed; later ones have higher numbers.
    pub listing_order: u64,
    /// Unix time of its start, where targets tell it. A target may start again under
    /// its id; another time is another life, and nothing learnt of the earlier one
    /// holds.
    pub started_at_ms: Option<Millis>,
}

impl Member {
    /// This life of the target; whatever is learnt of it ends with it.
    #[must_use]
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            id: self.id.clone(),
            started_at_ms: self.started_at_ms,
        }
    }

    /// The VM's address, where the target's gate listens.
    #[must_use]
    pub const fn vm_ip(&self) -> IpAddr {
        self.address.ip()
    }
}

/// One life of a target. A target may start again under its id, and is told from the
/// earlier one by the time of its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetIncarnation {
    /// The target.
    pub id: TargetId,
    /// Unix time of its start, where targets tell it.
    pub started_at_ms: Option<Millis>,
}

/// Targets by service, as traffic reads them.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_id: BTreeMap<TargetId, Arc<Member>>,
    by_service: HashMap<ServiceName, Vec<Arc<Member>>>,
    /// For each call a gate looks up its own target here.
    by_address: HashMap<SocketAddr, Arc<Member>>,
    removed_at: Arc<BTreeMap<TargetId, Millis>>,
}

impl Members {
    /// Targets of a service that take new work, in the order of their ids.
    #[must_use]
    pub fn available(&self, service: &ServiceName) -> &[Arc<Member>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// A target by its id.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&Arc<Member>> {
        self.by_id.get(id)
    }

    /// Whether this life of a target is listed.
    #[must_use]
    pub fn contains(&self, incarnation: &TargetIncarnation) -> bool {
        let listed = self.by_id.get(&incarnation.id);
        listed.is_some_and(|member| member.started_at_ms == incarnation.started_at_ms)
    }

    /// The newest listed target at an address.
    #[must_use]
    pub fn at_address(&self, address: SocketAddr) -> Option<&Arc<Member>> {
        self.by_address.get(&address)
    }

    /// Whether the target was listed once and is gone.
    #[must_use]
    pub fn has_left(&self, id: &TargetId) -> bool {
        self.removed_at.contains_key(id)
    }

    /// Every target known.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.by_id.values()
    }

    /// VMs that have a listed target.
    #[must_use]
    pub fn vms(&self) -> BTreeSet<IpAddr> {
        self.by_id.values().map(|member| member.vm_ip()).collect()
    }

    /// Targets known, draining ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

/// What a complete listing changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Entries that are new or other than they were known.
    pub written: Vec<Member>,
    /// Targets that are no longer listed.
    pub removed: Vec<TargetId>,
}

/// Follows the platform's list on the control thread.
#[derive(Debug, Default)]
pub struct MemberTracker {
    known: BTreeMap<TargetId, TrackedMember>,
    /// Targets that are gone, and since when. Ids are never used again.
    removed_at: BTreeMap<TargetId, Millis>,
    store_failed_at: Option<Millis>,
    remote_failure: Option<RemoteStoreFailure>,
}

/// Trouble of another node with the store.
#[derive(Clone, Copy, Debug)]
struct RemoteStoreFailure {
    at: Millis,
    /// How long a removal is held meanwhile.
    grace_ms: Millis,
}

/// Whether trouble was so near that a removal may be a lapse.
fn is_recent_failure(store_failed_at: Option<Millis>, now: Millis) -> bool {
    store_failed_at.is_some_and(|at| now.since(at) < STORE_FAILURE_WINDOW_MS)
}

#[derive(Debug)]
struct TrackedMember {
    member: Arc<Member>,
    /// The entry is missing, perhaps only because the store was away; it
    /// counts until this time.
    missing_until: Option<Millis>,
}

impl MemberTracker {
    /// An entry was written.
    pub fn upsert(&mut self, member: Member) {
        let tracked = TrackedMember {
            member: Arc::new(member),
            missing_until: None,
        };
        self.removed_at.remove(&tracked.member.id);
        self.known.insert(tracked.member.id.clone(), tracked);
    }

    /// An entry was removed.
    ///
    /// Failure answered: a store that was away comes back without the entries
    /// of targets whose reports it missed. Taken at its word, a whole service
    /// would be without targets for seconds although all of them serve. A
    /// removal in or right after trouble therefore waits for the entry's
    /// return; a removal in calm times counts at once.
    pub fn remove(&mut self, id: &TargetId, now: Millis) {
        let may_be_lapse = self.may_be_lapse(now);
        let grace_ms = self.grace_ms(now);
        let Some(tracked) = self.known.get_mut(id) else {
            return;
        };
        if !may_be_lapse || tracked.member.draining {
            self.known.remove(id);
            self.removed_at.insert(id.clone(), now);
            return;
        }
        if tracked.missing_until.is_none() {
            tracked.missing_until = Some(now + grace_ms);
        }
    }

    /// What a complete listing changes.
    #[must_use]
    pub fn difference(&self, listed: Vec<Member>) -> Difference {
        let ids: BTreeSet<TargetId> = listed.iter().map(|member| member.id.clone()).collect();
        let mut difference = Difference::default();
        for member in listed {
            if !self.is_known_as(&member) {
                difference.written.push(member);
            }
        }
        for id in self.known.keys() {
            if !ids.contains(id) {
                difference.removed.push(id.clone());
            }
        }
        difference
    }

    /// Whether a target is known by just this entry, which is not missing.
    fn is_known_as(&self, member: &Member) -> bool {
        let tracked = self.known.get(&member.id);
        tracked.is_some_and(|tracked| tracked.missing_until.is_none() && *tracked.member == *member)
    }

    /// The store could not be read just now.
    pub fn note_store_failure(&mut self, now: Millis) {
        self.store_failed_at = Some(now);
    }

    /// Another node, whose reads this one hears, could not read the store just now. A
    /// removal is then held for `grace_ms`.
    ///
    /// Failure answered: some targets leave without a word, and their entries are
    /// removed. A node that reaches the store, or hears one that does, must send
    /// them nothing soon after, whoever else is in trouble; held for as long as a
    /// lapsed entry takes to come back, they would still get work.
    pub fn note_remote_store_failure(&mut self, grace_ms: Millis, now: Millis) {
        self.remote_failure = Some(RemoteStoreFailure { at: now, grace_ms });
    }

    /// Drops entries that stayed missing; true when any did.
    pub fn expire(&mut self, now: Millis) -> bool {
        self.removed_at
            .retain(|_, since| now.since(*since) < REMOVED_RETENTION_MS);
        let mut expired = Vec::new();
        for (id, tracked) in &self.known {
            if tracked.missing_until.is_some_and(|until| now >= until) {
                expired.push(id.clone());
            }
        }
        for id in &expired {
            self.known.remove(id);
            self.removed_at.insert(id.clone(), now);
        }
        !expired.is_empty()
    }

    /// When [`Self::expire`] next has something to do.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Millis> {
        self.known
            .values()
            .filter_map(|tracked| tracked.missing_until)
            .min()
    }

    /// The latest life at each address.
    ///
    /// Failure answered: a target that crashed is listed for seconds beside its
    /// next life at the same address, and every second call would be sent to
    /// the one that is no more.
    fn latest_by_address(
        &self,
        is_configured: &impl Fn(&ServiceName) -> bool,
    ) -> HashMap<SocketAddr, u64> {
        let mut latest = HashMap::new();
        for tracked in self.known.values() {
            let member = &tracked.member;
            if !is_configured(&member.service) {
                continue;
            }
            let known = latest.entry(member.address).or_insert(member.listing_order);
            *known = member.listing_order.max(*known);
        }
        latest
    }

    /// Whether no target is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The targets as traffic reads them.
    #[must_use]
    pub fn snapshot(&self) -> Members {
        self.snapshot_of(|_| true)
    }

    /// The targets of services that the configuration names.
    ///
    /// Failure answered: another writer puts an entry into the list, of a service
    /// that nobody knows, with the address of a target that serves. Taken for that
    /// address's next life, it would take the target out of use; counted as a VM, it
    /// might be chosen to read for others.
    #[must_use]
    pub fn snapshot_for(&self, routes: &RouteSet) -> Members {
        let configured = routes.all_services();
        self.snapshot_of(|service| configured.contains(service))
    }

    fn snapshot_of(&self, is_configured: impl Fn(&ServiceName) -> bool) -> Members {
        let mut members = Members {
            removed_at: Arc::new(self.removed_at.clone()),
            ..Members::default()
        };
        let latest = self.latest_by_address(&is_configured);
        for tracked in self.known.values() {
            let member = &tracked.member;
            if !is_configured(&member.service) {
                continue;
            }
            members.by_id.insert(member.id.clone(), Arc::clone(member));
            if !member.draining || !members.by_address.contains_key(&member.address) {
                let member = Arc::clone(member);
                members.by_address.insert(member.address, member);
            }
            if member.draining || latest[&member.address] != member.listing_order {
                continue;
            }
            let available = members.by_service.entry(member.service.clone());
            available.or_default().push(Arc::clone(member));
        }
        members
    }

    fn may_be_lapse(&self, now: Millis) -> bool {
        let remote_failed_at = self.remote_failure.map(|failure| failure.at);
        is_recent_failure(self.store_failed_at, now) || is_recent_failure(remote_failed_at, now)
    }

    /// How long a removal is held now.
    fn grace_ms(&self, now: Millis) -> Millis {
        match self.remote_failure {
            Some(failure) if !is_recent_failure(self.store_failed_at, now) => failure.grace_ms,
            _ => LAPSE_GRACE_MS,
        }
    }
}
