//! Obtains configurations that are too large for the change feed: in parts from other
//! nodes, or whole from the source.

use std::net::IpAddr;
use std::sync::Arc;

use hornbeamhitch_dispatch::knowledge::waits::Waits;
use hornbeamhitch_dispatch::routing::routes::parts::RoutesManifest;
use hornbeamhitch_wire::link::{PartsRequest, ToEntry, ToGate};
use rand::RngExt;
use rand::seq::SliceRandom;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::feed::{ChangeFeed, FeedEvent, FeedLinks, FeedStream};
use crate::link::LinkFault;
use crate::prelude::*;
use crate::source::SharedSource;

/// Maximum number of parts in one request. The answer is usually shorter.
const MAX_REQUESTED_PARTS: usize = 64;
/// Maximum number of referrals that are followed before the first node is asked again. Trees of
/// transfers are less deep.
const MAX_REFERRALS: usize = 12;

/// A configuration that this node wants.
#[derive(Clone, Debug)]
pub(super) struct WantedRoutes {
    /// Version of the configuration.
    pub(super) version: u64,
    /// Parts of the configuration; `None` if it can only be read from the source.
    pub(super) manifest: Option<ManifestSource>,
    /// Nodes that may have the parts, most promising first.
    pub(super) sources: Vec<IpAddr>,
}

/// How this node learns which parts a configuration has.
#[derive(Clone, Debug)]
pub(super) enum ManifestSource {
    /// The manifest is known.
    Known(RoutesManifest),
    /// Other nodes have a manifest of this digest.
    Digest(PartDigest),
}

/// Access to the source and to other nodes.
#[derive(Clone, Debug)]
pub(super) struct RoutesAccess {
    pub(super) own_ip: IpAddr,
    pub(super) source: SharedSource,
    pub(super) links: Arc<dyn FeedLinks>,
    pub(super) feed: Arc<ChangeFeed>,
    pub(super) waits: Waits,
}

/// Obtains large configurations in a task of its own. That may take a second on a slow
/// link, and the node applies removals of targets in the meantime.
#[derive(Debug)]
pub(super) struct LargeRoutes {
    /// Newest configuration that has been requested.
    wanted: watch::Sender<Option<WantedRoutes>>,
}

impl LargeRoutes {
    /// Starts the task. It sends each configuration that it obtains to `events`.
    pub(super) fn start(access: RoutesAccess, events: mpsc::UnboundedSender<FeedEvent>) -> Self {
        let (wanted, wanted_routes) = watch::channel(None);
        let task = Task {
            access,
            events,
            wanted: wanted_routes,
            obtained: 0,
        };
        tokio::spawn(task.run());
        Self { wanted }
    }

    /// Requests a configuration, unless one that is as new has been requested.
    pub(super) fn request(&self, routes: WantedRoutes) {
        self.wanted.send_if_modified(|wanted| {
            let is_newer = wanted
                .as_ref()
                .is_none_or(|known| routes.version > known.version);
            if is_newer {
                *wanted = Some(routes);
            }
            is_newer
        });
    }
}

struct Task {
    access: RoutesAccess,
    events: mpsc::UnboundedSender<FeedEvent>,
    wanted: watch::Receiver<Option<WantedRoutes>>,
    /// Newest version that was obtained, or that cannot be used.
    obtained: u64,
}

impl Task {
    async fn run(mut self) {
        while let Some(wanted) = self.next_wanted().await {
            let Some(routes) = self.obtain(&wanted).await else {
                continue;
            };
            self.obtained = self.obtained.max(routes.version());
            if self.events.send(FeedEvent::RoutesRead(routes)).is_err() {
                return;
            }
        }
    }

    /// Waits for a configuration that is newer than the last one. Returns `None` when the
    /// node stops following its source.
    async fn next_wanted(&mut self) -> Option<WantedRoutes> {
        let obtained = self.obtained;
        let is_new = |wanted: &Option<WantedRoutes>| {
            wanted
                .as_ref()
                .is_some_and(|wanted| wanted.version > obtained)
        };
        let wanted = self.wanted.wait_for(is_new).await.ok()?;
        wanted.clone()
    }

    async fn obtain(&mut self, wanted: &WantedRoutes) -> Option<RouteSet> {
        if let Some(manifest) = &wanted.manifest
            && let Some(routes) = self.fetch(wanted, manifest).await
        {
            return Some(routes);
        }
        if self.is_superseded(wanted) {
            log::info!(version = wanted.version; "a newer configuration replaces one that is not complete");
            return None;
        }
        self.read(wanted.version).await
    }

    fn is_superseded(&self, wanted: &WantedRoutes) -> bool {
        let newest = self.wanted.borrow();
        newest
            .as_ref()
            .is_some_and(|newest| newest.version > wanted.version)
    }

    /// Reads the configuration from the source.
    async fn read(&mut self, wanted: u64) -> Option<RouteSet> {
        let waits = self.access.waits;
        // Other nodes may read the source now too, so their reads are spread out.
        pause_up_to(waits.initial_backoff_ms()).await;
        match self
            .access
            .source
            .read_routes(waits.idle_timeout_ms())
            .await
        {
            Ok(Some(routes)) => {
                if routes.version() < wanted {
                    // The source has returned from a copy that lacks this version.
                    pause_up_to(waits.max_backoff_ms()).await;
                }
                log::info!(version = routes.version(), wanted; "read a large configuration");
                Some(routes)
            }
            Ok(None) => {
                // This configuration cannot be used, so the task waits for the next version.
                self.obtained = wanted;
                None
            }
            Err(fault) => {
                log::warn!(wanted; "reading a large configuration failed: {fault}");
                pause_up_to(waits.max_backoff_ms()).await;
                None
            }
        }
    }

    /// Fetches a configuration from other nodes. Returns `None` if a newer one is wanted, or if
    /// no part has arrived for too long.
    async fn fetch(&self, wanted: &WantedRoutes, source: &ManifestSource) -> Option<RouteSet> {
        let parts = self.access.feed.parts();
        let mut fetch = Fetch::new(wanted);
        log::info!(version = wanted.version; "fetching a configuration from other nodes");
        let manifest = match source {
            ManifestSource::Known(manifest) => manifest.clone(),
            ManifestSource::Digest(digest) => self.fetch_manifest(*digest, &mut fetch).await?,
        };
        parts.expect(&manifest);
        // Fails only if the node no longer follows its source.
        let _ = self.events.send(FeedEvent::ManifestKnown(manifest.clone()));
        fetch.want_parts_of(&manifest);
        self.fetch_wanted(&mut fetch).await?;
        match parts.join(&manifest) {
            Ok(routes) => {
                fetch.log("fetched a configuration from other nodes");
                Some(routes)
            }
            Err(fault) => {
                log::error!(version = wanted.version; "the parts of a configuration are unusable: {fault}");
                None
            }
        }
    }

    async fn fetch_manifest(
        &self,
        digest: PartDigest,
        fetch: &mut Fetch<'_>,
    ) -> Option<RoutesManifest> {
        let parts = self.access.feed.parts();
        parts.expect_manifest(digest);
        fetch.wanted_parts = vec![digest];
        self.fetch_wanted(fetch).await?;
        match parts.manifest(&digest) {
            Ok(manifest) => manifest,
            Err(fault) => {
                log::error!("the manifest of a configuration is unusable: {fault}");
                None
            }
        }
    }

    /// Fetches until no wanted part is missing. Returns `None` if a newer configuration is
    /// wanted, or if no part has arrived for too long.
    async fn fetch_wanted(&self, fetch: &mut Fetch<'_>) -> Option<()> {
        let parts = self.access.feed.parts();
        let max_stall = self.access.waits.parts_max_stall_ms().to_duration();
        // The node that has sent the manifest has a place for this node.
        let mut nodes = fetch
            .sender
            .into_iter()
            .chain(fetch.nodes.iter().copied().cycle());
        while !parts.missing(&fetch.wanted_parts).is_empty() {
            if self.is_outdated() || fetch.last_progress.elapsed() > max_stall {
                fetch.log("a configuration was not fetched from other nodes");
                return None;
            }
            let node = nodes.next()?;
            let before = fetch.parts;
            if let Err(fault) = self.fetch_from_tree(node, fetch).await {
                log::debug!("fetching parts by way of {node} failed: {fault}");
                fetch.failures += 1;
            }
            if fetch.parts == before {
                pause_up_to(self.access.waits.part_retry_ms()).await;
            }
        }
        Some(())
    }

    /// Whether a newer configuration than the one that is being fetched is wanted.
    fn is_outdated(&self) -> bool {
        self.wanted.has_changed().unwrap_or(true)
    }

    /// Fetches parts from a node or from those to which it refers one after the other.
    async fn fetch_from_tree(&self, root: IpAddr, fetch: &mut Fetch<'_>) -> Result<(), LinkFault> {
        let mut node = root;
        for _ in 0..MAX_REFERRALS {
            match self.fetch_from(node, fetch).await? {
                Some(referral) if referral != self.access.own_ip => node = referral,
                _ => break,
            }
        }
        Ok(())
    }

    /// Fetches parts from one node until none is missing or the node has no further one.
    /// Returns the node to which it refers.
    async fn fetch_from(
        &self,
        node: IpAddr,
        fetch: &mut Fetch<'_>,
    ) -> Result<Option<IpAddr>, LinkFault> {
        let parts = self.access.feed.parts();
        let patience = self.access.waits.part_timeout_ms().to_duration();
        let mut stream: Option<Box<dyn FeedStream>> = None;
        loop {
            let missing = parts.missing(&fetch.wanted_parts);
            if missing.is_empty() || self.is_outdated() {
                return Ok(None);
            }
            let request = self.request_for(missing, fetch.has_manifest);
            let connected = match stream.take() {
                None => self.in_time(self.access.links.open(node, request)).await?,
                Some(mut connected) => {
                    self.in_time(connected.send(request)).await?;
                    connected
                }
            };
            let connected = stream.insert(connected);
            let before = fetch.parts;
            let referral = loop {
                match self.in_time(connected.next()).await? {
                    ToEntry::Part(part) => {
                        let bytes = part.len();
                        if parts.add(part) {
                            fetch.note_part(bytes, node);
                        }
                    }
                    ToEntry::PartsEnd { referral } => break referral,
                    // Other messages of a link are irrelevant here.
                    _ => {}
                }
            };
            // The node may still wait for its own first part.
            let may_wait = referral.is_none() && fetch.last_progress.elapsed() < patience;
            if fetch.parts == before && !may_wait {
                return Ok(referral);
            }
        }
    }

    /// Requests parts in random order, except for those that callers wait for. Nodes that fetch
    /// from each other then rarely lack the same ones.
    fn request_for(&self, missing: Vec<PartDigest>, has_manifest: bool) -> ToGate {
        let mut digests = missing;
        let is_last = has_manifest && digests.len() <= MAX_REQUESTED_PARTS;
        digests.shuffle(&mut rand::rng());
        self.access.feed.parts().move_demanded_first(&mut digests);
        digests.truncate(MAX_REQUESTED_PARTS);
        ToGate::FetchParts(PartsRequest {
            node: self.access.own_ip,
            digests,
            is_last,
        })
    }

    /// Fails an operation that makes no progress for too long.
    async fn in_time<T>(
        &self,
        operation: impl Future<Output = Result<T, LinkFault>>,
    ) -> Result<T, LinkFault> {
        let timeout = self.access.waits.part_timeout_ms().to_duration();
        match tokio::time::timeout(timeout, operation).await {
            Ok(result) => result,
            Err(elapsed) => Err(LinkFault::Io(elapsed.into())),
        }
    }
}

/// Progress of fetching one configuration.
struct Fetch<'a> {
    version: u64,
    /// Nodes that are asked in turn.
    nodes: &'a [IpAddr],
    /// The parts of the configuration, or only the manifest until that is known.
    wanted_parts: Vec<PartDigest>,
    has_manifest: bool,
    started: Instant,
    last_progress: Instant,
    /// Number of parts that were received.
    parts: usize,
    /// Bytes of these parts.
    bytes: usize,
    /// Node that sent the last of them.
    sender: Option<IpAddr>,
    /// Number of nodes that did not respond in time.
    failures: u32,
}

impl<'a> Fetch<'a> {
    fn new(wanted: &'a WantedRoutes) -> Self {
        Self {
            version: wanted.version,
            nodes: &wanted.sources,
            wanted_parts: Vec::new(),
            has_manifest: false,
            started: Instant::now(),
            last_progress: Instant::now(),
            parts: 0,
            bytes: 0,
            sender: None,
            failures: 0,
        }
    }

    fn want_parts_of(&mut self, manifest: &RoutesManifest) {
        self.wanted_parts = manifest.parts().to_vec();
        self.has_manifest = true;
    }

    fn log(&self, message: &str) {
        let (version, of) = (self.version, self.wanted_parts.len());
        let (parts, bytes, failures) = (self.parts, self.bytes, self.failures);
        let sender = self.sender.map(|sender| sender.to_string());
        let took_ms = Millis::from_duration(self.started.elapsed()).0;
        log::info!(version, parts, of, bytes, sender, failures, took_ms; "{message}");
    }

    fn note_part(&mut self, bytes: usize, sender: IpAddr) {
        self.sender = Some(sender);
        self.parts += 1;
        self.bytes += bytes;
        self.last_progress = Instant::now();
    }
}

async fn pause_up_to(max_ms: Millis) {
    let pause = Millis(rand::rng().random_range(0..=max_ms.0));
    tokio::time::sleep(pause.to_duration()).await;
}
