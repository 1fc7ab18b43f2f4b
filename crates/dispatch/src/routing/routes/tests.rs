//! Tests of finding routes.

use super::*;

pub(crate) fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    let mut destinations = Vec::new();
    for (service, weight) in services {
        destinations.push(Destination {
            service: ServiceName::new(service),
            weight: *weight,
        });
    }
    Route {
        name: name.to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Idempotent,
        objective_ms: Millis(300),
        priority: 1,
        destinations,
        timeout_ms: Millis(800),
        max_attempts: 2,
        allowed_regions: None,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut routes = RouteSet::new(1, CallerLimits::default());
    routes.add("a.example", route("all", "/", &[("one", 1)]));
    routes.add("a.example", route("deep", "/x/y/", &[("two", 1)]));
    routes.add("a.example", route("mid", "/x/", &[("three", 1)]));
    routes.add("b.example", route("other", "/x/", &[("four", 1)]));
    let name = |host: &str, path: &str| routes.find(host, path).map(|route| route.name.as_str());
    assert_eq!(name("a.example", "/x/y/z"), Some("deep"));
    assert_eq!(name("a.example", "/x/y"), Some("mid"));
    assert_eq!(name("a.example", "/x"), Some("all"));
    assert_eq!(name("A.Example:8080", "/x/1"), Some("mid"));
    assert_eq!(name("b.example", "/y/"), None);
    assert_eq!(name("c.example", "/x/"), None);
}
