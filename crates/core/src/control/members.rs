//! The peers section of the blackboard: members of the tracked services, and a bounded
//! sample of other peers through which updates reach other services and data centres.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hornbeamhitch_wire::control::{ListVersion, ListedVm, MemberDigest, MemberNote};
use rand::rngs::Xoshiro256PlusPlus;
use rand::seq::SliceRandom;

use super::member::{Member, MergeOutcome};
use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Limit of sampled peers in the node's own data centre.
pub(super) const MAX_LOCAL_SAMPLE: usize = 32;
/// Limit of sampled peers in other data centres.
pub(super) const MAX_REMOTE_SAMPLE: usize = 16;
/// Silence after which a member of a small service is doubtful.
const DOUBTFUL_AFTER: Millis = Millis::from_secs(5);
/// Heartbeats carry statements about the members in turn, so each member adds to the
/// usual silence.
const DOUBTFUL_AFTER_PER_MEMBER: Millis = Millis(250);
/// Silence after which a member is removed if a newer VM list no longer contains it.
const GONE_AFTER: Millis = Millis::from_secs(10);
/// Silence after which a sampled peer may be replaced.
const SAMPLE_TIMEOUT: Millis = Millis::from_secs(20);
/// Age above which a statement is not relayed.
const RELAY_MAX_AGE: Millis = Millis::from_secs(20);
/// How long a change takes precedence over other statements in heartbeats.
const CHANGE_PRIORITY_FOR: Millis = Millis::from_secs(5);

/// All known peers.
#[derive(Debug)]
pub(super) struct Members {
    own: VmId,
    own_service: ServiceName,
    own_data_centre: DataCentre,
    by_vm: BTreeMap<VmId, Member>,
    tracked: BTreeSet<ServiceName>,
    /// Number of unknown peers that made a statement while the sample was full.
    rejected_peers: usize,
}

impl Members {
    /// Creates the section without peers. It tracks the node's own service.
    pub(super) fn new(own: VmId, own_data_centre: DataCentre, service: ServiceName) -> Self {
        Self {
            own,
            own_data_centre,
            by_vm: BTreeMap::new(),
            tracked: BTreeSet::from([service.clone()]),
            own_service: service,
            rejected_peers: 0,
        }
    }

    /// Returns all peers, ordered by VM.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_vm.values()
    }

    /// Returns the peers that are not known to have been replaced at their address.
    pub(super) fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.by_vm.values().filter(|member| !member.superseded)
    }

    /// Returns one peer for modification.
    pub(super) fn get_mut(&mut self, vm: &VmId) -> Option<&mut Member> {
        self.by_vm.get_mut(vm)
    }

    /// Returns whether a message comes from an earlier incarnation than the known one.
    pub(super) fn is_stale(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        let known = self.by_vm.get(vm).and_then(|member| member.incarnation);
        known.is_some_and(|current| incarnation < current)
    }

    /// Sets the tracked services, of which every member is kept.
    pub(super) fn track(&mut self, services: &[ServiceName]) {
        self.tracked = services.iter().cloned().collect();
        for member in self.by_vm.values_mut() {
            member.is_tracked = self.tracked.contains(&member.service);
        }
        self.trim_sample();
    }

    /// Returns whether a service is tracked.
    pub(super) fn tracks(&self, service: &ServiceName) -> bool {
        self.tracked.contains(service)
    }

    /// Returns all peers by service, each list ordered by VM.
    ///
    /// Code that visits every service uses this single pass over the members. One pass
    /// per service took a fifth of the time of a node with 20 dependencies.
    pub(super) fn by_service(&self) -> BTreeMap<&ServiceName, Vec<&Member>> {
        let mut by_service: BTreeMap<&ServiceName, Vec<&Member>> = BTreeMap::new();
        for member in self.by_vm.values() {
            by_service.entry(&member.service).or_default().push(member);
        }
        by_service
    }

    /// Merges a statement that is `age_ms` old.
    pub(super) fn merge(
        &mut self,
        digest: &MemberDigest,
        age_ms: Millis,
        version: ListVersion,
        now: Millis,
    ) -> MergeOutcome {
        if digest.vm == self.own {
            return MergeOutcome::NotNewer;
        }
        let stated_at = now.minus(age_ms);
        if let Some(member) = self.by_vm.get_mut(&digest.vm) {
            let outcome = member.merge(digest, stated_at, now);
            member.is_tracked = self.tracked.contains(&member.service);
            if outcome == MergeOutcome::Change {
                self.supersede_at_address(digest.control);
            }
            return outcome;
        }
        let is_tracked = self.tracks(&digest.service);
        if !is_tracked && age_ms > SAMPLE_TIMEOUT {
            return MergeOutcome::NotNewer;
        }
        let has_room = is_tracked || self.make_room(&digest.data_centre, now);
        if !has_room && !self.replace_sampled_peer(digest, age_ms) {
            return MergeOutcome::NotNewer;
        }
        let mut member = Member::from_digest(digest, version, now);
        member.merge(digest, stated_at, now);
        member.is_tracked = is_tracked;
        self.by_vm.insert(digest.vm.clone(), member);
        self.supersede_at_address(digest.control);
        MergeOutcome::Change
    }

    /// Marks all but the latest incarnation at an address as superseded, because two
    /// processes cannot share an address.
    ///
    /// Otherwise, a VM that was replaced at its address would remain a target until the
    /// lagging VM list drops it, and calls to it would reach a gate that rejects them.
    fn supersede_at_address(&mut self, control: SocketAddr) {
        let mut latest = None;
        for member in self.by_vm.values() {
            if member.control == control {
                latest = latest.max(member.incarnation);
            }
        }
        for member in self.by_vm.values_mut() {
            if member.control == control {
                member.superseded = member.incarnation < latest;
            }
        }
    }

    /// Merges the VM list of one service. Returns whether something changed.
    pub(super) fn merge_list(
        &mut self,
        service: &ServiceName,
        entries: &[ListedVm],
        version: ListVersion,
        now: Millis,
    ) -> bool {
        let mut changed = false;
        let mut named = BTreeSet::new();
        for entry in entries {
            named.insert(&entry.vm);
            if entry.vm == self.own {
                continue;
            }
            if let Some(member) = self.by_vm.get_mut(&entry.vm) {
                changed |= member.merge_list_entry(entry, version, now);
                continue;
            }
            let mut member = Member::from_list(entry, version, now);
            member.is_tracked = self.tracked.contains(&entry.service);
            self.by_vm.insert(entry.vm.clone(), member);
            changed = true;
        }
        for member in self.by_vm.values_mut() {
            if member.service == *service && !named.contains(&member.vm) {
                member.listed = false;
            }
        }
        changed
    }

    /// Adds an entry of a whole VM list to the sample.
    pub(super) fn add_to_sample(&mut self, entry: &ListedVm, version: ListVersion, now: Millis) {
        if entry.vm == self.own || self.by_vm.contains_key(&entry.vm) {
            return;
        }
        if !self.make_room(&entry.data_centre, now) {
            return;
        }
        let mut member = Member::from_list(entry, version, now);
        member.listed = false;
        self.by_vm.insert(entry.vm.clone(), member);
    }

    /// Removes members that a newer VM list no longer contains and that are silent.
    /// Returns whether any was removed.
    ///
    /// Both conditions are required: a partition silences members that are alive, and the
    /// VM list lags behind new members.
    pub(super) fn remove_gone(&mut self, version: ListVersion, now: Millis) -> bool {
        let before = self.by_vm.len();
        self.by_vm.retain(|_, member| {
            let is_named = member.listed || member.known_at_list >= version;
            !member.is_tracked || is_named || member.is_fresh(now, GONE_AFTER)
        });
        self.by_vm.len() != before
    }

    /// Chooses up to `count` matching peers at random.
    pub(super) fn choose(
        &self,
        rng: &mut Xoshiro256PlusPlus,
        count: usize,
        fits: impl Fn(&Member) -> bool,
    ) -> Vec<Recipient> {
        let mut found = Vec::new();
        for member in self.reachable() {
            if fits(member) {
                found.push(Recipient::of(member));
            }
        }
        let (chosen, _) = found.partial_shuffle(rng, count);
        chosen.to_vec()
    }

    /// Chooses like [`Self::choose`], but uses members of called services only if there
    /// are too few other peers.
    ///
    /// All callers of a service know its few members and would otherwise send to them far
    /// more often than to other nodes.
    pub(super) fn choose_uncalled_first(
        &self,
        rng: &mut Xoshiro256PlusPlus,
        count: usize,
        fits: impl Fn(&Member) -> bool,
    ) -> Vec<Recipient> {
        let is_called = |member: &Member| member.is_tracked && member.service != self.own_service;
        let mut chosen = self.choose(rng, count, |member| fits(member) && !is_called(member));
        let rest = count - chosen.len();
        if rest > 0 {
            chosen.extend(self.choose(rng, rest, |member| fits(member) && is_called(member)));
        }
        chosen
    }

    /// Returns statements for a peer of `service`, recent changes first.
    ///
    /// Changes in services that this node calls are also relevant to peers of its own
    /// service, which call the same services. A leaving state that was not announced to
    /// all callers thus spreads among them.
    pub(super) fn notes_for(
        &self,
        service: &ServiceName,
        count: usize,
        rng: &mut Xoshiro256PlusPlus,
        now: Millis,
    ) -> Vec<MemberNote> {
        let is_same_service = *service == self.own_service;
        let mut changes = Vec::new();
        let mut rest = Vec::new();
        let mut others = Vec::new();
        for member in self.reachable() {
            if !member.is_fresh(now, RELAY_MAX_AGE) {
                continue;
            }
            let is_recipients_service = member.service == *service;
            let is_shared = is_recipients_service || (is_same_service && member.is_tracked);
            let list = if is_shared && now.since(member.changed_at) <= CHANGE_PRIORITY_FOR {
                &mut changes
            } else if is_recipients_service {
                &mut rest
            } else {
                &mut others
            };
            list.push(member);
        }
        let mut notes = Vec::new();
        for list in [&mut changes, &mut rest, &mut others] {
            let wanted = count.saturating_sub(notes.len());
            let (chosen, _) = list.partial_shuffle(rng, wanted);
            for member in chosen {
                notes.extend(self.note_of(&member.vm, now));
            }
        }
        notes
    }

    /// Returns the newest statement of one peer.
    pub(super) fn note_of(&self, vm: &VmId, now: Millis) -> Option<MemberNote> {
        let member = self.by_vm.get(vm)?;
        Some(MemberNote {
            digest: member.digest()?,
            age_ms: member.silent_ms(now)?,
        })
    }

    /// Returns statements for a joining node, about any service, so that the node knows
    /// peers beyond its own service.
    pub(super) fn any_notes(
        &self,
        count: usize,
        rng: &mut Xoshiro256PlusPlus,
        now: Millis,
    ) -> Vec<MemberNote> {
        self.notes_for(&ServiceName::new(""), count, rng, now)
    }

    /// Returns the number of sampled peers, which belong to no tracked service.
    pub(super) fn sample_size(&self) -> usize {
        let mut size = 0;
        for member in self.by_vm.values() {
            if !member.is_tracked {
                size += 1;
            }
        }
        size
    }

    /// Makes room in the sample. Returns false if all sampled peers are fresh.
    fn make_room(&mut self, data_centre: &DataCentre, now: Millis) -> bool {
        let is_local = *data_centre == self.own_data_centre;
        let limit = sample_limit(is_local);
        let mut size = 0;
        let mut longest_silent: Option<&Member> = None;
        for member in self.by_vm.values() {
            let is_local_too = member.data_centre == self.own_data_centre;
            if member.is_tracked || is_local_too != is_local {
                continue;
            }
            size += 1;
            if member.is_fresh(now, SAMPLE_TIMEOUT) {
                continue;
            }
            if longest_silent.is_none_or(|other| member.last_statement_at < other.last_statement_at)
            {
                longest_silent = Some(member);
            }
        }
        if size < limit {
            return true;
        }
        let Some(victim) = longest_silent.map(|member| member.vm.clone()) else {
            return false;
        };
        self.by_vm.remove(&victim);
        true
    }

    /// Lets every eighth unknown peer that sends a message replace a peer in a full
    /// sample.
    ///
    /// A node whose service has no other member receives messages only from nodes that
    /// have it in their sample. If samples never changed, such a node might receive none.
    fn replace_sampled_peer(&mut self, digest: &MemberDigest, age_ms: Millis) -> bool {
        const REPLACE_EVERY: usize = 8;
        if age_ms > Millis::ZERO {
            return false;
        }
        self.rejected_peers += 1;
        if !self.rejected_peers.is_multiple_of(REPLACE_EVERY) {
            return false;
        }
        let is_local = digest.data_centre == self.own_data_centre;
        let mut candidates = Vec::new();
        for member in self.by_vm.values() {
            let is_local_too = member.data_centre == self.own_data_centre;
            if !member.is_tracked && is_local_too == is_local {
                candidates.push(&member.vm);
            }
        }
        let turn = self.rejected_peers / REPLACE_EVERY;
        let Some(victim) = candidates
            .get(turn % candidates.len().max(1))
            .copied()
            .cloned()
        else {
            return false;
        };
        self.by_vm.remove(&victim);
        true
    }

    /// Reduces the sample to its limits after a service is no longer tracked.
    fn trim_sample(&mut self) {
        let mut room = [MAX_REMOTE_SAMPLE, MAX_LOCAL_SAMPLE];
        let own = &self.own_data_centre;
        self.by_vm.retain(|_, member| {
            if member.is_tracked {
                return true;
            }
            let free_slots = &mut room[usize::from(member.data_centre == *own)];
            let stays = *free_slots > 0;
            *free_slots = free_slots.saturating_sub(1);
            stays
        });
    }
}

/// The recipient of a message.
#[derive(Clone, Debug)]
pub(super) struct Recipient {
    /// Its address for control messages.
    pub(super) control: SocketAddr,
    /// Its service.
    pub(super) service: ServiceName,
    /// Its data centre.
    pub(super) data_centre: DataCentre,
}

impl Recipient {
    fn of(member: &Member) -> Self {
        Self {
            control: member.control,
            service: member.service.clone(),
            data_centre: member.data_centre.clone(),
        }
    }
}

/// Returns the silence after which a member of a service is doubtful, given the number of
/// known members.
///
/// Statements about the members of a large service arrive less often, because a node
/// receives a constant number per second.
pub(super) fn doubtful_after(members: usize) -> Millis {
    DOUBTFUL_AFTER.max(Millis(members as u64 * DOUBTFUL_AFTER_PER_MEMBER.0))
}

const fn sample_limit(is_local: bool) -> usize {
    if is_local {
        MAX_LOCAL_SAMPLE
    } else {
        MAX_REMOTE_SAMPLE
    }
}
