//! Tests of the descriptions of edits and their consequences.

use hornbeamhitch_text::change::{Change, grouped};
use hornbeamhitch_text::{Setting, diff};
use insta::{assert_json_snapshot, assert_snapshot};

use crate::support::{BANGKOK, LJUBLJANA, checked, edited};

fn describe_diff(old: &str, new: &str) -> String {
    let mut lines = String::new();
    for change in diff(&checked(old), &checked(new)) {
        lines.push_str(&format!("{change}\n"));
    }
    lines
}

#[test]
fn a_text_does_not_differ_from_itself() {
    assert_eq!(describe_diff(BANGKOK, BANGKOK), "");
}

#[test]
fn comments_order_and_explicit_defaults_are_no_change() {
    let old = r#"{ "deployment": "d", "services": { "a": {}, "b": {} } }"#;
    let new = r#"{
      // The same, longer.
      "services": { "b": { "slots": 8 }, "a": { "queue_limit": 8, "depends_on": [] } },
      "deployment": "d", "tenants": [], "distances": [],
    }"#;
    assert_eq!(describe_diff(old, new), "");
}

#[test]
fn one_number_of_one_service() {
    let new = edited(
        BANGKOK,
        "\"deadline_ms\": 1500,",
        "\"slots\": 10, \"deadline_ms\": 1500,",
    );
    assert_snapshot!(describe_diff(BANGKOK, &new));
}

#[test]
fn one_number_of_the_defaults_reaches_every_service() {
    let new = edited(
        BANGKOK,
        "\"probes_per_s\": 0.2,",
        "\"probes_per_s\": 0, \"hedge_share\": 0.07,",
    );
    assert_snapshot!(describe_diff(BANGKOK, &new));
}

#[test]
fn a_removed_service_names_those_that_depended_on_it() {
    let ledger_gone = r#"{
  "deployment": "bangkok",
  "services": { "cashier": {}, "darkroom": {} }
}"#;
    let ledger_there = r#"{
  "deployment": "bangkok",
  "services": {
    "cashier": { "depends_on": ["ledger"] },
    "darkroom": { "depends_on": ["ledger"] },
    "ledger": {}
  }
}"#;
    assert_snapshot!("removed", describe_diff(ledger_there, ledger_gone));
    assert_snapshot!("added", describe_diff(ledger_gone, ledger_there));
}

#[test]
fn a_payment_that_becomes_idempotent_is_reported() {
    let new = edited(
        BANGKOK,
        r#""match": "POST /charge", "idempotent": false"#,
        r#""match": "POST /charge", "idempotent": true"#,
    );
    assert_snapshot!(describe_diff(BANGKOK, &new));
}

#[test]
fn a_payment_that_falls_to_another_entry_is_reported() {
    // An operator deletes the entry of a payment, whose path is also matched by a
    // broader entry intended for searches. No remaining entry has changed, but the
    // payment would now be retried.
    let old = r#"{ "deployment": "d", "services": { "a": { "calls": [
      { "name": "any", "match": "POST /", "idempotent": true },
      { "name": "charge", "match": "POST /charge", "idempotent": false }
    ] } } }"#;
    let new = r#"{ "deployment": "d", "services": { "a": { "calls": [
      { "name": "any", "match": "POST /", "idempotent": true }
    ] } } }"#;
    assert_snapshot!(describe_diff(old, new));
}

#[test]
fn changed_added_and_removed_calls_are_reported() {
    let old = r#"{ "deployment": "d", "services": { "a": { "calls": [
      { "name": "charge", "match": "POST /charge", "class": "payment" },
      { "name": "search", "match": "POST /search", "idempotent": true },
      { "name": "gone", "match": "GET /gone" }
    ] } } }"#;
    let new = r#"{ "deployment": "d", "services": { "a": { "calls": [
      { "name": "charge", "match": "* /pay", "class": "background", "deadline_ms": 500 },
      { "name": "find", "match": "POST /find", "idempotent": true },
      { "name": "refund", "match": "POST /refund" }
    ] } } }"#;
    assert_snapshot!(describe_diff(old, new));
}

#[test]
fn deployment_data_centres_tenants_and_distances() {
    let old = r#"{
      "deployment": "d", "data_centres": ["a", "b", "c"], "tenants": ["x", "y"],
      "distances": [{ "from": "a", "to": "b", "one_way_ms": 4 }],
      "services": { "s": {} }
    }"#;
    let new = r#"{
      "deployment": "e", "data_centres": ["a", "b", "d"], "tenants": ["y", "z"],
      "default_distance_ms": 2,
      "distances": [
        { "from": "b", "to": "a", "one_way_ms": 5 },
        { "from": "a", "to": "d", "one_way_ms": 2 }
      ],
      "services": { "s": {} }
    }"#;
    assert_snapshot!(describe_diff(old, new));
}

#[test]
fn every_number_has_a_described_consequence() {
    let old = r#"{ "deployment": "d", "services": { "s": {} } }"#;
    let new = r#"{ "deployment": "d", "services": { "s": {
      "slots": 12, "connections": 100, "queue_limit": 20, "deadline_ms": 1000,
      "ticket_ttl_ms": 60000, "max_records": 5000, "max_stored_answer_bytes": 1024,
      "buffer_bytes": 1024, "max_request_bytes": 1048576, "cold_ramp_ms": 5000,
      "budgets": {
        "probes_per_s": 2, "probe_burst": 5, "retry_share": 0.2, "hedge_share": 0.05,
        "hedge_quantile": 0.99
      },
      "ejection": {
        "consecutive_failures": 3, "max_ejected_share": 0.3, "base_ejection_ms": 500,
        "max_ejection_ms": 10000
      }
    } } }"#;
    assert_snapshot!(describe_diff(old, new));
}

#[test]
fn zero_values_that_disable_a_feature_are_reported() {
    let old = r#"{ "deployment": "d", "services": { "s": {} } }"#;
    let new = r#"{ "deployment": "d", "services": { "s": {
      "queue_limit": 0, "cold_ramp_ms": 0,
      "budgets": { "probes_per_s": 0, "retry_share": 0, "hedge_share": 0 },
      "ejection": { "max_ejected_share": 0 }
    } } }"#;
    assert_snapshot!(describe_diff(old, new));
}

#[test]
fn equal_changes_of_many_services_are_reported_once() {
    let mut services = String::new();
    for number in 10..30 {
        services.push_str(&format!("\"s{number}\": {{}},"));
    }
    let text = |slots: u32| {
        checked(&format!(
            r#"{{ "deployment": "d", "defaults": {{ "slots": {slots}, "queue_limit": 0 }},
                 "services": {{ {services} "z": {{ "slots": 3 }} }} }}"#
        ))
    };
    let changes = diff(&text(12), &text(10));
    assert_eq!(changes.len(), 20);
    let groups = grouped(&changes);
    assert_eq!(groups.len(), 1);
    assert_snapshot!(groups[0].to_string());
}

#[test]
fn changes_are_typed() {
    let old = checked(BANGKOK);
    let new = checked(&edited(BANGKOK, "\"slots\": 12", "\"slots\": 10"));
    let changes = diff(&old, &new);
    let mut slots = 0;
    let mut queue_limits = 0;
    for change in &changes {
        let Change::Setting {
            setting, old, new, ..
        } = change
        else {
            panic!("unexpected change: {change}");
        };
        assert_eq!((*old, *new), (12.0, 10.0));
        match setting {
            Setting::Slots => slots += 1,
            Setting::QueueLimit => queue_limits += 1,
            other => panic!("unexpected setting: {other}"),
        }
    }
    assert_eq!((slots, queue_limits), (4, 4), "the queue follows the slots");
    assert_json_snapshot!(changes[0]);
}

#[test]
fn one_deployment_becomes_another() {
    let changes = diff(&checked(BANGKOK), &checked(LJUBLJANA));
    let removed = changes
        .iter()
        .filter(|one| matches!(one, Change::ServiceRemoved { .. }));
    assert_eq!(removed.count(), 4);
    let added = changes
        .iter()
        .filter(|one| matches!(one, Change::ServiceAdded { .. }));
    assert_eq!(added.count(), 4);
}
