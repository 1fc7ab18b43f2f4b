//! How old that may be which a node acts on.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hornbeamhitch_dispatch::waits::Waits;
use hornbeamhitch_edge::directory::{Directory, DirectoryWriter};
use hornbeamhitch_edge::feed::ChangeFeed;
use hornbeamhitch_edge::following::{FollowSettings, follow};
use hornbeamhitch_edge::prelude::*;
use hornbeamhitch_edge::source::Fact;

use crate::support::caller::request;
use crate::support::source::{Mood, Published, TestSource};
use crate::support::target::FakeTarget;
use crate::support::{self, member, route, same_port, start_following_vm};

/// Within this a change must be in force.
const IN_FORCE_MS: Millis = Millis(2_000);
/// A gate looks its target's entry up in the source of a test within this.
const LOOK_UP_WITHIN: Duration = Duration::from_millis(500);

/// A node that reads for itself, on this runtime.
struct Alone {
    published: Published,
    source: TestSource,
    directory: SharedDirectory,
}

impl Alone {
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

/// Callers are answered 404 for a route that was confirmed 2.6 s ago. The platform had
/// taken a watch and fallen silent; it came back, and took a new configuration. The node
/// still waited for the answer to its watch, which nobody would send: no change and no
/// platform look alike.
#[tokio::test(start_paused = true)]
async fn a_watch_that_is_never_answered_hides_no_change() {
    let node = Alone::start();
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(node.version(), Some(1));
    for version in 2..50 {
        node.source.set_mood(Mood::Losing);
        // The outage ends at another point of the node's wait each time.
        tokio::time::sleep(Duration::from_millis(4_000 + version * 130)).await;
        node.source.set_mood(Mood::Calm);
        node.published.put_version(version);
        tokio::time::sleep(IN_FORCE_MS.to_duration()).await;
        assert_eq!(node.version(), Some(version));
    }
}

/// Work reaches a target 2.6 s after it has said that it leaves, through the gate beside
/// it. The gate asked the target's health before each start and was told so each time; it
/// waited to hear it from afar, where a large configuration was on the way. Here nothing
/// comes from afar at all.
#[tokio::test]
async fn a_gate_learns_from_its_own_target_that_it_leaves() {
    let (gate_port, mut listeners) = same_port(1).await;
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

    source.set_mood(Mood::LosingWatches);
    vm.target.set_leaving(true);
    published.put(Fact::Listed(Member {
        draining: true,
        ..entry
    }));
    let mut number = 1;
    let refused = async {
        while pay(number).await.status() == 200 {
            number += 1;
        }
    };
    let mut refused = std::pin::pin!(refused);
    // The target was asked just before it began to leave, and is asked again after this.
    let asked_again = Waits::new(support::IN_FORCE_MS).own_health_interval_ms();
    let learnt = asked_again.to_duration() + LOOK_UP_WITHIN;
    let is_refused = tokio::time::timeout(learnt, &mut refused).await.is_ok();
    let ran = vm.target.ran().len();
    if !is_refused {
        let at_last = tokio::time::timeout(Duration::from_secs(10), refused).await;
        assert!(at_last.is_ok(), "payments run in a leaving target");
    }
    assert_eq!(vm.target.ran().len(), ran);
}
