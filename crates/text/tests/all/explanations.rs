//! Tests that each resolved value is explained with its origin.

use hornbeamhitch_text::explain;
use insta::{assert_json_snapshot, assert_snapshot};

use crate::support::{BANGKOK, LJUBLJANA, checked};

#[test]
fn cashier_is_explained() {
    let text = checked(BANGKOK);
    assert_snapshot!(explain(&text, "cashier").expect("cashier is listed"));
}

#[test]
fn polica_is_explained() {
    let text = checked(LJUBLJANA);
    assert_snapshot!(explain(&text, "polica").expect("polica is listed"));
}

#[test]
fn an_explanation_serialises_with_fields() {
    let text = checked(BANGKOK);
    assert_json_snapshot!(explain(&text, "ledger").expect("ledger is listed"));
}

#[test]
fn calls_and_dependencies_come_from_defaults_unless_the_service_has_its_own() {
    let text = checked(
        r#"{
  "deployment": "d",
  "defaults": {
    "depends_on": ["audit"],
    "calls": [
      { "name": "any", "match": "* /x" },
      { "name": "read", "match": "GET /x", "deadline_ms": 10 },
    ],
    "queue_limit": 0,
  },
  "services": {
    "audit": { "depends_on": [], "calls": [], "queue_limit": 3 },
    "b": {},
  },
}"#,
    );
    let audit = explain(&text, "audit").expect("audit is listed");
    let inheriting = explain(&text, "b").expect("b is listed");
    assert_snapshot!(format!("{audit}\n{inheriting}"));
}

#[test]
fn a_call_of_one_method_goes_before_one_of_any_method() {
    // The text lists "* /x" before "GET /x". Both match a GET with a prefix of the
    // same length, and the first one wins. Without reordering, the second would
    // never be used.
    let text = checked(
        r#"{ "deployment": "d", "services": { "a": { "calls": [
            { "name": "any", "match": "* /x" },
            { "name": "read", "match": "GET /x" } ] } } }"#,
    );
    let service = text.service("a").expect("the text lists it");
    let found = service.call_for("GET", "/x/1").expect("both calls match");
    assert_eq!(found.name, "read");
    let found = service.call_for("POST", "/x/1").expect("one call matches");
    assert_eq!(found.name, "any");
    assert!(!found.idempotent, "any method counts as non-idempotent");
}

#[test]
fn an_unknown_service_is_refused_with_the_nearest_name() {
    let text = checked(BANGKOK);
    let unknown = explain(&text, "cahsier").expect_err("no such service");
    assert_eq!(
        unknown.to_string(),
        "the text has no service \"cahsier\"; did you mean \"cashier\"?"
    );
}
