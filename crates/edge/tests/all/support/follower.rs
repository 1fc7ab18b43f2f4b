//! Nodes that follow a source, each with its own directory and links.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hornbeamhitch_dispatch::gate::warm_up::WarmUpTolerance;
use hornbeamhitch_dispatch::knowledge::readers::{self, Role};
use hornbeamhitch_dispatch::knowledge::waits::Waits;
use hornbeamhitch_dispatch::resources::limits::ResourceLimits;
use hornbeamhitch_edge::directory::{Directory, DirectoryWriter};
use hornbeamhitch_edge::feed::ChangeFeed;
use hornbeamhitch_edge::following::{self, FollowSettings};
use hornbeamhitch_edge::gate::GateParts;
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_edge::resources::Resources;
use hornbeamhitch_edge::source::Fact;
use hornbeamhitch_edge::suspicion::Suspicion;
use hornbeamhitch_edge::target::TargetClient;
use hornbeamhitch_node::metrics::Metrics;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use super::source::{Published, TestSource};
use super::{ACCOUNT_BYTES, TestDialect, bind_same_port, link_server, member};

/// Data centre of the tests' members.
const DATA_CENTRE: &str = "here";
/// Time within which changes must be in force.
const IN_FORCE_MS: Millis = Millis(1_000);

/// A node on a thread of its own.
pub struct Follower {
    pub ip: IpAddr,
    pub source: TestSource,
    pub directory: SharedDirectory,
    runtime: Handle,
    /// Dropping it ends the thread.
    _shutdown: oneshot::Sender<()>,
}

/// Nodes of one data centre that follow the same source.
pub struct Followers {
    pub published: Published,
    pub nodes: Vec<Follower>,
}

/// Starts nodes, and waits until each knows the complete state and has its role.
pub async fn followers(count: usize) -> Followers {
    let (followers, listed) = start_unlisted(count, IN_FORCE_MS).await;
    followers.published.put_all(listed);
    followers.until_settled().await;
    followers
}

/// Starts nodes whose targets are not listed yet, and returns the entries to be listed.
pub async fn start_unlisted(count: usize, in_force_ms: Millis) -> (Followers, Vec<Fact>) {
    let published = Published::new();
    published.put_version(1);
    let (port, listeners) = bind_same_port(count).await;
    let mut nodes = Vec::new();
    let mut listed = Vec::new();
    for (number, (ip, listener)) in listeners.into_iter().enumerate() {
        let entry = member(number, "s", SocketAddr::new(ip, port));
        listed.push(Fact::Listed(entry));
        nodes.push(Follower::start(&published, ip, port, listener, in_force_ms));
    }
    (Followers { published, nodes }, listed)
}

impl Followers {
    /// Waits until followers have stopped reading the source, so that a change costs them
    /// no call.
    async fn until_settled(&self) {
        let mut version = 1;
        loop {
            let before: Vec<u64> = self.nodes.iter().map(|node| node.source.calls()).collect();
            version += 1;
            self.published.put_version(version);
            self.until_version(version).await;
            tokio::time::sleep(IN_FORCE_MS.to_duration()).await;
            let mut before = before.into_iter();
            let settled = self.nodes.iter().all(|node| {
                let before = before.next().expect("as many as nodes");
                node.is_reader() || node.source.calls() == before
            });
            if settled {
                return;
            }
        }
    }

    /// Waits until a version is in force on all nodes.
    pub async fn until_version(&self, version: u64) {
        for node in &self.nodes {
            node.until_version(version).await;
        }
    }

    /// Removes the entry of a node's VM and those of `others` further nodes that are not
    /// readers, as if they had expired. Returns the removed targets.
    pub fn expire_entries(&self, node: &Follower, others: usize) -> Vec<TargetId> {
        let mut expiring = vec![node.target_id()];
        let rest = self
            .nodes
            .iter()
            .filter(|other| other.ip != node.ip && !other.is_reader());
        expiring.extend(rest.skip(1).take(others).map(Follower::target_id));
        for id in &expiring {
            self.published.put(Fact::Removed(id.clone()));
        }
        expiring
    }

    /// The version in force on the first node.
    pub fn version(&self) -> u64 {
        self.nodes[0].version()
    }

    pub fn calls(&self) -> u64 {
        self.nodes.iter().map(|node| node.source.calls()).sum()
    }

    pub fn readers(&self) -> impl Iterator<Item = &Follower> {
        self.nodes.iter().filter(|node| node.is_reader())
    }
}

impl Follower {
    fn start(
        published: &Published,
        ip: IpAddr,
        port: u16,
        listener: TcpListener,
        in_force_ms: Millis,
    ) -> Self {
        let clock = ProcessClock::start();
        let source = published.source();
        let directory: SharedDirectory = Arc::new(ArcSwap::from_pointee(Directory::default()));
        let feed = Arc::new(ChangeFeed::new(clock, Waits::new(in_force_ms)));
        let target_address = SocketAddr::new(ip, port);
        let service = ServiceName::new("s");
        let metrics = Metrics::new(&VmId::new("vm"), &service, &DataCentre::new(DATA_CENTRE));
        let dialect: Arc<dyn Dialect> = Arc::new(TestDialect);
        let parts = GateParts {
            service,
            target: TargetClient::new(
                target_address,
                Arc::clone(&dialect),
                clock,
                Resources::new(ResourceLimits::of_account(ACCOUNT_BYTES), clock),
            ),
            directory: Arc::clone(&directory),
            dialect,
            clock,
            listed_address: target_address,
            suspicion: Arc::new(Suspicion::new(clock)),
            metrics: Arc::new(metrics.expect("metrics")),
            source: Arc::new(source.clone()),
            waits: Waits::new(in_force_ms),
            warm_up_tolerance: WarmUpTolerance::default(),
        };
        let server = link_server(parts, Arc::clone(&feed));
        let settings = FollowSettings {
            own_ip: ip,
            data_centre: DataCentre::new(DATA_CENTRE),
            gate_port: port,
            in_force_ms,
        };
        let writer = DirectoryWriter::new(Arc::clone(&directory), clock);
        let following = following::follow(Arc::new(source.clone()), writer, feed, settings);
        let listener = listener.into_std().expect("an open socket");
        let (shutdown, stopped) = oneshot::channel();
        let runtime = on_own_thread(stopped);
        runtime.spawn(async move {
            let listener = TcpListener::from_std(listener).expect("an open socket");
            server.accept(listener).await;
        });
        runtime.spawn(following);
        Self {
            ip,
            source,
            directory,
            runtime,
            _shutdown: shutdown,
        }
    }

    /// Blocks the node's thread; its links stay open.
    pub fn freeze(&self) {
        self.runtime.spawn(async {
            loop {
                std::thread::park();
            }
        });
    }

    /// Whether the node is a reader.
    pub fn is_reader(&self) -> bool {
        self.role().is_reader()
    }

    /// Whether the node is a reserve, which reads when the readers cannot.
    pub fn is_reserve(&self) -> bool {
        self.role().is_reserve()
    }

    fn role(&self) -> Role {
        let directory = self.directory.load();
        readers::role(&directory.members, self.ip, &DataCentre::new(DATA_CENTRE))
    }

    fn target_id(&self) -> TargetId {
        let directory = self.directory.load();
        let mut members = directory.members.iter();
        let own = members.find(|member| member.vm_ip() == self.ip);
        own.expect("it is listed").id.clone()
    }

    pub fn version(&self) -> u64 {
        let directory = self.directory.load();
        directory.routes.as_ref().map_or(0, |known| known.version())
    }

    /// Waits for the next call of the node to the source.
    pub async fn until_next_call(&self) {
        let before = self.source.calls();
        self.until("a read", |_| self.source.calls() > before).await;
    }

    pub async fn until_version(&self, version: u64) {
        self.until("the version", |_| self.version() >= version)
            .await;
    }

    /// Waits until the node's directory fulfils a condition.
    pub async fn until(&self, what: &str, condition: impl Fn(&Directory) -> bool) {
        let waiting = async {
            while !condition(&self.directory.load()) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let waited = tokio::time::timeout(Duration::from_secs(30), waiting).await;
        assert!(waited.is_ok(), "{} timed out waiting for {what}", self.ip);
    }
}

/// Starts a runtime that runs until the channel is closed.
fn on_own_thread(stopped: oneshot::Receiver<()>) -> Handle {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let handle = runtime.handle().clone();
    std::thread::spawn(move || {
        // The sender is dropped without sending.
        let _ = runtime.block_on(stopped);
    });
    handle
}
