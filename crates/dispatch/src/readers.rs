//! Which nodes read the platform's list themselves, and whom the others hear.
//!
//! If every node reads each change for itself, calls to the platform grow with
//! the square of the fleet: more nodes, each reading the changes of more
//! targets. So a few nodes read, chosen by a hash over the VMs that are listed, and
//! the others subscribe to several of them. A large data centre has readers of its
//! own; small ones share theirs, since each reader asks the platform again and again,
//! whether anything changes or not. All readers subscribe to some of each other as
//! well, so that one whose own reads bring nothing, without an error, still learns
//! what any other knows.
//!
//! While the platform is away, all readers say so. Then their followers need not ask as
//! well, all of them at once: a few reserves do, in case it only turns the readers away.
//!
//! Nothing is agreed upon: nodes with different lists choose different readers
//! for a while, and one that is asked without being a reader says so.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Among up to this many VMs every node reads for itself: three readers would save
/// too little to depend on others.
const MAX_VMS_WITHOUT_READERS: usize = 8;
/// A data centre of more VMs than this has readers of its own. The others share
/// theirs.
const MAX_VMS_SHARING_READERS: usize = 48;
/// Readers of a group at least, so that two are left while one restarts.
const MIN_READERS: usize = 3;
/// One reader for this many VMs: with three subscriptions each, a reader tells
/// about 48 nodes, some four times a second when nothing changes.
const VMS_PER_READER: usize = 16;
/// One leader for this many readers of a group, itself included: with those that it
/// leads, it tells 59 nodes.
const READERS_PER_LEADER: usize = 12;
/// Readers to whom one node subscribes.
pub const SUBSCRIPTIONS: usize = 3;

/// How a node learns of changes.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// It reads for itself, and nobody depends on it.
    Alone,
    /// It reads and tells others; it hears these other readers too.
    Reader {
        /// Other readers, the one that leads it among them.
        readers: Vec<IpAddr>,
        /// A reserve that it hears as well.
        reserve: Option<IpAddr>,
        /// It asks the platform again and again, whether anything changes or not, and
        /// tells so. The readers that it leads need to do so only when it falls silent:
        /// a fleet at rest costs the calls of few nodes.
        leads: bool,
    },
    /// It hears these readers.
    Follower {
        /// The readers.
        readers: Vec<IpAddr>,
        /// It asks the platform while all of these are in trouble, and readers hear it.
        is_reserve: bool,
    },
}

impl Role {
    /// The nodes to subscribe to.
    #[must_use]
    pub fn subscriptions(&self) -> Vec<IpAddr> {
        let mut wanted = self.readers().to_vec();
        if let Self::Reader { reserve, .. } = self {
            wanted.extend(reserve);
        }
        wanted
    }

    /// The readers that this node hears.
    #[must_use]
    pub fn readers(&self) -> &[IpAddr] {
        match self {
            Self::Alone => &[],
            Self::Reader { readers, .. } | Self::Follower { readers, .. } => readers,
        }
    }

    /// Whether others depend on this node's reads.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        matches!(self, Self::Reader { .. })
    }

    /// Whether others hear this node.
    #[must_use]
    pub const fn accepts_subscribers(&self) -> bool {
        matches!(self, Self::Reader { .. }) || self.is_reserve()
    }

    /// Whether this node reads when the readers cannot.
    #[must_use]
    pub const fn is_reserve(&self) -> bool {
        matches!(
            self,
            Self::Follower {
                is_reserve: true,
                ..
            }
        )
    }

    /// Whether another reader asks the platform for it.
    #[must_use]
    pub const fn is_led(&self) -> bool {
        matches!(self, Self::Reader { leads: false, .. })
    }

    /// Whether this node leaves reading to others.
    #[must_use]
    pub const fn is_follower(&self) -> bool {
        matches!(self, Self::Follower { .. })
    }
}

/// The role of a node in this data centre, given the targets it knows.
///
/// A VM that is not listed is no reader, and hears those of its group. Failure
/// answered: cut off from the platform, a VM's own entry lapses; reading for
/// itself, its node would learn nothing until the cut heals.
#[must_use]
pub fn role(members: &Members, own: IpAddr, data_centre: &DataCentre) -> Role {
    let data_centres = vms_by_data_centre(members);
    let Some(local_vms) = data_centres.get(data_centre) else {
        return Role::Alone;
    };
    let (large, shared_group) = groups(&data_centres);
    let group = match is_large(local_vms) {
        true => local_vms,
        false => &shared_group,
    };
    if group.len() <= MAX_VMS_WITHOUT_READERS {
        return Role::Alone;
    }
    let RankedVms { readers, reserves } = rank(group);
    if !readers.contains(&own) {
        return Role::Follower {
            readers: nearest(readers, own, local_vms),
            is_reserve: reserves.contains(&own),
        };
    }
    let mut others = Vec::new();
    for group in large.into_iter().chain([&shared_group]) {
        if group.len() > MAX_VMS_WITHOUT_READERS {
            others.extend(rank(group).readers);
        }
    }
    let leader = leader_of(&readers, own);
    others.retain(|reader| *reader != own && *reader != leader);
    let mut readers = nearest(others, own, &BTreeSet::new());
    let leads = leader == own;
    if !leads {
        readers.insert(0, leader);
        readers.truncate(SUBSCRIPTIONS);
    }
    Role::Reader {
        readers,
        reserve: nearest(reserves, own, &BTreeSet::new()).first().copied(),
        leads,
    }
}

/// The large data centres, and the VMs of all others together.
fn groups<'a>(
    data_centres: &'a BTreeMap<&DataCentre, BTreeSet<IpAddr>>,
) -> (Vec<&'a BTreeSet<IpAddr>>, BTreeSet<IpAddr>) {
    let mut large = Vec::new();
    let mut shared_group = BTreeSet::new();
    for vms in data_centres.values() {
        match is_large(vms) {
            true => large.push(vms),
            false => shared_group.extend(vms),
        }
    }
    (large, shared_group)
}

fn is_large(vms: &BTreeSet<IpAddr>) -> bool {
    vms.len() > MAX_VMS_SHARING_READERS
}

/// VMs by data centre; those whose only target is leaving are left out, since
/// they go with it.
fn vms_by_data_centre(members: &Members) -> BTreeMap<&DataCentre, BTreeSet<IpAddr>> {
    let mut data_centres: BTreeMap<&DataCentre, BTreeSet<IpAddr>> = BTreeMap::new();
    for member in members.iter() {
        if member.draining {
            continue;
        }
        let vms = data_centres.entry(&member.data_centre).or_default();
        vms.insert(member.vm_ip());
    }
    data_centres
}

/// The reader whose asking a reader relies on, which may be itself. The first ones of a
/// group lead, and share the others evenly.
fn leader_of(readers: &[IpAddr], own: IpAddr) -> IpAddr {
    let leaders = readers.len().div_ceil(READERS_PER_LEADER);
    let index = readers.iter().position(|reader| *reader == own);
    readers[index.map_or(0, |index| index % leaders)]
}

/// Nodes of a group that read the platform.
struct RankedVms {
    /// Always.
    readers: Vec<IpAddr>,
    /// While none of the readers can.
    reserves: Vec<IpAddr>,
}

/// Ranks the VMs of a group by a hash, so that all nodes with the same list agree.
fn rank(vms: &BTreeSet<IpAddr>) -> RankedVms {
    let count = vms.len().div_ceil(VMS_PER_READER).max(MIN_READERS);
    let mut readers: Vec<IpAddr> = vms.iter().copied().collect();
    readers.sort_by_key(|vm| hash(&[*vm]));
    let mut reserves = readers.split_off(count.min(readers.len()));
    reserves.truncate(count);
    RankedVms { readers, reserves }
}

/// The readers that one node hears, those beside it first: what they tell again and again
/// then stays within the data centre. Others choose others, so that the load is
/// spread, and a reader's loss moves only those who heard it.
fn nearest(mut readers: Vec<IpAddr>, own: IpAddr, local_vms: &BTreeSet<IpAddr>) -> Vec<IpAddr> {
    readers.sort_by_key(|reader| (!local_vms.contains(reader), hash(&[own, *reader])));
    readers.truncate(SUBSCRIPTIONS);
    readers
}

fn hash(vms: &[IpAddr]) -> u64 {
    let mut hasher = Xxh3::new();
    for vm in vms {
        match vm {
            IpAddr::V4(address) => hasher.update(&address.octets()),
            IpAddr::V6(address) => hasher.update(&address.octets()),
        }
    }
    hasher.digest()
}
