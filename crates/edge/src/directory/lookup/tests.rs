//! Tests of routes while a configuration is being transferred.

use hornbeamhitch_dispatch::routing::routes::Destination;
use hornbeamhitch_dispatch::routing::routes::parts;

use super::*;
use crate::directory::AsOf;

const WAITS: Waits = Waits::new(Millis(2_000));
/// When the node first knew of the newer version.
const KNOWN_AT: Millis = Millis(10_000);
const ROUTES: usize = 40;
const DROPPED: usize = 7;

/// Returns routes to a service, without one of them in the newer version.
fn routes(version: u64, service: &str, skipped: Option<usize>) -> RouteSet {
    let mut routes = RouteSet::new(version, CallerLimits::default());
    for number in 0..ROUTES {
        if skipped == Some(number) {
            continue;
        }
        let route = Route {
            name: format!("route-{number}"),
            prefix: format!("/p-{number}/"),
            kind: CallKind::Idempotent,
            objective_ms: Millis(500),
            priority: 1,
            destinations: vec![Destination {
                service: ServiceName::new(service),
                weight: 1,
            }],
            timeout_ms: Millis(2_000),
            max_attempts: 2,
            allowed_regions: None,
        };
        routes.add("h", route);
    }
    routes
}

/// Returns a directory with version 1 in force, and a newer one without the dropped route of
/// which this share of parts has arrived.
fn directory(arrived: impl Fn(usize) -> bool) -> Directory {
    let newer = routes(2, "new", Some(DROPPED));
    let split = parts::split(&newer).expect("encodable routes");
    let store = PartStore::default();
    store.expect(&split.manifest);
    for (index, digest) in split.manifest.parts().iter().enumerate() {
        if arrived(index) {
            store.add(split.parts[digest].clone());
        }
    }
    let directory = Directory {
        routes: Some(Arc::new(routes(1, "old", None))),
        as_of: AsOf::default(),
        pending: Some(Arc::new(PendingRoutes {
            manifest: split.manifest,
            parts: Arc::new(store),
        })),
        ..Directory::default()
    };
    directory.as_of.note(KNOWN_AT);
    directory.routes_lag.note_behind(KNOWN_AT);
    directory
}

fn find(directory: &Directory, number: usize, lag_ms: Millis) -> RouteLookup {
    let path = format!("/p-{number}/x");
    directory.find("h", &path, &WAITS, KNOWN_AT + lag_ms)
}

fn service_of(found: &RouteLookup) -> Option<&str> {
    let RouteLookup::Found { route, .. } = found else {
        return None;
    };
    Some(route.destinations[0].service.as_str())
}

/// Guards against refusals while a newer configuration is still on time.
#[test]
fn routes_in_force_are_used_while_a_transfer_is_on_time() {
    let directory = directory(|_| false);
    for number in 0..ROUTES {
        let found = find(&directory, number, Millis(900));
        assert_eq!(service_of(&found), Some("old"), "route {number}");
    }
}

/// Guards against routes that the operator has replaced or dropped, on a node whose transfer
/// takes longer than changes may.
#[test]
fn no_replaced_route_is_used_when_a_transfer_is_overdue() {
    let directory = directory(|index| index % 2 == 0);
    let (mut new, mut arriving) = (0, 0);
    for number in 0..ROUTES {
        match find(&directory, number, Millis(1_000)) {
            found @ RouteLookup::Found { .. } => {
                assert_eq!(service_of(&found), Some("new"), "route {number}");
                assert_ne!(number, DROPPED);
                new += 1;
            }
            RouteLookup::Arriving { .. } => arriving += 1,
            other => assert_eq!(number, DROPPED, "{other:?}"),
        }
    }
    assert!(new > 0 && arriving > 0, "{new} new, {arriving} arriving");
}

/// Guards against a route that was dropped by a version of which all parts have arrived.
#[test]
fn a_dropped_route_is_gone_when_a_transfer_is_overdue() {
    let directory = directory(|_| true);
    let dropped = find(&directory, DROPPED, Millis(1_000));
    assert!(matches!(dropped, RouteLookup::Outdated), "{dropped:?}");
    let kept = find(&directory, DROPPED + 1, Millis(1_000));
    assert_eq!(service_of(&kept), Some("new"));
}

/// Guards against a newer version that starts the time limit of an older one again, and against
/// a limit that goes on when that version is in force.
#[tokio::test(start_paused = true)]
async fn the_lag_counts_from_the_oldest_version_that_is_not_in_force() {
    const PAUSE: std::time::Duration = std::time::Duration::from_millis(300);
    let shared = SharedDirectory::default();
    let clock = ProcessClock::start();
    let mut writer = crate::directory::DirectoryWriter::new(Arc::clone(&shared), clock);
    let lag_ms = || shared.load().routes_lag.lag_ms(clock.now());
    writer.set_routes(routes(1, "old", None));
    writer.note_newest_routes(Some(1));
    tokio::time::sleep(PAUSE).await;
    assert_eq!(lag_ms(), Millis::ZERO);
    writer.note_newest_routes(Some(2));
    tokio::time::sleep(PAUSE).await;
    writer.note_newest_routes(Some(3));
    tokio::time::sleep(PAUSE).await;
    assert_eq!(lag_ms(), Millis(600));
    writer.set_routes(routes(2, "new", None));
    writer.note_newest_routes(Some(3));
    assert_eq!(lag_ms(), Millis(300));
    writer.set_routes(routes(3, "new", None));
    writer.note_newest_routes(Some(3));
    assert_eq!(lag_ms(), Millis::ZERO);
}

/// Guards against a request that is routed by an older version than one before it: the version
/// before a pending one arrives late, when requests are already routed by the pending one.
#[tokio::test(start_paused = true)]
async fn a_late_version_does_not_replace_a_pending_one_that_is_in_use() {
    let shared = SharedDirectory::default();
    let clock = ProcessClock::start();
    let mut writer = crate::directory::DirectoryWriter::new(Arc::clone(&shared), clock);
    writer.set_routes(routes(1, "oldest", None));
    writer.note_newest_routes(Some(1));
    writer.note_newest_routes(Some(2));
    tokio::time::sleep(2 * WAITS.routes_max_lag_ms().to_duration()).await;
    let newest = routes(3, "new", None);
    let store = PartStore::default();
    let added = store.add_routes(&newest).expect("encodable routes");
    writer.note_newest_routes(Some(3));
    writer.set_pending(PendingRoutes {
        manifest: added.manifest,
        parts: Arc::new(store),
    });
    let service = || {
        let found = shared.load().find("h", "/p-1/x", &WAITS, clock.now());
        service_of(&found).map(str::to_owned)
    };
    assert_eq!(service().as_deref(), Some("new"));
    writer.set_routes(routes(2, "old", None));
    writer.note_newest_routes(Some(3));
    assert_eq!(service().as_deref(), Some("new"));
    writer.set_routes(newest);
    writer.note_newest_routes(Some(3));
    assert_eq!(service().as_deref(), Some("new"));
}
