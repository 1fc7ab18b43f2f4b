//! Parts of the configurations that this node knows, which other nodes fetch from it.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::IpAddr;

use bytes::Bytes;
use hornbeamhitch_dispatch::routing::routes::parts::{self, PartFault, PartLookup, RoutesManifest};
use hornbeamhitch_wire::link::{PartsRequest, ToEntry};
use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::prelude::*;
use receivers::Receivers;

mod receivers;
#[cfg(test)]
mod tests;

/// Number of configurations whose parts are kept: the one in force, the next one, and one
/// that subscribers may still fetch.
const MAX_MANIFESTS: usize = 3;
/// An answer ends after this many bytes of parts, so that what a node has requested never
/// occupies the sender's link for long. It is also what a node receives before it can send
/// anything to its own receivers.
const MAX_ANSWER_BYTES: usize = 8 * 1024;
/// Maximum number of parts that are fetched before others. Older demands are dropped.
const MAX_DEMANDED: usize = 16;
/// Number of nodes to which a node sends a configuration at the same time. It refers others to
/// these, so the queue on its link stays short however many nodes ask.
const MAX_RECEIVERS: usize = 3;

/// Known parts of configurations.
#[derive(Debug)]
pub struct PartStore {
    state: Mutex<State>,
    /// Notified when a part is added.
    added: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    /// Configurations whose parts are kept, oldest first.
    manifests: VecDeque<RoutesManifest>,
    parts: HashMap<PartDigest, Bytes>,
    /// Manifest that this node is about to fetch.
    expected_manifest: Option<PartDigest>,
    /// Parts for which requests of callers wait, the one that was requested first in front.
    demanded: VecDeque<PartDigest>,
    receivers: Receivers,
}

/// A configuration whose parts were added.
#[derive(Debug)]
pub(crate) struct AddedRoutes {
    pub(crate) manifest: RoutesManifest,
    /// Digest of the encoded manifest.
    pub(crate) digest: PartDigest,
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
    /// Adds the parts of a complete configuration, and its manifest as a further part.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration cannot be encoded.
    pub(crate) fn add_routes(&self, routes: &RouteSet) -> Result<AddedRoutes, PartFault> {
        let split = parts::split(routes)?;
        let encoded = split.manifest.encode()?;
        let digest = parts::digest(&encoded);
        let mut state = self.state.lock();
        state.parts.extend(split.parts);
        state.parts.insert(digest, encoded);
        state.keep(&split.manifest);
        drop(state);
        self.added.send_replace(());
        Ok(AddedRoutes {
            manifest: split.manifest,
            digest,
        })
    }

    /// Accepts a manifest of this digest from now on.
    pub(crate) fn expect_manifest(&self, digest: PartDigest) {
        self.state.lock().expected_manifest = Some(digest);
    }

    /// Returns the manifest of this digest, or `None` if it is not known.
    ///
    /// # Errors
    ///
    /// Returns an error if the part of this digest is not a manifest.
    pub(crate) fn manifest(
        &self,
        digest: &PartDigest,
    ) -> Result<Option<RoutesManifest>, PartFault> {
        let encoded = self.state.lock().parts.get(digest).cloned();
        encoded
            .map(|encoded| RoutesManifest::decode(&encoded))
            .transpose()
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
        state.demanded.retain(|demanded| *demanded != digest);
        drop(state);
        self.added.send_replace(());
        true
    }

    /// Waits up to `max_wait_ms` for a part, which is fetched before others that are missing.
    pub(crate) async fn await_part(&self, digest: PartDigest, max_wait_ms: Millis) {
        let mut added = self.added.subscribe();
        self.state.lock().demand(digest);
        let until_added = added.wait_for(|()| self.state.lock().parts.contains_key(&digest));
        // The caller looks the part up again, whether or not it has arrived.
        let _ = tokio::time::timeout(max_wait_ms.to_duration(), until_added).await;
    }

    /// Moves those of the missing parts to the front for which requests of callers wait.
    pub(crate) fn move_demanded_first(&self, missing: &mut [PartDigest]) {
        let state = self.state.lock();
        missing.sort_by_key(|digest| !state.demanded.contains(digest));
    }

    /// Returns those of the wanted parts that are not known.
    pub(crate) fn missing(&self, wanted: &[PartDigest]) -> Vec<PartDigest> {
        let state = self.state.lock();
        let mut missing: Vec<PartDigest> = wanted
            .iter()
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

    /// Looks up the route of a request in the known parts of a configuration.
    pub(crate) fn find(&self, manifest: &RoutesManifest, host: &str, path: &str) -> PartLookup {
        parts::find(manifest, &self.state.lock().parts, host, path)
    }

    /// Decides whether this node serves a request, or returns the node that should.
    ///
    /// A request that one answer completes is always served: a referral would take as long.
    fn admit(
        &self,
        request: &PartsRequest,
        idle_timeout_ms: Millis,
        link: &UnboundedSender<ToEntry>,
    ) -> Option<IpAddr> {
        let mut state = self.state.lock();
        if state.completes(request) {
            state.receivers.finish(request.node);
            return None;
        }
        let idle_timeout = idle_timeout_ms.to_duration();
        state
            .receivers
            .admit(request.node, link, idle_timeout)
            .err()
    }

    /// Returns requested parts that are known, up to the size of one answer.
    fn known_parts(&self, digests: &[PartDigest]) -> Vec<Bytes> {
        let state = self.state.lock();
        let mut known = Vec::new();
        let mut bytes = 0;
        for digest in digests {
            let Some(part) = state.parts.get(digest) else {
                continue;
            };
            if bytes >= MAX_ANSWER_BYTES {
                break;
            }
            bytes += part.len();
            known.push(part.clone());
        }
        known
    }

    /// Sends the answer to a request, after waiting up to `max_wait_ms` for parts that this
    /// node is about to receive itself. A node that requests nothing for `idle_timeout_ms`
    /// makes room for another one.
    pub(crate) async fn serve(
        &self,
        request: &PartsRequest,
        max_wait_ms: Millis,
        idle_timeout_ms: Millis,
        requester: &UnboundedSender<ToEntry>,
    ) {
        let referral = self.admit(request, idle_timeout_ms, requester);
        if referral.is_none() {
            let mut added = self.added.subscribe();
            let until_known = added.wait_for(|()| self.knows_any(&request.digests));
            // Without any known part the answer is empty, and the node asks elsewhere.
            let _ = tokio::time::timeout(max_wait_ms.to_duration(), until_known).await;
            for part in self.known_parts(&request.digests) {
                // A send fails only if the link has closed, and then no answer is needed.
                let _ = requester.send(ToEntry::Part(part));
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
        self.receivers = Receivers::default();
        if self.manifests.len() <= MAX_MANIFESTS {
            return;
        }
        self.manifests.pop_front();
        let named = self.manifests.iter().flat_map(RoutesManifest::parts);
        let mut named: HashSet<PartDigest> = named.copied().collect();
        for manifest in &self.manifests {
            // A manifest that cannot be encoded is not among the parts either.
            named.extend(manifest.encode().map(|encoded| parts::digest(&encoded)));
        }
        self.parts.retain(|digest, _| named.contains(digest));
    }

    /// Records that requests of callers wait for a part.
    fn demand(&mut self, digest: PartDigest) {
        if self.demanded.contains(&digest) {
            return;
        }
        if self.demanded.len() >= MAX_DEMANDED {
            self.demanded.pop_front();
        }
        self.demanded.push_back(digest);
    }

    /// Whether one answer contains all parts that the requester lacks.
    fn completes(&self, request: &PartsRequest) -> bool {
        if !request.is_last {
            return false;
        }
        let mut bytes = 0;
        for digest in &request.digests {
            let Some(part) = self.parts.get(digest) else {
                return false;
            };
            bytes += part.len();
        }
        bytes <= MAX_ANSWER_BYTES
    }

    fn names(&self, digest: &PartDigest) -> bool {
        let mut manifests = self.manifests.iter();
        self.expected_manifest == Some(*digest)
            || manifests.any(|manifest| manifest.parts().contains(digest))
    }
}
