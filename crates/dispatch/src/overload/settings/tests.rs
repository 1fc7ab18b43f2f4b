use super::*;
use crate::routing::routes::tests::route;

/// Guards against parts that come into force without a configuration that calls for them.
#[test]
fn routes_of_one_priority_call_for_the_confirmation_of_attempts_alone() {
    let mut routes = RouteSet::new(1, CallerLimits::default());
    routes.add("a.example", route("one", "/a/", &[("books", 1)]));
    routes.add("a.example", route("two", "/b/", &[("books", 1)]));
    let parts = OverloadParts::called_for_by(&routes);
    assert_eq!(parts, OverloadParts::NONE.with(OverloadPart::SilenceBound));
    let mut urgent = route("three", "/c/", &[("books", 1)]);
    urgent.priority += 1;
    routes.add("b.example", urgent);
    assert_eq!(OverloadParts::called_for_by(&routes), OverloadParts::ALL);
}

/// Guards against a misspelt part that stays on without notice.
#[test]
fn unknown_names_are_rejected_with_the_allowed_ones() {
    let parts = OverloadParts::parse("silence-bound, caller-shares,").unwrap();
    assert!(parts.has(OverloadPart::CallerShares) && !parts.has(OverloadPart::AnswerOrder));
    let rest = OverloadParts::ALL.without(parts);
    assert!(!rest.has(OverloadPart::SilenceBound) && rest.has(OverloadPart::AnswerOrder));
    let error = OverloadParts::parse("silence").unwrap_err().to_string();
    assert!(
        error.contains("`silence`") && error.contains("silence-bound"),
        "{error}"
    );
}

/// Guards against parts that stay in force although the settings or the configuration have
/// changed, and against a visit of all routes for each call.
#[test]
fn parts_follow_the_settings_and_the_configuration() {
    let part = OverloadPart::CallerShares;
    let mut routes = RouteSet::new(1, CallerLimits::default());
    routes.add("a.example", route("one", "/a/", &[("books", 1)]));
    let mut parts = PartsInForce::new(OverloadParts::NONE);
    assert!(!parts.has(part) && parts.has(OverloadPart::SilenceBound));
    assert!(parts.adopt(&routes) && !parts.has(part));
    let mut competing = RouteSet::new(2, CallerLimits::default());
    competing.add("a.example", route("one", "/a/", &[("books", 1)]));
    let mut urgent = route("two", "/b/", &[("books", 1)]);
    urgent.priority = 0;
    competing.add("a.example", urgent);
    assert!(parts.adopt(&competing) && parts.has(part));
    assert!(!parts.adopt(&competing));
    parts.switch_off(OverloadParts::NONE.with(part));
    assert!(!parts.has(part) && parts.has(OverloadPart::ServiceLevel));
    parts.switch_off(OverloadParts::NONE);
    assert!(parts.has(part));
    assert!(parts.adopt(&routes) && !parts.has(part));
}
