//! Chooses the nodes that read the platform's list themselves and those that the others
//! subscribe to.
//!
//! If every node read each change itself, the calls to the platform would grow with the
//! square of the fleet: more nodes, each reading the changes of more targets. So only a
//! few nodes read, chosen by a hash over the listed VMs, and the others subscribe to
//! several of them. A large data centre has its own readers. Small ones share theirs,
//! since each reader polls the platform whether or not anything changes. All readers also
//! subscribe to some other readers, so that a reader whose own reads return nothing,
//! without an error, still learns what the others know.
//!
//! While the platform is unavailable, all readers report it. Their followers then need
//! not all poll it too: only a few reserves do, in case the platform rejects only the
//! readers.
//!
//! The choice needs no agreement. Nodes with different lists choose different readers for
//! a while. A node that reads the source accepts every subscriber, and a node that gets a
//! subscription without reading reports that.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Number of VMs up to which every node reads for itself: three readers would save too
/// little to depend on other nodes.
const MAX_VMS_WITHOUT_READERS: usize = 8;
/// Number of VMs up to which a data centre shares its readers with others. A larger one
/// has its own.
const MAX_VMS_SHARING_READERS: usize = 48;
/// Minimum number of readers in a group, so that two are left while one restarts.
const MIN_READERS: usize = 3;
/// Number of VMs per reader. With three subscriptions per node, a reader has about 48
/// subscribers, which it updates some four times a second when nothing changes.
const VMS_PER_READER: usize = 16;
/// Number of readers in a group per leader, including the leader. With the readers that
/// it leads, a leader has 59 subscribers.
const READERS_PER_LEADER: usize = 12;
/// Number of readers that a node subscribes to.
pub const SUBSCRIPTIONS: usize = 3;

/// How a node learns of changes.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// The node reads for itself and subscribes to no other node.
    Alone,
    /// The node reads and serves subscribers; it also subscribes to other readers.
    Reader {
        /// Other readers that it subscribes to, including its leader.
        readers: Vec<IpAddr>,
        /// A reserve that it also subscribes to.
        reserve: Option<IpAddr>,
        /// Whether it polls the platform regularly, whether or not anything changes, and
        /// reports that to its subscribers. The readers that it leads poll only when its
        /// reports stop, so that an idle fleet costs the calls of few nodes.
        leads: bool,
    },
    /// The node subscribes to readers.
    Follower {
        /// The readers that it subscribes to.
        readers: Vec<IpAddr>,
        /// Whether it polls the platform while all of its readers fail, and readers
        /// subscribe to it.
        is_reserve: bool,
    },
}

impl Role {
    /// Returns the nodes to subscribe to: readers and a reserve.
    #[must_use]
    pub fn subscriptions(&self) -> Vec<IpAddr> {
        let mut wanted = self.readers().to_vec();
        if let Self::Reader { reserve, .. } = self {
            wanted.extend(reserve);
        }
        wanted
    }

    /// Returns the readers that this node subscribes to.
    #[must_use]
    pub fn readers(&self) -> &[IpAddr] {
        match self {
            Self::Alone => &[],
            Self::Reader { readers, .. } | Self::Follower { readers, .. } => readers,
        }
    }

    /// Returns whether other nodes depend on this node's reads.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        matches!(self, Self::Reader { .. })
    }

    /// Returns whether this node accepts subscribers.
    ///
    /// A node that reads alone accepts them too: nodes that know one more VM may count it
    /// among their readers.
    #[must_use]
    pub const fn accepts_subscribers(&self) -> bool {
        matches!(self, Self::Alone | Self::Reader { .. }) || self.is_reserve()
    }

    /// Returns whether this node reads while the readers cannot.
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

    /// Returns whether another reader polls the platform on behalf of this one.
    #[must_use]
    pub const fn is_led(&self) -> bool {
        matches!(self, Self::Reader { leads: false, .. })
    }

    /// Returns whether this node leaves reading to others.
    #[must_use]
    pub const fn is_follower(&self) -> bool {
        matches!(self, Self::Follower { .. })
    }
}

/// Returns the role of a node in this data centre, given the targets it knows.
///
/// A VM that is not listed is never a reader; it subscribes to the readers of its group.
/// Guards against a node that learns nothing: the entry of a VM that is cut off from the
/// platform expires, and if its node then read for itself, it would learn nothing until
/// the partition heals.
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

/// Returns the VMs of each large data centre, and the VMs of all others together.
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

/// Returns the VMs by data centre, without those whose only target is draining, since
/// these end with it.
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

/// Returns the leader of a reader, which may be the reader itself. The first readers of a
/// group are leaders, and the others are spread evenly over them.
fn leader_of(readers: &[IpAddr], own: IpAddr) -> IpAddr {
    let leaders = readers.len().div_ceil(READERS_PER_LEADER);
    let index = readers.iter().position(|reader| *reader == own);
    readers[index.map_or(0, |index| index % leaders)]
}

/// Nodes of a group that read the platform.
struct RankedVms {
    /// Nodes that always read.
    readers: Vec<IpAddr>,
    /// Nodes that read while none of the readers can.
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

/// Chooses the readers that a node subscribes to, preferring those in its own data
/// centre, so that their regular updates stay within it. Nodes choose different readers
/// (rendezvous hashing), so that the load is spread and the loss of a reader affects only
/// its own subscribers.
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
