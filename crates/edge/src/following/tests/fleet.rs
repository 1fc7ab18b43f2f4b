//! A fleet of nodes that follow a store and each other, in virtual time and without
//! sockets.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hornbeamhitch_dispatch::knowledge::members::MemberTracker;
use hornbeamhitch_dispatch::knowledge::readers;
use hornbeamhitch_dispatch::knowledge::waits::Waits;
use hornbeamhitch_wire::link::{ToEntry, ToGate};
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::source::{self, Published, SourceMode, TestSource};
use super::{Fault, FaultWindow, IN_FORCE_MS};
use crate::directory::{Directory, DirectoryWriter, RouteLookup, adopt_facts};
use crate::feed::{ChangeFeed, FeedLinks, FeedStream, LinkFuture};
use crate::following::{FollowSettings, follow_over};
use crate::link::LinkFault;
use crate::prelude::*;
use crate::source::Fact;

/// Routes of a version that the feed publishes in parts.
const LARGE_VERSION_ROUTES: usize = 120;
/// Network delay from one node to another.
const ONE_WAY: Duration = Duration::from_millis(2);
/// Time by which the copy is older that a store returns from.
const COPY_LAG: Duration = Duration::from_millis(500);

/// State of the links to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Open,
    /// Links stay open without delivering anything.
    Frozen,
    /// The node has stopped.
    Closed,
}

/// The part of a node that other nodes reach.
#[derive(Clone, Debug)]
struct Endpoint {
    feed: Arc<ChangeFeed>,
    link_state: Arc<watch::Sender<LinkState>>,
    line: Line,
    /// Requests for parts that are lost on their way to this node.
    ignored: Arc<Mutex<IgnoredRequests>>,
}

/// The sending direction of a VM's network line.
#[derive(Clone, Debug)]
struct Line {
    /// `None` if transfers take no time.
    bytes_per_ms: Option<u64>,
    state: Arc<Mutex<LineState>>,
}

#[derive(Debug)]
struct LineState {
    free_at: Instant,
    sent_bytes: u64,
}

impl Line {
    fn new(bytes_per_ms: Option<u64>) -> Self {
        Self {
            bytes_per_ms,
            state: Arc::new(Mutex::new(LineState {
                free_at: Instant::now(),
                sent_bytes: 0,
            })),
        }
    }

    /// Queues a message, and returns when it has left the line.
    fn enqueue(&self, message: &ToEntry) -> Instant {
        let Some(bytes_per_ms) = self.bytes_per_ms else {
            return Instant::now();
        };
        let encoded = postcard::to_stdvec(message).expect("an encodable message");
        let bytes = encoded.len() as u64;
        let mut state = self.state.lock();
        state.sent_bytes += bytes;
        let transfer = Duration::from_micros(bytes * 1_000 / bytes_per_ms);
        state.free_at = state.free_at.max(Instant::now()) + transfer;
        state.free_at
    }
}

/// All reachable nodes.
#[derive(Clone, Debug, Default)]
struct Network(Arc<Mutex<BTreeMap<IpAddr, Endpoint>>>);

/// Requests for parts that a node does not receive.
#[derive(Clone, Copy, Debug, Default)]
enum IgnoredRequests {
    #[default]
    None,
    /// Those of one node.
    Of(IpAddr),
    OfAll,
}

impl IgnoredRequests {
    fn contains(self, requester: IpAddr) -> bool {
        match self {
            Self::None => false,
            Self::Of(node) => node == requester,
            Self::OfAll => true,
        }
    }
}

/// To whom a node's requests for parts are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lost {
    /// To the readers that it subscribes to.
    ToItsReaders,
    ToAllNodes,
}

impl FeedLinks for Network {
    fn open(&self, node: IpAddr, request: ToGate) -> LinkFuture<'_, Box<dyn FeedStream>> {
        Box::pin(async move {
            tokio::time::sleep(ONE_WAY).await;
            let endpoint = self.0.lock().get(&node).cloned();
            let endpoint = endpoint.ok_or(LinkFault::Closed)?;
            let mut link_state = endpoint.link_state.subscribe();
            let responding = link_state
                .wait_for(|link_state| *link_state != LinkState::Frozen)
                .await;
            if responding.map_or(LinkState::Closed, |link_state| *link_state) == LinkState::Closed {
                return Err(LinkFault::Closed);
            }
            let (sender, sent) = mpsc::unbounded_channel();
            let (in_transit, messages) = mpsc::unbounded_channel();
            tokio::spawn(transmit(endpoint.line.clone(), sent, in_transit));
            let stream = NetworkFeedStream {
                endpoint,
                sender,
                messages,
                next: None,
                link_state,
            };
            stream.serve(request);
            let stream: Box<dyn FeedStream> = Box::new(stream);
            Ok(stream)
        })
    }
}

/// A connection to one node.
struct NetworkFeedStream {
    endpoint: Endpoint,
    sender: mpsc::UnboundedSender<ToEntry>,
    /// Messages with the times at which they arrive.
    messages: mpsc::UnboundedReceiver<(Instant, ToEntry)>,
    /// The next message, which has not arrived yet.
    next: Option<(Instant, ToEntry)>,
    link_state: watch::Receiver<LinkState>,
}

/// Puts the messages of a connection on the line of their sender.
async fn transmit(
    line: Line,
    mut sent: mpsc::UnboundedReceiver<ToEntry>,
    in_transit: mpsc::UnboundedSender<(Instant, ToEntry)>,
) {
    while let Some(message) = sent.recv().await {
        let arrives_at = line.enqueue(&message) + ONE_WAY;
        if in_transit.send((arrives_at, message)).is_err() {
            return;
        }
    }
}

impl NetworkFeedStream {
    /// Serves a request as the link server does.
    fn serve(&self, request: ToGate) {
        let (feed, sender) = (Arc::clone(&self.endpoint.feed), self.sender.clone());
        let ignored = *self.endpoint.ignored.lock();
        tokio::spawn(async move {
            match request {
                ToGate::Subscribe { revision } => feed.serve(revision, &sender).await,
                ToGate::FetchParts(request) if ignored.contains(request.node) => {
                    // The connection stays open without an answer.
                    sender.closed().await;
                }
                ToGate::FetchParts(request) => {
                    feed.serve_parts(&request, &sender).await;
                }
                ToGate::OfferFeed { node } => feed.accept_offer(node),
                request => panic!("no feed serves {request:?}"),
            }
        });
    }
}

impl FeedStream for NetworkFeedStream {
    fn send(&mut self, request: ToGate) -> LinkFuture<'_, ()> {
        Box::pin(async {
            tokio::time::sleep(ONE_WAY).await;
            self.serve(request);
            Ok(())
        })
    }

    fn next(&mut self) -> LinkFuture<'_, ToEntry> {
        Box::pin(async {
            let mut link_state = self.link_state.clone();
            if self.next.is_none() {
                self.next = tokio::select! {
                    biased;
                    _ = link_state.wait_for(|link_state| *link_state == LinkState::Closed) => None,
                    message = self.messages.recv() => message,
                };
            }
            let arrives_at = self.next.as_ref().ok_or(LinkFault::Closed)?.0;
            let _ = self
                .link_state
                .wait_for(|link_state| *link_state != LinkState::Frozen)
                .await;
            tokio::time::sleep_until(arrives_at).await;
            let (_, message) = self.next.take().ok_or(LinkFault::Closed)?;
            Ok(message)
        })
    }
}

/// A node between its start and its stop.
struct RunningNode {
    directory: SharedDirectory,
    clock: ProcessClock,
    source: TestSource,
    line: Line,
    link_state: Arc<watch::Sender<LinkState>>,
    following: AbortHandle,
    started: Instant,
    /// Newest version seen in force.
    newest_seen: u64,
}

impl RunningNode {
    fn version(&self) -> u64 {
        let directory = self.directory.load();
        directory.routes.as_ref().map_or(0, |known| known.version())
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.link_state.send_replace(LinkState::Closed);
        self.following.abort();
    }
}

/// Numbers of calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Calls {
    /// Calls at full cost.
    pub(super) current: u64,
    /// Stale reads, at a tenth of the cost.
    pub(super) stale: u64,
}

/// Nodes and their store.
pub(super) struct Fleet {
    store: Published,
    network: Network,
    started: Instant,
    ips: Vec<IpAddr>,
    nodes: BTreeMap<IpAddr, RunningNode>,
    readers: Vec<IpAddr>,
    has_current_replicas: bool,
    line_bytes_per_ms: Option<u64>,
    version: u64,
    /// Publication time of each recent version.
    published: VecDeque<(Instant, u64)>,
    /// Faults that are active now.
    active_faults: Vec<Fault>,
    /// When a fault last affected a node or the store's treatment of it.
    last_fault_at: BTreeMap<IpAddr, Instant>,
}

impl Fleet {
    /// Starts nodes in three small data centres, and waits until they have their roles.
    pub(super) async fn start(count: usize) -> Self {
        let mut fleet = Self::unstarted(count);
        fleet.list_all_targets();
        for ip in fleet.ips.clone() {
            fleet.start_node(ip);
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        let directory = fleet.nodes[&fleet.ips[0]].directory.load();
        let is_reader = |own_ip: &IpAddr| {
            readers::role(&directory.members, *own_ip, &data_centre(*own_ip)).is_reader()
        };
        fleet.readers = fleet.ips.iter().copied().filter(is_reader).collect();
        assert_eq!(fleet.readers.len(), 3);
        drop(directory);
        fleet
    }

    /// Creates nodes without starting them, and a store without targets.
    pub(super) fn unstarted(count: usize) -> Self {
        let ips: Vec<IpAddr> = (1..=count).map(ip).collect();
        let store = Published::new();
        store.put_version(1);
        Self {
            store,
            network: Network::default(),
            started: Instant::now(),
            ips,
            nodes: BTreeMap::new(),
            readers: Vec::new(),
            has_current_replicas: false,
            line_bytes_per_ms: None,
            version: 1,
            published: VecDeque::new(),
            active_faults: Vec::new(),
            last_fault_at: BTreeMap::new(),
        }
    }

    /// Lists all targets at once.
    pub(super) fn list_all_targets(&self) {
        let all = self.ips.iter().map(member).map(Fact::Listed);
        self.store.put_all(all.collect());
    }

    /// Starts all nodes within `start_span`. Their targets are then listed one after the
    /// other within `registration_span`.
    pub(super) async fn start_staggered(
        &mut self,
        start_span: Duration,
        registration_span: Duration,
    ) {
        let count = u32::try_from(self.ips.len()).expect("a small fleet");
        for ip in self.ips.clone() {
            self.start_node(ip);
            tokio::time::sleep(start_span / count).await;
        }
        for ip in self.ips.clone() {
            self.store.put(Fact::Listed(member(&ip)));
            tokio::time::sleep(registration_span / count).await;
        }
    }

    /// Gives readers replicas without lag.
    pub(super) fn give_readers_current_replicas(&mut self) {
        let mut tracker = MemberTracker::default();
        for ip in &self.ips {
            tracker.upsert(member(ip));
        }
        let members = tracker.snapshot();
        let is_reader = |own_ip: &&IpAddr| {
            readers::role(&members, **own_ip, &data_centre(**own_ip)).is_reader()
        };
        self.readers = self.ips.iter().filter(is_reader).copied().collect();
        self.has_current_replicas = true;
    }

    /// Limits the rate at which each node that starts from now on sends.
    pub(super) const fn limit_lines(&mut self, bytes_per_ms: u64) {
        self.line_bytes_per_ms = Some(bytes_per_ms);
    }

    /// Loses the requests for parts of one follower to these nodes, or to all other nodes.
    pub(super) fn lose_part_requests(&self, to: Lost) -> IpAddr {
        let is_follower = |own_ip: &&IpAddr| {
            let members = &self.nodes[*own_ip].directory.load().members;
            let role = readers::role(members, **own_ip, &data_centre(**own_ip));
            role.is_follower() && !role.is_reserve()
        };
        let requester = *self.ips.iter().find(is_follower).expect("a follower");
        let members = &self.nodes[&requester].directory.load().members;
        let role = readers::role(members, requester, &data_centre(requester));
        for (node_ip, endpoint) in self.network.0.lock().iter() {
            if to == Lost::ToAllNodes || role.readers().contains(node_ip) {
                *endpoint.ignored.lock() = IgnoredRequests::Of(requester);
            }
        }
        requester
    }

    /// Loses the requests for parts of all nodes, or of none.
    pub(super) fn lose_all_part_requests(&self, is_lost: bool) {
        for endpoint in self.network.0.lock().values() {
            *endpoint.ignored.lock() = match is_lost {
                true => IgnoredRequests::OfAll,
                false => IgnoredRequests::None,
            };
        }
    }

    /// Number of the routes of large versions that a node takes from an older version than this
    /// one.
    pub(super) fn routes_before_version(
        &self,
        own_ip: IpAddr,
        routes: usize,
        version: u64,
    ) -> usize {
        let node = &self.nodes[&own_ip];
        let directory = node.directory.load();
        let (waits, now) = (Waits::new(IN_FORCE_MS), node.clock.now());
        let is_old = |number: &usize| {
            let host = format!("host-{number}.example");
            let path = format!("/prefix-{number}/x");
            let found = directory.find(&host, &path, &waits, now);
            matches!(found, RouteLookup::Found { version: known, .. } if known < version)
        };
        (0..routes).filter(is_old).count()
    }

    /// Version that a node uses.
    pub(super) fn version_of(&self, own_ip: IpAddr) -> u64 {
        self.nodes[&own_ip].version()
    }

    /// Newest version that is published.
    pub(super) const fn newest_version(&self) -> u64 {
        self.version
    }

    /// Limits the rate at which each node receives large answers of the store.
    pub(super) fn limit_store_answers(&self, bytes_per_ms: u64) {
        self.store.limit_answers(bytes_per_ms);
    }

    /// Number of followers other than reserves that have received a large configuration from
    /// the store since they started.
    pub(super) fn followers_that_received_routes(&self) -> usize {
        let mut count = 0;
        for (own_ip, node) in &self.nodes {
            let members = &node.directory.load().members;
            let role = readers::role(members, *own_ip, &data_centre(*own_ip));
            if role.is_follower() && !role.is_reserve() && node.source.received_routes() > 0 {
                count += 1;
            }
        }
        count
    }

    /// Largest number of bytes that a node has sent.
    pub(super) fn max_sent_bytes(&self) -> u64 {
        let sent = self
            .nodes
            .values()
            .map(|node| node.line.state.lock().sent_bytes);
        sent.max().unwrap_or(0)
    }

    /// Publishes a version with many routes.
    pub(super) fn put_next_large_version(&mut self, routes: usize) {
        self.version += 1;
        self.store
            .put(source::large_version_fact(self.version, routes));
        self.published.push_back((Instant::now(), self.version));
    }

    /// Lists the first target as draining.
    pub(super) fn drain_first_target(&self) {
        let draining = Member {
            draining: true,
            ..member(&self.ips[0])
        };
        self.store.put(Fact::Listed(draining));
    }

    /// Number of nodes that do not know that the first target is draining.
    pub(super) fn nodes_using_first_target(&self) -> usize {
        let id = member(&self.ips[0]).id;
        let uses_target = |node: &&RunningNode| {
            let directory = node.directory.load();
            directory
                .members
                .get(&id)
                .is_some_and(|known| !known.draining)
        };
        self.nodes.values().filter(uses_target).count()
    }

    /// Number of nodes whose configuration in force lacks one of these routes.
    pub(super) fn nodes_missing_routes(&self, routes: usize) -> usize {
        let has_all = |node: &&RunningNode| {
            let directory = node.directory.load();
            let known = directory.routes.as_ref();
            known.is_some_and(|known| known.iter().count() == routes)
        };
        self.ips.len() - self.nodes.values().filter(has_all).count()
    }

    /// Reads of the complete listing by the running nodes.
    pub(super) fn listings(&self) -> u64 {
        self.nodes.values().map(|node| node.source.listings()).sum()
    }

    /// Reads of only the configuration by the running nodes.
    pub(super) fn route_reads(&self) -> u64 {
        self.nodes
            .values()
            .map(|node| node.source.route_reads())
            .sum()
    }

    /// Stops all nodes, as in a power loss, and starts them again within this span. Their
    /// targets stay listed.
    pub(super) async fn restart_staggered(&mut self, start_span: Duration) {
        self.nodes.clear();
        self.network.0.lock().clear();
        let count = u32::try_from(self.ips.len()).expect("a small fleet");
        for ip in self.ips.clone() {
            self.start_node(ip);
            tokio::time::sleep(start_span / count).await;
        }
    }

    /// Stops the first `count` nodes and starts them again while the store treats all nodes
    /// in this mode. A peer that has a link to it sends each the state that it knows.
    pub(super) async fn restart_during_outage(&mut self, count: usize, mode: SourceMode) {
        let restarted = self.ips[..count].to_vec();
        let facts = self.nodes[&self.ips[count]].directory.load().to_facts();
        let facts = facts.expect("a node with routes");
        for own_ip in &restarted {
            self.nodes.remove(own_ip);
            self.start_node(*own_ip);
            self.nodes[own_ip].source.set_mode(mode);
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
        for own_ip in &restarted {
            adopt_facts(&self.nodes[own_ip].directory, &facts);
        }
    }

    /// Sets how the store treats all nodes.
    pub(super) fn set_store_mode(&self, mode: SourceMode) {
        for node in self.nodes.values() {
            node.source.set_mode(mode);
        }
    }

    /// Sets how the store treats the nodes that do not read it.
    pub(super) fn set_mode_of_followers(&self, mode: SourceMode) {
        for (own_ip, node) in &self.nodes {
            let members = &node.directory.load().members;
            if readers::role(members, *own_ip, &data_centre(*own_ip)).is_follower() {
                node.source.set_mode(mode);
            }
        }
    }

    /// Sets how the store treats readers and reserves, which poll it during an outage.
    pub(super) fn set_mode_of_pollers(&self, mode: SourceMode) {
        for (own_ip, node) in &self.nodes {
            let members = &node.directory.load().members;
            if readers::role(members, *own_ip, &data_centre(*own_ip)).accepts_subscribers() {
                node.source.set_mode(mode);
            }
        }
    }

    /// Replaces the store by an older copy, as [`Published::restore_copy`] does.
    pub(super) fn restore_store_from_copy(&self, lag: Duration) {
        self.store.restore_copy(lag);
    }

    /// Number of nodes that do not know every target.
    pub(super) fn nodes_missing_targets(&self) -> usize {
        let has_all_targets =
            |node: &&RunningNode| node.directory.load().members.len() == self.ips.len();
        let complete = self.nodes.values().filter(has_all_targets).count();
        self.ips.len() - complete
    }

    /// Number of nodes that do not use the newest version.
    pub(super) fn outdated_nodes(&self) -> usize {
        self.nodes_before_version(self.version)
    }

    /// Version that was published `count` versions before the newest one.
    pub(super) const fn version_before(&self, count: u64) -> u64 {
        self.version - count
    }

    /// Number of nodes that use an older version than this one.
    pub(super) fn nodes_before_version(&self, version: u64) -> usize {
        let is_behind = |node: &&RunningNode| node.version() < version;
        self.nodes.values().filter(is_behind).count()
    }

    /// Calls of the running nodes to the store.
    pub(super) fn calls(&self) -> Calls {
        self.calls_of(&self.ips)
    }

    /// Calls of the first `count` nodes since their last start.
    pub(super) fn calls_of_first(&self, count: usize) -> Calls {
        self.calls_of(&self.ips[..count])
    }

    /// Calls of the last `count` nodes since their last start.
    pub(super) fn calls_of_last(&self, count: usize) -> Calls {
        self.calls_of(&self.ips[self.ips.len() - count..])
    }

    fn calls_of(&self, ips: &[IpAddr]) -> Calls {
        let mut calls = Calls::default();
        for node in ips.iter().filter_map(|own_ip| self.nodes.get(own_ip)) {
            calls.current += node.source.calls();
            calls.stale += node.source.stale_reads();
        }
        calls
    }

    fn start_node(&mut self, own_ip: IpAddr) {
        let clock = ProcessClock::start();
        let waits = Waits::new(IN_FORCE_MS);
        let directory: SharedDirectory = Arc::new(ArcSwap::from_pointee(Directory::default()));
        let feed = Arc::new(ChangeFeed::new(clock, waits));
        let source = self.store.source();
        if self.has_current_replicas && self.readers.contains(&own_ip) {
            source.set_replica_lag(Duration::ZERO);
        }
        let settings = FollowSettings {
            own_ip,
            data_centre: data_centre(own_ip),
            gate_port: 9,
            in_force_ms: IN_FORCE_MS,
        };
        let link_state = Arc::new(watch::channel(LinkState::Open).0);
        let line = Line::new(self.line_bytes_per_ms);
        let endpoint = Endpoint {
            feed: Arc::clone(&feed),
            link_state: Arc::clone(&link_state),
            line: line.clone(),
            ignored: Arc::default(),
        };
        self.network.0.lock().insert(own_ip, endpoint);
        let following = tokio::spawn(follow_over(
            Arc::new(self.network.clone()),
            Arc::new(source.clone()),
            DirectoryWriter::new(Arc::clone(&directory), clock),
            Arc::clone(&feed),
            settings,
        ));
        let node = RunningNode {
            directory,
            clock,
            line,
            source,
            link_state,
            following: following.abort_handle(),
            started: Instant::now(),
            newest_seen: 0,
        };
        self.nodes.insert(own_ip, node);
    }

    /// Time since the fleet was created.
    pub(super) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Sets the active faults.
    pub(super) fn set_faults(&mut self, faults: Vec<Fault>) {
        let returns = |faults: &[Fault]| faults.contains(&Fault::StoreReturnsFromCopy);
        if returns(&faults) && !returns(&self.active_faults) {
            self.store.restore_copy(COPY_LAG);
        }
        self.active_faults = faults;
    }

    /// Applies the active faults to nodes and store.
    pub(super) fn apply(&mut self) {
        let faults = self.active_faults.clone();
        for own_ip in self.ips.clone() {
            self.apply_to(own_ip, &faults);
        }
    }

    fn apply_to(&mut self, own_ip: IpAddr, faults: &[Fault]) {
        let first = self.readers[0] == own_ip;
        let second = self.readers[1] == own_ip;
        let is_reader = self.readers.contains(&own_ip);
        let follower = self.ips.iter().find(|ip| !self.readers.contains(ip));
        let mut mode = SourceMode::Normal;
        let (mut is_frozen, mut is_stopped) = (false, false);
        for fault in faults {
            match fault {
                Fault::StoreDropsHistory => self.store.drop_history(),
                Fault::Store(known) => mode = *known,
                Fault::StoreRejectsReader if first => mode = SourceMode::Failing,
                Fault::StoreRejectsAllReaders if is_reader => mode = SourceMode::Failing,
                Fault::StoreDropsReaderWatches if first => mode = SourceMode::DroppingWatches,
                Fault::ReaderFreezes => is_frozen |= second,
                Fault::AllReadersFreeze => is_frozen |= is_reader,
                Fault::AllReadersHang if is_reader => mode = SourceMode::Hanging,
                Fault::ReaderRestarts => is_stopped |= first,
                Fault::AllReadersRestart => is_stopped |= is_reader,
                Fault::FollowerRestarts => is_stopped |= follower == Some(&own_ip),
                _ => {}
            }
        }
        let is_affected = mode != SourceMode::Normal || is_frozen || is_stopped;
        let affects_all = [Fault::StoreDropsHistory, Fault::StoreReturnsFromCopy];
        if is_affected || faults.iter().any(|fault| affects_all.contains(fault)) {
            self.last_fault_at.insert(own_ip, Instant::now());
        }
        if is_stopped {
            self.nodes.remove(&own_ip);
            self.network.0.lock().remove(&own_ip);
            return;
        }
        if !self.nodes.contains_key(&own_ip) {
            self.start_node(own_ip);
        }
        let node = &self.nodes[&own_ip];
        // Calls of a frozen node are effectively lost.
        node.source.set_mode(match is_frozen {
            true => SourceMode::DroppingCalls,
            false => mode,
        });
        let link_state = match is_frozen {
            true => LinkState::Frozen,
            false => LinkState::Open,
        };
        node.link_state.send_if_modified(|known| {
            let is_new = *known != link_state;
            *known = link_state;
            is_new
        });
    }

    /// Publishes the next version.
    pub(super) fn put_next_version(&mut self) {
        self.version += 1;
        let started = evacuated_data_centre(self.version);
        // After a return from a copy these are not those of the last version.
        let evacuated = self.store.evacuated();
        let mut facts: Vec<Fact> = evacuated.into_iter().map(Fact::EvacuationEnded).collect();
        facts.push(Fact::EvacuationStarted(started));
        // Some versions are too large for one change of the feed.
        facts.push(match self.version % 3 {
            0 => source::large_version_fact(self.version, LARGE_VERSION_ROUTES),
            _ => source::version_fact(self.version),
        });
        self.store.put_all(facts);
        self.published.push_back((Instant::now(), self.version));
    }

    /// Checks that no node returns to an older version, and that each node that no fault
    /// has affected for the time that changes may take uses no state older than that,
    /// neither routes nor evacuations.
    pub(super) fn check(&mut self, faults: &[FaultWindow]) {
        let now = Instant::now();
        let max_lag = IN_FORCE_MS.to_duration();
        let mut newest_due = 0;
        for (at, version) in &self.published {
            if now.duration_since(*at) > max_lag {
                newest_due = *version;
            }
        }
        for (own_ip, node) in &mut self.nodes {
            let version = node.version();
            assert!(
                version >= node.newest_seen,
                "{own_ip} returned to an older version: {faults:?}"
            );
            node.newest_seen = version;
            let last_fault_at = self.last_fault_at.get(own_ip);
            let since = last_fault_at.map_or(node.started, |at| node.started.max(*at));
            if now.duration_since(since) <= max_lag {
                continue;
            }
            let elapsed = self.started.elapsed();
            assert!(
                version >= newest_due,
                "{own_ip} uses version {version} instead of {newest_due} after {elapsed:?}: {faults:?}"
            );
            let directory = node.directory.load();
            let evacuated = directory.members.evacuated();
            let is_due = (newest_due..=self.version)
                .any(|version| *evacuated == BTreeSet::from([evacuated_data_centre(version)]));
            assert!(
                newest_due == 0 || is_due,
                "{own_ip} evacuates {evacuated:?} instead of {newest_due} after {elapsed:?}: {faults:?}"
            );
        }
    }
}

/// Returns the data centre that is evacuated together with this version.
fn evacuated_data_centre(version: u64) -> DataCentre {
    DataCentre::new(&format!("evacuated-{version}"))
}

fn ip(number: usize) -> IpAddr {
    let [high, low] = u16::try_from(number).expect("a small fleet").to_be_bytes();
    [10, 0, high, low].into()
}

/// Distributes nodes over three data centres in turn.
fn data_centre(own_ip: IpAddr) -> DataCentre {
    let IpAddr::V4(own_ip) = own_ip else {
        panic!("expected an IPv4 address")
    };
    DataCentre::new(&format!("dc-{}", own_ip.octets()[3] % 3))
}

fn member(own_ip: &IpAddr) -> Member {
    Member {
        id: TargetId::new(&format!("i-{own_ip}")),
        service: ServiceName::new("s"),
        address: (*own_ip, 80).into(),
        data_centre: data_centre(*own_ip),
        slots: 4,
        draining: false,
        listing_order: Revision::new(0, 1),
        started_at_ms: None,
    }
}
