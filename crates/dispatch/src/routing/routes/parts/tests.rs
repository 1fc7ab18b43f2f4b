//! Tests of configurations in parts.

use super::*;
use crate::routing::routes::Destination;

fn route(number: usize, timeout_ms: u64) -> Route {
    Route {
        name: format!("route-{number}"),
        prefix: format!("/prefix-{number}/"),
        kind: CallKind::Idempotent,
        objective_ms: Millis(500),
        priority: 1,
        destinations: vec![Destination {
            service: ServiceName::new("s"),
            weight: 1,
        }],
        timeout_ms: Millis(timeout_ms),
        max_attempts: 2,
        allowed_regions: None,
    }
}

/// Returns a configuration whose route 7 has this timeout.
fn routes(version: u64, count: usize, timeout_ms: u64) -> RouteSet {
    let mut routes = RouteSet::new(version, CallerLimits::default());
    routes.set_health_path(ServiceName::new("s"), "/health");
    for number in 0..count {
        let timeout_ms = if number == 7 { timeout_ms } else { 2_000 };
        routes.add(&format!("h-{}", number % 5), route(number, timeout_ms));
    }
    routes
}

#[test]
fn joined_parts_are_the_split_configuration() {
    for count in [0, 1, 9, 300, 5_000] {
        let written = routes(3, count, 2_000);
        let split = split(&written).expect("an encodable configuration");
        let joined = join(&split.manifest, &split.parts).expect("all parts");
        assert_eq!(joined, written, "{count} routes");
    }
}

/// Guards against a version that costs each node the whole configuration. The bytes of one
/// changed route, with the manifest, grow with the square root of the number of routes.
#[test]
fn a_changed_route_costs_a_small_share_of_a_large_configuration() {
    for (count, most_bytes) in [
        (250, 2_500),
        (1_000, 5_000),
        (4_000, 10_000),
        (16_000, 20_000),
    ] {
        let before = split(&routes(3, count, 2_000)).expect("an encodable configuration");
        let after = split(&routes(4, count, 900)).expect("an encodable configuration");
        let mut bytes = postcard::to_stdvec(&after.manifest)
            .expect("a manifest")
            .len();
        let mut changed = 0;
        for (digest, encoded) in &after.parts {
            if !before.parts.contains_key(digest) {
                changed += 1;
                bytes += encoded.len();
            }
        }
        assert_eq!(changed, 1, "{count} routes");
        assert!(bytes <= most_bytes, "{bytes} bytes of {count} routes");
    }
}

#[test]
fn bad_parts_form_no_configuration() {
    let split = split(&routes(3, 300, 2_000)).expect("an encodable configuration");
    let last = *split.manifest.parts().last().expect("parts");
    let mut lacking = split.parts.clone();
    lacking.remove(&last);
    assert!(matches!(
        join(&split.manifest, &lacking),
        Err(PartFault::Missing(digest)) if digest == last
    ));
    let mut malformed = split.parts.clone();
    malformed.insert(last, Bytes::from_static(&[9]));
    assert!(matches!(
        join(&split.manifest, &malformed),
        Err(PartFault::Malformed(_))
    ));
    let mut reversed = split.manifest.clone();
    reversed.parts.reverse();
    assert!(matches!(
        join(&reversed, &split.parts),
        Err(PartFault::Order)
    ));
    let mut empty = split.manifest;
    empty.parts.clear();
    assert!(matches!(
        join(&empty, &split.parts),
        Err(PartFault::Count(0))
    ));
}

/// Guards against a route that is found in the parts but not in the whole configuration, or the
/// other way round.
#[test]
fn all_parts_have_the_routes_of_the_whole_configuration() {
    let mut written = routes(3, 300, 2_000);
    for prefix in ["/", "/prefix-7/deeper/", "/prefix-8/a/b/"] {
        let deeper = Route {
            prefix: prefix.to_owned(),
            ..route(1_000, 700)
        };
        written.add("h-2", deeper);
    }
    let split = split(&written).expect("an encodable configuration");
    for host in ["h-0", "H-2:80", "h-2", "h-3", "unknown"] {
        for path in [
            "/",
            "/prefix-7",
            "/prefix-7/",
            "/prefix-7/deeper/x",
            "/prefix-7/deeper",
            "/prefix-8/a/b/c/d",
            "/prefix-12/x",
            "/none/x",
            "*",
        ] {
            let expected = match written.find(host, path) {
                Some(route) => PartLookup::Found(Arc::clone(route)),
                None => PartLookup::NoRoute,
            };
            let found = find(&split.manifest, &split.parts, host, path);
            assert_eq!(found, expected, "{host}{path}");
        }
    }
}

/// Guards against a route of a shorter prefix that is used while the part of a longer one is
/// missing.
#[test]
fn a_missing_part_that_may_have_the_route_decides_nothing() {
    let mut written = routes(3, 300, 2_000);
    let shorter = Route {
        prefix: "/".to_owned(),
        ..route(1_000, 700)
    };
    written.add("h-2", shorter);
    let split = split(&written).expect("an encodable configuration");
    let longer = bucket_of("h-2", "/prefix-7/", split.manifest.parts.len() - 1);
    let mut parts = split.parts;
    let missing = split.manifest.parts[1 + longer];
    parts.remove(&missing);
    let found = find(&split.manifest, &parts, "h-2", "/prefix-7/x");
    assert_eq!(found, PartLookup::Missing(missing));
}
