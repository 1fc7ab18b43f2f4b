//! Parts of the configurations that this node knows, which other nodes fetch from it.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::IpAddr;

use bytes::Bytes;
use hornbeamhitch_dispatch::routes::parts::{self, PartFault, RoutesManifest};
use hornbeamhitch_wire::link::{PartsRequest, ToEntry};
use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::prelude::*;

#[cfg(test)]
mod tests;

/// Number of configurations whose parts are kept: the one in force, the next one, and one
/// that subscribers may still fetch.
const MAX_MANIFESTS: usize = 3;
/// An answer ends after this many bytes of parts, so that what a node has requested never
/// occupies the sender's link for long.
const MAX_ANSWER_BYTES: usize = 16 * 1024;
/// Number of nodes to which a node sends more than one answer of the same configuration,
/// and number of nodes that it refers to each of those. What a node sends thus grows with
/// the configuration and not with the number of nodes that fetch it.
const MAX_RECEIVERS: usize = 3;

/// Known parts of configurations.
#[derive(Debug)]
pub(crate) struct PartStore {
    state: Mutex<State>,
    /// Notified when a part is added.
    added: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    /// Configurations whose parts are kept, oldest first.
    manifests: VecDeque<RoutesManifest>,
    parts: HashMap<PartDigest, Bytes>,
    referrals: Referrals,
}

/// Distribution tree of the newest configuration below this node.
#[derive(Debug, Default)]
struct Referrals {
    /// Nodes that fetch from this one.
    receivers: Vec<IpAddr>,
    /// Parent of each node that was referred.
    parents: HashMap<IpAddr, IpAddr>,
    /// Nodes that may become parents, and how many further nodes may be referred to them.
    capacities: VecDeque<(IpAddr, usize)>,
}

/// Answer to a request for parts.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PartsAnswer {
    /// Some of the requested parts, or none if this node has none.
    Parts(Vec<Bytes>),
    /// Another node that has or receives the parts.
    Referral(IpAddr),
}

impl Default for PartStore {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            added: watch::channel(()).0,
        }
    }
}

impl PartStore {
    /// Adds the parts of a complete configuration and returns its manifest.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration cannot be encoded.
    pub(crate) fn add_routes(&self, routes: &RouteSet) -> Result<RoutesManifest, PartFault> {
        let split = parts::split(routes)?;
        let mut state = self.state.lock();
        state.parts.extend(split.parts);
        state.keep(&split.manifest);
        drop(state);
        self.added.send_replace(());
        Ok(split.manifest)
    }

    /// Keeps the parts of a configuration from now on.
    pub(crate) fn expect(&self, manifest: &RoutesManifest) {
        self.state.lock().keep(manifest);
    }

    /// Whether the parts of a configuration of this version are kept.
    pub(crate) fn keeps_version(&self, version: u64) -> bool {
        let state = self.state.lock();
        state.manifests.iter().any(|kept| kept.version() == version)
    }

    /// Adds a part that another node has sent. Returns whether it is new; a part that no
    /// kept configuration names, such as a damaged one, is ignored.
    pub(crate) fn add(&self, part: Bytes) -> bool {
        let digest = parts::digest(&part);
        let mut state = self.state.lock();
        if state.parts.contains_key(&digest) || !state.names(&digest) {
            return false;
        }
        state.parts.insert(digest, part);
        drop(state);
        self.added.send_replace(());
        true
    }

    /// Returns the parts of a configuration that are not known.
    pub(crate) fn missing(&self, manifest: &RoutesManifest) -> Vec<PartDigest> {
        let state = self.state.lock();
        let digests = manifest.parts().iter();
        let mut missing: Vec<PartDigest> = digests
            .filter(|digest| !state.parts.contains_key(digest))
            .copied()
            .collect();
        missing.sort_unstable();
        missing.dedup();
        missing
    }

    /// Joins the parts of a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if parts are missing or malformed.
    pub(crate) fn join(&self, manifest: &RoutesManifest) -> Result<RouteSet, PartFault> {
        parts::join(manifest, &self.state.lock().parts)
    }

    /// Answers a request with the parts that are known, or with a node that has them.
    pub(crate) fn answer(&self, request: &PartsRequest) -> PartsAnswer {
        let mut state = self.state.lock();
        let mut answer = Vec::new();
        let mut bytes = 0;
        for digest in &request.digests {
            let Some(part) = state.parts.get(digest) else {
                continue;
            };
            if bytes < MAX_ANSWER_BYTES {
                answer.push(part.clone());
            }
            bytes += part.len();
        }
        if bytes > MAX_ANSWER_BYTES
            && request.may_refer
            && let Some(parent) = state.referrals.refer(request.node)
        {
            return PartsAnswer::Referral(parent);
        }
        PartsAnswer::Parts(answer)
    }

    /// Sends the answer to a request, after waiting up to `max_wait_ms` for parts that this
    /// node is about to receive itself.
    pub(crate) async fn serve(
        &self,
        request: &PartsRequest,
        max_wait_ms: Millis,
        requester: &UnboundedSender<ToEntry>,
    ) {
        let mut added = self.added.subscribe();
        let until_known = added.wait_for(|()| self.knows_any(&request.digests));
        // Without any known part the answer is empty, and the node asks elsewhere.
        let _ = tokio::time::timeout(max_wait_ms.to_duration(), until_known).await;
        let mut referral = None;
        match self.answer(request) {
            PartsAnswer::Referral(parent) => referral = Some(parent),
            PartsAnswer::Parts(parts) => {
                for part in parts {
                    // A send fails only if the link has closed, and then no answer is
                    // needed.
                    let _ = requester.send(ToEntry::Part(part));
                }
            }
        }
        let _ = requester.send(ToEntry::PartsEnd { referral });
    }

    fn knows_any(&self, digests: &[PartDigest]) -> bool {
        let state = self.state.lock();
        digests
            .iter()
            .any(|digest| state.parts.contains_key(digest))
    }
}

impl State {
    /// Keeps the parts of this manifest, and drops those that no kept manifest names.
    fn keep(&mut self, manifest: &RoutesManifest) {
        if self.manifests.contains(manifest) {
            return;
        }
        self.manifests.push_back(manifest.clone());
        self.referrals = Referrals::default();
        if self.manifests.len() <= MAX_MANIFESTS {
            return;
        }
        self.manifests.pop_front();
        let named = self.manifests.iter().flat_map(RoutesManifest::parts);
        let named: HashSet<PartDigest> = named.copied().collect();
        self.parts.retain(|digest, _| named.contains(digest));
    }

    fn names(&self, digest: &PartDigest) -> bool {
        let mut manifests = self.manifests.iter();
        manifests.any(|manifest| manifest.parts().contains(digest))
    }
}

impl Referrals {
    /// Returns the node that is to send the parts to `node`, or `None` if this node is.
    fn refer(&mut self, node: IpAddr) -> Option<IpAddr> {
        if let Some(parent) = self.parents.get(&node) {
            return Some(*parent);
        }
        if self.receivers.contains(&node) {
            return None;
        }
        let mut parent = None;
        if self.receivers.len() < MAX_RECEIVERS {
            self.receivers.push(node);
        } else if let Some((candidate, capacity)) = self.capacities.front_mut() {
            parent = Some(*candidate);
            *capacity -= 1;
            if *capacity == 0 {
                self.capacities.pop_front();
            }
        }
        if let Some(parent) = parent {
            self.parents.insert(node, parent);
        }
        self.capacities.push_back((node, MAX_RECEIVERS));
        parent
    }
}
