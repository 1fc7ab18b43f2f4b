//! Targets that the platform lists, and the handling of entries that expire.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

#[cfg(test)]
pub(crate) mod tests;

/// Time for which an entry that is missing after a store failure is kept. Entries that
/// expired because of the failure are back within about this time if their target runs;
/// one that is still missing is gone.
const REMOVAL_GRACE_MS: Millis = Millis(2_000);
/// Time after a store failure in which a removal may be due to the failure.
const STORE_FAILURE_WINDOW_MS: Millis = Millis(1_000);

/// Time for which an entry is not used that was removed before the store returned from an
/// older copy, and is listed again by the copy. A target that has ended reports nothing, and
/// the platform drops its entry again within this time.
const RETURNED_ENTRY_HOLD_MS: Millis = Millis(6_000);

/// Time for which removed targets are remembered. It is far longer than the time in which
/// an entry node that was suspended may still send to one.
const REMOVED_RETENTION_MS: Millis = Millis::from_secs(60);

/// Id of a target. A restarted target usually has another id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetId(Arc<str>);

impl TargetId {
    /// Creates an id from its form on the platform.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self(Arc::from(id))
    }

    /// Returns the id as text.
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

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the target.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address of the target, which only its own VM can reach.
    pub address: SocketAddr,
    /// Data centre of its VM.
    pub data_centre: DataCentre,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work and will end.
    pub draining: bool,
    /// Rank in the order in which targets were first listed; later targets have higher
    /// numbers.
    pub listing_order: Revision,
    /// Unix time of its start, if its entry has it. A target may restart under the same
    /// id; a different start time means a different incarnation, to which nothing learnt
    /// about the earlier one applies.
    pub started_at_ms: Option<Millis>,
}

impl Member {
    /// Returns this incarnation of the target. What is learnt about a target is valid for
    /// one incarnation only.
    #[must_use]
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            id: self.id.clone(),
            started_at_ms: self.started_at_ms,
        }
    }

    /// Whether this entry shows that the target drains although `other`, an entry of another
    /// era of the source, does not. An older copy of the source takes no departure back.
    #[must_use]
    pub fn drains_despite(&self, other: &Self) -> bool {
        let is_same_era = self.listing_order.is_same_era(other.listing_order);
        self.draining && !is_same_era && self.incarnation() == other.incarnation()
    }

    /// Returns the address of the VM, on which the target's gate listens.
    #[must_use]
    pub const fn vm_ip(&self) -> IpAddr {
        self.address.ip()
    }
}

/// One incarnation of a target. A target may restart under the same id; its start time
/// then distinguishes the incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetIncarnation {
    /// Id of the target.
    pub id: TargetId,
    /// Unix time of its start, if its entry has it.
    pub started_at_ms: Option<Millis>,
}

/// Immutable snapshot of the listed targets, which the request path reads.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_id: BTreeMap<TargetId, Arc<Member>>,
    by_service: HashMap<ServiceName, Vec<Arc<Member>>>,
    /// Evacuated data centres. Their targets get no new work.
    evacuated: BTreeSet<DataCentre>,
    /// Targets by address. A gate looks up its own target here for each call.
    by_address: HashMap<SocketAddr, Arc<Member>>,
    removed_at: Arc<BTreeMap<TargetId, Millis>>,
}

impl Members {
    /// Returns the targets of a service that take new work, in the order of their ids.
    /// Draining targets and those of evacuated data centres are not among them.
    #[must_use]
    pub fn available(&self, service: &ServiceName) -> &[Arc<Member>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the evacuated data centres.
    #[must_use]
    pub const fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }

    /// Returns whether a target's data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, member: &Member) -> bool {
        self.evacuated.contains(&member.data_centre)
    }

    /// Returns a target by its id.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&Arc<Member>> {
        self.by_id.get(id)
    }

    /// Returns whether this incarnation of a target is listed.
    #[must_use]
    pub fn contains(&self, incarnation: &TargetIncarnation) -> bool {
        let listed = self.by_id.get(&incarnation.id);
        listed.is_some_and(|member| member.started_at_ms == incarnation.started_at_ms)
    }

    /// Returns the latest listed target at an address.
    #[must_use]
    pub fn at_address(&self, address: SocketAddr) -> Option<&Arc<Member>> {
        self.by_address.get(&address)
    }

    /// Returns whether the target was listed once and has been removed.
    #[must_use]
    pub fn has_left(&self, id: &TargetId) -> bool {
        self.removed_at.contains_key(id)
    }

    /// Returns every target, including draining ones.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.by_id.values()
    }

    /// Returns the VMs that have a listed target.
    #[must_use]
    pub fn vms(&self) -> BTreeSet<IpAddr> {
        self.by_id.values().map(|member| member.vm_ip()).collect()
    }

    /// Returns the number of targets, including draining ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether there are no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

/// Changes that a complete listing makes to the tracked targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Entries that are new or differ from the tracked ones.
    pub written: Vec<Member>,
    /// Targets that are no longer listed.
    pub removed: Vec<TargetId>,
}

/// Tracks the platform's list on the control thread.
#[derive(Debug, Default)]
pub struct MemberTracker {
    known: BTreeMap<TargetId, TrackedMember>,
    /// Removed targets, with the time of their removal. Ids are never reused by other
    /// targets.
    removed_at: BTreeMap<TargetId, Millis>,
    evacuated: BTreeSet<DataCentre>,
    /// Targets that were removed before the source began its present era, and until when
    /// they are not used if that era lists them again.
    withdrawn: BTreeMap<TargetId, Millis>,
    store_failed_at: Option<Millis>,
    remote_failure: Option<RemoteStoreFailure>,
}

/// Failure of another node to read the store.
#[derive(Clone, Copy, Debug)]
struct RemoteStoreFailure {
    at: Millis,
    /// Time for which a removal is held after the failure.
    grace_ms: Millis,
}

/// Returns whether a store failure is so recent that a removal may be due to it.
fn is_recent_failure(store_failed_at: Option<Millis>, now: Millis) -> bool {
    store_failed_at.is_some_and(|at| now.since(at) < STORE_FAILURE_WINDOW_MS)
}

#[derive(Debug)]
struct TrackedMember {
    member: Arc<Member>,
    /// Set if the entry is missing, possibly only because the store was unavailable. The
    /// target counts as listed until this time.
    missing_until: Option<Millis>,
    /// Set if the entry was removed and has returned with an older copy of the store. The
    /// target gets no work until this time.
    held_until: Option<Millis>,
}

impl TrackedMember {
    /// Returns the entry as traffic uses it: a target that is held gets no work.
    fn in_force(&self) -> Arc<Member> {
        match self.held_until {
            Some(_) => Arc::new(Member {
                draining: true,
                ..Member::clone(&self.member)
            }),
            None => Arc::clone(&self.member),
        }
    }
}

impl MemberTracker {
    /// Adds or replaces an entry.
    ///
    /// A target that drains stays so in its incarnation if the source returns from an older
    /// copy. Its listing order is kept, which belongs to the era in which it began to drain.
    pub fn upsert(&mut self, mut member: Member) {
        if let Some(known) = self.known.get(&member.id)
            && known.member.drains_despite(&member)
        {
            member.draining = true;
            member.listing_order = known.member.listing_order;
        }
        let tracked = TrackedMember {
            held_until: self.withdrawn.get(&member.id).copied(),
            member: Arc::new(member),
            missing_until: None,
        };
        self.removed_at.remove(&tracked.member.id);
        self.known.insert(tracked.member.id.clone(), tracked);
    }

    /// Records that the source has returned from an older copy of itself.
    ///
    /// Entries that the copy lacks are written again if their targets run, so removals are
    /// held as after a failure. Entries that it still has although they were removed are not
    /// used at first: most of their targets have ended or are about to.
    pub fn begin_era(&mut self, now: Millis) {
        self.note_store_failure(now);
        for id in self.removed_at.keys() {
            let until = now + RETURNED_ENTRY_HOLD_MS;
            self.withdrawn.insert(id.clone(), until);
        }
    }

    /// Removes an entry, at once or after a grace period.
    ///
    /// Guards against a store that comes back from an outage without the entries of
    /// targets whose reports it missed. If these removals were applied, a whole service
    /// would have no targets for seconds although all of them run. So a removal during or
    /// shortly after a store failure waits for the entry to return; any other removal
    /// takes effect at once.
    pub fn remove(&mut self, id: &TargetId, now: Millis) {
        let may_be_spurious = self.may_be_spurious(now);
        let grace_ms = self.grace_ms(now);
        let Some(tracked) = self.known.get_mut(id) else {
            return;
        };
        if !may_be_spurious || tracked.member.draining {
            self.known.remove(id);
            self.removed_at.insert(id.clone(), now);
            return;
        }
        if tracked.missing_until.is_none() {
            tracked.missing_until = Some(now + grace_ms);
        }
    }

    /// Starts or ends the evacuation of a data centre; returns whether that is a change.
    pub fn set_evacuated(&mut self, data_centre: DataCentre, is_evacuated: bool) -> bool {
        match is_evacuated {
            true => self.evacuated.insert(data_centre),
            false => self.evacuated.remove(&data_centre),
        }
    }

    /// Returns the evacuated data centres.
    #[must_use]
    pub const fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }

    /// Returns what a complete listing changes.
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

    /// Returns whether exactly this entry is tracked and not missing.
    ///
    /// The order in which targets were listed is known from before if the source has begun
    /// another era since.
    fn is_known_as(&self, member: &Member) -> bool {
        let Some(tracked) = self.known.get(&member.id) else {
            return false;
        };
        let known = &tracked.member;
        let is_same_era = known.listing_order.is_same_era(member.listing_order);
        let listing_order = match is_same_era {
            true => member.listing_order,
            false => known.listing_order,
        };
        let listed = Member {
            listing_order,
            ..member.clone()
        };
        tracked.missing_until.is_none() && **known == listed
    }

    /// Records that this node could not read the store just now.
    pub fn note_store_failure(&mut self, now: Millis) {
        self.store_failed_at = Some(now);
    }

    /// Records that another node, to which this one subscribes, could not read the store
    /// just now. A removal is then held for `grace_ms`.
    ///
    /// Guards against calls to targets that have left. Some targets end without draining,
    /// and their entries are removed. A node that can read the store, or subscribes to
    /// one that can, must soon stop sending to them, whichever other nodes fail to read
    /// it. If such removals were held for as long as an expired entry takes to return,
    /// these targets would still get work.
    pub fn note_remote_store_failure(&mut self, grace_ms: Millis, now: Millis) {
        self.remote_failure = Some(RemoteStoreFailure { at: now, grace_ms });
    }

    /// Removes entries whose grace period is over; returns whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        self.removed_at
            .retain(|_, since| now.since(*since) < REMOVED_RETENTION_MS);
        self.withdrawn.retain(|_, until| now < *until);
        let mut is_changed = false;
        for tracked in self.known.values_mut() {
            if tracked.held_until.is_some_and(|until| now >= until) {
                tracked.held_until = None;
                is_changed = true;
            }
        }
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
        is_changed || !expired.is_empty()
    }

    /// Returns when [`Self::expire`] next has something to do.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Millis> {
        self.known
            .values()
            .filter_map(
                |tracked| match (tracked.missing_until, tracked.held_until) {
                    (Some(missing), Some(held)) => Some(missing.min(held)),
                    (missing, held) => missing.or(held),
                },
            )
            .min()
    }

    /// Returns the listing order of the latest incarnation at each address.
    ///
    /// Guards against calls to a crashed target. It stays listed for seconds beside its
    /// successor at the same address, and half of the calls would be sent to the target
    /// that no longer exists.
    fn latest_by_address(
        &self,
        is_configured: &impl Fn(&ServiceName) -> bool,
    ) -> HashMap<SocketAddr, Revision> {
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

    /// Returns whether no target is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns a snapshot of all targets.
    #[must_use]
    pub fn snapshot(&self) -> Members {
        self.snapshot_of(|_| true)
    }

    /// Returns a snapshot of the targets whose services the configuration names.
    ///
    /// Guards against foreign entries. Another writer may add an entry to the list, for
    /// an unknown service, with the address of a running target. Treated as the next
    /// incarnation at that address, it would take the target out of use; counted as a VM,
    /// it might be chosen as a reader.
    #[must_use]
    pub fn snapshot_for(&self, routes: &RouteSet) -> Members {
        let configured = routes.all_services();
        self.snapshot_of(|service| configured.contains(service))
    }

    fn snapshot_of(&self, is_configured: impl Fn(&ServiceName) -> bool) -> Members {
        let mut members = Members {
            removed_at: Arc::new(self.removed_at.clone()),
            evacuated: self.evacuated.clone(),
            ..Members::default()
        };
        let latest = self.latest_by_address(&is_configured);
        for tracked in self.known.values() {
            let member = &tracked.member;
            if !is_configured(&member.service) {
                continue;
            }
            let member = &tracked.in_force();
            members.by_id.insert(member.id.clone(), Arc::clone(member));
            if !member.draining || !members.by_address.contains_key(&member.address) {
                let member = Arc::clone(member);
                members.by_address.insert(member.address, member);
            }
            if member.draining || latest[&member.address] != member.listing_order {
                continue;
            }
            if self.evacuated.contains(&member.data_centre) {
                continue;
            }
            let available = members.by_service.entry(member.service.clone());
            available.or_default().push(Arc::clone(member));
        }
        members
    }

    /// Returns whether a removal may be due to a recent store failure.
    fn may_be_spurious(&self, now: Millis) -> bool {
        let remote_failed_at = self.remote_failure.map(|failure| failure.at);
        is_recent_failure(self.store_failed_at, now) || is_recent_failure(remote_failed_at, now)
    }

    /// Returns how long a removal is held now.
    fn grace_ms(&self, now: Millis) -> Millis {
        match self.remote_failure {
            Some(failure) if !is_recent_failure(self.store_failed_at, now) => failure.grace_ms,
            _ => REMOVAL_GRACE_MS,
        }
    }
}
