//! Tests that the staleness of the state that a node acts on stays bounded.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hornbeamhitch_dispatch::knowledge::waits::Waits;
use hornbeamhitch_edge::directory::{Directory, DirectoryWriter};
use hornbeamhitch_edge::feed::ChangeFeed;
use hornbeamhitch_edge::following::{FollowSettings, follow};
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_edge::source::Fact;

use crate::support::caller::request;
use crate::support::source::{Published, SourceMode, TestSource};
use crate::support::target::FakeTarget;
use crate::support::{self, bind_same_port, member, route, start_following_vm};

/// Time within which a change must be in force.
const IN_FORCE_MS: Millis = Millis(2_000);
/// Time within which a gate looks up its target's entry in the source of a test.
const LOOKUP_DEADLINE: Duration = Duration::from_millis(500);

/// A node without readers, on the runtime of the test.
struct StandaloneNode {
    published: Published,
    source: TestSource,
    directory: SharedDirectory,
}

impl StandaloneNode {
    fn start() -> Self {
        let published = Published::new();
        published.put_version(1);
        let source = published.source();
        let directory: SharedDirectory = Arc::new(ArcSwap::from_pointee(Directory::default()));
        let settings = FollowSettings {
            own_ip: [10, 0, 0, 1].into(),
            data_centre: DataCentre::new("here"),
            gate_port: 9,
            in_force_ms: IN_FORCE_MS,
        };
        let clock = ProcessClock::start();
        let writer = DirectoryWriter::new(Arc::clone(&directory), clock);
        let feed = Arc::new(ChangeFeed::new(clock, Waits::new(IN_FORCE_MS)));
        tokio::spawn(follow(Arc::new(source.clone()), writer, feed, settings));
        Self {
            published,
            source,
            directory,
        }
    }

    fn version(&self) -> Option<u64> {
        let directory = self.directory.load();
        directory.routes.as_ref().map(|routes| routes.version())
    }
}

/// Guards against callers that receive 404 for a route that was confirmed 2.6 s ago. The
/// platform had accepted a watch, fallen silent, and accepted a new configuration when it
/// was back. The node was still waiting for the lost watch, because a lost watch looks
/// like one without changes.
#[tokio::test(start_paused = true)]
async fn a_lost_watch_hides_no_change() {
    let node = StandaloneNode::start();
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(node.version(), Some(1));
    for version in 2..50 {
        node.source.set_mode(SourceMode::DroppingCalls);
        // The outage ends at a different point of the node's watch each time.
        tokio::time::sleep(Duration::from_millis(4_000 + version * 130)).await;
        node.source.set_mode(SourceMode::Normal);
        node.published.put_version(version);
        tokio::time::sleep(IN_FORCE_MS.to_duration()).await;
        assert_eq!(node.version(), Some(version));
    }
}

/// Guards against work that reaches a target through its own gate 2.6 s after the target
/// announced that it drains. The gate checked the target's health before each call and
/// learnt of it each time, but waited for the entry's change, which was delayed behind a
/// large configuration. In this test the change never arrives at all.
#[tokio::test]
async fn a_gate_learns_from_its_own_target_that_it_is_draining() {
    let (gate_port, mut listeners) = bind_same_port(1).await;
    let (ip, links) = listeners.remove(0);
    let target = FakeTarget::start(ip, "life-0").await;
    let entry = member(0, "s", target.address);
    let published = Published::new();
    let mut routes = RouteSet::new(1, CallerLimits::default());
    routes.add(
        "h",
        route("pay", "/pay/", CallKind::NonIdempotent, "s", 2_000),
    );
    routes.set_health_path(ServiceName::new("s"), "/health");
    published.put_all(vec![Fact::Routes(routes), Fact::Listed(entry.clone())]);
    let (vm, source) = start_following_vm(&published, target, links, gate_port).await;
    let pay =
        async |number: usize| request(vm.callers, "POST", "/pay/", &format!("id-{number}")).await;
    while pay(0).await.status() != 200 {}

    source.set_mode(SourceMode::DroppingWatches);
    vm.target.set_leaving(true);
    published.put(Fact::Listed(Member {
        draining: true,
        ..entry
    }));
    let mut number = 1;
    let rejected = async {
        while pay(number).await.status() == 200 {
            number += 1;
        }
    };
    let mut rejected = std::pin::pin!(rejected);
    // The target's health was checked just before it began to drain, and is checked again
    // after this interval.
    let health_interval = Waits::new(support::IN_FORCE_MS).own_health_interval_ms();
    let detection_limit = health_interval.to_duration() + LOOKUP_DEADLINE;
    let is_rejected = tokio::time::timeout(detection_limit, &mut rejected)
        .await
        .is_ok();
    let ran = vm.target.ran().len();
    if !is_rejected {
        let eventually = tokio::time::timeout(Duration::from_secs(10), rejected).await;
        assert!(
            eventually.is_ok(),
            "payments still run in a draining target"
        );
    }
    assert_eq!(vm.target.ran().len(), ran);
}
