//! A small fleet in one process.

pub mod caller;
pub mod entry_end;
pub mod follower;
pub mod gate_end;
pub mod log_lines;
pub mod source;
pub mod target;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};

use arc_swap::ArcSwap;
use hornbeamhitch_dispatch::gate::warm_up::{WarmUp, WarmUpTolerance};
use hornbeamhitch_dispatch::knowledge::waits::Waits;
use hornbeamhitch_dispatch::overload::OverloadParts;
use hornbeamhitch_dispatch::overload::retry_budget::RetryLimit;
use hornbeamhitch_dispatch::resources::limits::ResourceLimits;
use hornbeamhitch_dispatch::routing::regions::Regions;
use hornbeamhitch_dispatch::routing::routes::Destination;
use hornbeamhitch_edge::callers::{CallerServer, DrainPhase};
use hornbeamhitch_edge::dialect::TargetLoad;
use hornbeamhitch_edge::directory::{Directory, DirectoryWriter};
use hornbeamhitch_edge::entry::{Entry, EntryParts};
use hornbeamhitch_edge::feed::ChangeFeed;
use hornbeamhitch_edge::following::{FollowSettings, follow};
use hornbeamhitch_edge::gate::{Gate, GateParts};
use hornbeamhitch_edge::link::LinkServer;
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_edge::resources::Resources;
use hornbeamhitch_edge::source::Fact;
use hornbeamhitch_edge::suspicion::Suspicion;
use hornbeamhitch_edge::target::TargetClient;
use hornbeamhitch_node::metrics::Metrics;
use tokio::net::TcpListener;
use tokio::sync::watch;

use source::{Published, TestSource};
use target::FakeTarget;

/// Header names that only the tests use, as the product defines none itself.
#[derive(Debug)]
pub struct TestDialect;

pub const REQUEST_ID: &str = "T-Id";
pub const DEADLINE_MS: &str = "T-Left";
pub const DIGEST: &str = "T-Digest";
pub const EXPECTED_TARGET: &str = "T-Life";
pub const LOAD: &str = "T-Load";
pub const NOT_RUN: &str = "T-Not-Run";
pub const CALLER_SERVICE: &str = "T-From";
pub const WARM_UP_LEFT_MS: &str = "T-Cold";
pub const MAX_REQUESTS_PER_S: &str = "T-Limit";
pub const LEAVING: &str = "T-Leaving";

impl Dialect for TestDialect {
    fn names(&self) -> &HeaderNames {
        const NAMES: HeaderNames = HeaderNames {
            request_id: REQUEST_ID,
            deadline_ms: DEADLINE_MS,
            digest: Some(DIGEST),
            expected_target: EXPECTED_TARGET,
            load: LOAD,
            not_run: NOT_RUN,
            caller_service: CALLER_SERVICE,
            client_account: None,
            warm_up_left_ms: &[WARM_UP_LEFT_MS],
            max_requests_per_s: &[MAX_REQUESTS_PER_S],
            leaving: &[LEAVING],
        };
        &NAMES
    }

    /// Reads only the slowness.
    fn load(&self, value: &str) -> Option<TargetLoad> {
        Some(TargetLoad {
            running: 0,
            waiting: 0,
            slots: 4,
            slowness_percent: Some(value.parse().ok()?),
        })
    }
}

/// Time within which changes must be in force. It is longer than any test waits.
pub const IN_FORCE_MS: Millis = Millis(100_000);
/// Memory that a node holds for its peers, in bytes.
pub const ACCOUNT_BYTES: u64 = 16 * 1024 * 1024;

/// A VM with its target, gate and entry.
pub struct Vm {
    pub target: FakeTarget,
    pub metrics: Arc<Metrics>,
    pub entry: Arc<Entry>,
    pub gate: Arc<Gate>,
    pub callers: SocketAddr,
    pub drain_phase: watch::Sender<DrainPhase>,
}

/// VMs that share a directory.
pub struct Fleet {
    pub vms: Vec<Vm>,
    pub directory: SharedDirectory,
    pub source: TestSource,
    pub gate_port: u16,
}

/// Starts a VM for each service. Callers' routes lead to the first service.
pub async fn fleet(services: &[&str]) -> Fleet {
    fleet_without(services, OverloadParts::NONE).await
}

/// Starts a fleet in which these parts of overload control are switched off.
pub async fn fleet_without(services: &[&str], overload_off: OverloadParts) -> Fleet {
    let directory: SharedDirectory = Arc::new(ArcSwap::from_pointee(Directory::default()));
    // As confirmed by a source.
    directory.load().as_of.note(Millis(1));
    let (gate_port, mut listeners) = bind_same_port(services.len()).await;
    // Only gates read this source, as tests of fleets set the directory of all nodes.
    let published = Published::new();
    let source = published.source();
    let mut vms = Vec::new();
    let mut members = Vec::new();
    for (number, service) in services.iter().enumerate() {
        let (ip, listener) = listeners.remove(0);
        let target = FakeTarget::start(ip, &format!("life-{number}")).await;
        let member = member(number, service, target.address);
        published.put(Fact::Listed(member.clone()));
        members.push(member);
        let parts = VmParts {
            service,
            target,
            links: listener,
            gate_port,
            overload_off,
        };
        vms.push(parts.start(&directory, &source).await);
    }
    set_directory(&directory, services[0], members);
    Fleet {
        vms,
        directory,
        source,
        gate_port,
    }
}

pub fn member(number: usize, service: &str, address: SocketAddr) -> Member {
    Member {
        id: TargetId::new(&format!("life-{number}")),
        service: ServiceName::new(service),
        address,
        data_centre: DataCentre::new("here"),
        slots: 4,
        draining: false,
        listing_order: Revision::new(0, 1),
        started_at_ms: None,
    }
}

/// Sets a directory whose routes `/read/`, `/pay/` and `/short/` of the host `h` lead to
/// the service.
pub fn set_directory(directory: &SharedDirectory, service: &str, members: Vec<Member>) {
    let mut tracker = hornbeamhitch_dispatch::knowledge::members::MemberTracker::default();
    for member in members {
        tracker.upsert(member);
    }
    let mut routes = RouteSet::new(1, CallerLimits::default());
    routes.add(
        "h",
        route("read", "/read/", CallKind::Idempotent, service, 2_000),
    );
    routes.add(
        "h",
        route("pay", "/pay/", CallKind::NonIdempotent, service, 2_000),
    );
    routes.add(
        "h",
        route("short", "/short/", CallKind::Idempotent, service, 300),
    );
    routes.set_health_path(ServiceName::new(service), "/health");
    directory.store(Arc::new(Directory {
        routes: Some(Arc::new(routes)),
        members: Arc::new(tracker.snapshot()),
        ..Directory::clone(&directory.load())
    }));
}

/// Sets which data centres are evacuated.
pub fn set_evacuated(directory: &SharedDirectory, data_centres: &[&str]) {
    let known = directory.load_full();
    let mut tracker = hornbeamhitch_dispatch::knowledge::members::MemberTracker::default();
    for member in known.members.iter() {
        tracker.upsert(Member::clone(member));
    }
    for data_centre in data_centres {
        tracker.set_evacuated(DataCentre::new(data_centre), true);
    }
    directory.store(Arc::new(Directory {
        members: Arc::new(tracker.snapshot()),
        ..Directory::clone(&known)
    }));
}

/// Sets the warm-up of a service's targets.
pub fn set_warm_up(directory: &SharedDirectory, service: &str, warm_up: WarmUp) {
    let known = directory.load_full();
    let mut routes = known.routes.as_deref().expect("routes").clone();
    routes.set_warm_up(ServiceName::new(service), warm_up);
    directory.store(Arc::new(Directory {
        routes: Some(Arc::new(routes)),
        ..Directory::clone(&known)
    }));
}

pub fn route(name: &str, prefix: &str, kind: CallKind, service: &str, timeout_ms: u64) -> Route {
    Route {
        name: name.to_owned(),
        prefix: prefix.to_owned(),
        kind,
        objective_ms: Millis(500),
        priority: 1,
        destinations: vec![Destination {
            service: ServiceName::new(service),
            weight: 1,
        }],
        timeout_ms: Millis(timeout_ms),
        max_attempts: 2,
        allowed_regions: None,
    }
}

/// Binds the same port on `count` loopback addresses, since gates listen on one port on
/// every VM.
pub async fn bind_same_port(count: usize) -> (u16, Vec<(IpAddr, TcpListener)>) {
    static NEXT_NET: AtomicU16 = AtomicU16::new(1);
    loop {
        let net = NEXT_NET.fetch_add(1, Ordering::Relaxed);
        let [high, low] = net.to_be_bytes();
        let ip = |number: usize| {
            let last = u8::try_from(number + 1).expect("a small fleet");
            IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, last))
        };
        let first = TcpListener::bind((ip(0), 0)).await.expect("a free port");
        let port = first.local_addr().expect("an address").port();
        let mut listeners = vec![(ip(0), first)];
        for number in 1..count {
            match TcpListener::bind((ip(number), port)).await {
                Ok(listener) => listeners.push((ip(number), listener)),
                Err(_) => break,
            }
        }
        if listeners.len() == count {
            return (port, listeners);
        }
    }
}

/// Creates the gate's end of links, with a random incarnation.
pub fn link_server(parts: GateParts, feed: Arc<ChangeFeed>) -> LinkServer {
    LinkServer {
        incarnation: Incarnation(rand::random()),
        suspicion: Arc::clone(&parts.suspicion),
        directory: Arc::clone(&parts.directory),
        gate: Arc::new(Gate::new(parts)),
        feed,
        facts_requests: Arc::default(),
    }
}

pub async fn start_vm(
    service: &str,
    target: FakeTarget,
    links: TcpListener,
    directory: &SharedDirectory,
    source: &TestSource,
    gate_port: u16,
) -> Vm {
    let parts = VmParts {
        service,
        target,
        links,
        gate_port,
        overload_off: OverloadParts::NONE,
    };
    parts.start(directory, source).await
}

/// What distinguishes the VMs of a fleet.
struct VmParts<'a> {
    service: &'a str,
    target: FakeTarget,
    links: TcpListener,
    gate_port: u16,
    overload_off: OverloadParts,
}

impl VmParts<'_> {
    async fn start(self, directory: &SharedDirectory, source: &TestSource) -> Vm {
        let Self {
            service,
            target,
            links,
            gate_port,
            overload_off,
        } = self;
        let clock = ProcessClock::start();
        let service = ServiceName::new(service);
        let dialect: Arc<dyn Dialect> = Arc::new(TestDialect);
        let data_centre = DataCentre::new("here");
        let metrics = Metrics::new(&VmId::new("vm"), &service, &data_centre).expect("metrics");
        let metrics = Arc::new(metrics);
        let suspicion = Arc::new(Suspicion::new(clock));
        let parts = GateParts {
            service: service.clone(),
            target: TargetClient::new(
                target.address,
                Arc::clone(&dialect),
                clock,
                Resources::new(ResourceLimits::of_account(ACCOUNT_BYTES), clock),
            ),
            directory: Arc::clone(directory),
            dialect: Arc::clone(&dialect),
            clock,
            listed_address: target.address,
            suspicion: Arc::clone(&suspicion),
            metrics: Arc::clone(&metrics),
            source: Arc::new(source.clone()),
            waits: Waits::new(IN_FORCE_MS),
            warm_up_tolerance: WarmUpTolerance::default(),
        };
        let feed = ChangeFeed::new(clock, Waits::new(IN_FORCE_MS));
        let server = link_server(parts, Arc::new(feed));
        let gate = Arc::clone(&server.gate);
        let incarnation = server.incarnation;
        let entry = Arc::new(Entry::new(EntryParts {
            service: service.clone(),
            data_centre,
            regions: Regions::default(),
            gate_port,
            listed_address: target.address,
            gate: Arc::clone(&gate),
            directory: Arc::clone(directory),
            dialect,
            waits: Waits::new(IN_FORCE_MS),
            clock,
            incarnation,
            metrics: Arc::clone(&metrics),
            suspicion,
            retry_limit: RetryLimit {
                ratio: 0.2,
                slack: 64.0,
                window_ms: Millis(10_000),
            },
            overload_off,
            seed: 1,
        }));
        tokio::spawn(server.accept(links));
        let listener = TcpListener::bind((target.address.ip(), 0))
            .await
            .expect("a free port");
        let callers = listener.local_addr().expect("an address");
        let (drain_phase, left) = watch::channel(DrainPhase::Serving);
        let server = CallerServer {
            entry: Arc::clone(&entry),
            drain_phase: left,
        };
        tokio::spawn(server.serve(listener));
        Vm {
            target,
            metrics,
            entry,
            gate,
            callers,
            drain_phase,
        }
    }
}

/// Starts a VM whose node follows the published state.
pub async fn start_following_vm(
    published: &Published,
    target: FakeTarget,
    links: TcpListener,
    gate_port: u16,
) -> (Vm, TestSource) {
    let directory: SharedDirectory = Arc::new(ArcSwap::from_pointee(Directory::default()));
    let source = published.source();
    let settings = FollowSettings {
        own_ip: target.address.ip(),
        data_centre: DataCentre::new("here"),
        gate_port,
        in_force_ms: IN_FORCE_MS,
    };
    let clock = ProcessClock::start();
    let writer = DirectoryWriter::new(Arc::clone(&directory), clock);
    let feed = Arc::new(ChangeFeed::new(clock, Waits::new(IN_FORCE_MS)));
    tokio::spawn(follow(Arc::new(source.clone()), writer, feed, settings));
    let vm = start_vm("s", target, links, &directory, &source, gate_port).await;
    (vm, source)
}
