//! Tests that each kind of fault is reported with its line, column, path, reason
//! and the allowed values.

use hornbeamhitch_text::{FaultKind, check, check_bytes};
use insta::assert_snapshot;

use crate::support::faults;

#[test]
fn every_fault_of_a_text_is_reported_in_one_check() {
    let text = r#"{
  "deploymnet": "bangkok",
  "data_centres": ["bkk-1", "bkk-1", "bkk 2", 3],
  "default_distance_ms": -1,
  "distances": [
    { "from": "bkk-1", "to": "bkk-9", "one_way_ms": 1 },
    { "from": "bkk-1" },
  ],
  "tenants": ["passports", "other", "passports"],
  "defaults": { "slots": 0, "deadline_ms": "2s" },
  "services": {
    "Cashier": {},
    "ledger": {
      "slots": 12,
      "slot": 12,
      "slots": 10,
      "depends_on": ["casheer", "layouts"],
      "budgets": { "retry_share": 1.5, "hedge_quantile": 0.2, "probes_per_sec": 1 },
      "ejection": { "base_ejection_ms": 5000, "max_ejection_ms": 1000 },
      "calls": [
        { "name": "record", "match": "POST /records", "idempotent": "no" },
        { "name": "record", "match": "POST /others", "class": "paymnet" },
        { "name": "again", "match": "POST /records" },
        { "name": "bad", "match": "post records" },
        { "match": "GET /" },
        "GET /"
      ],
    },
    "layout": { "queue_limit": 1.5, "connections": null },
  },
}
"#;
    assert_snapshot!(faults(text));
}

#[test]
fn a_circular_dependency_names_its_services() {
    let text = r#"{
  "deployment": "d",
  "services": {
    "a": { "depends_on": ["b"] },
    "b": { "depends_on": ["c", "d"] },
    "c": { "depends_on": ["a"] },
    "d": { "depends_on": ["d"] }
  }
}"#;
    assert_snapshot!(faults(text));
}

#[test]
fn a_long_cycle_is_abbreviated() {
    let mut services = String::new();
    for number in 0..40 {
        let next = (number + 1) % 40;
        services.push_str(&format!(r#""s{number}": {{ "depends_on": ["s{next}"] }},"#));
    }
    let text = format!(r#"{{ "deployment": "d", "services": {{ {services} }} }}"#);
    assert_snapshot!(faults(&text));
}

#[test]
fn dependencies_of_defaults_are_checked_once() {
    let text = r#"{
  "deployment": "d",
  "defaults": { "depends_on": ["audit", "nowhere"] },
  "services": { "audit": { "depends_on": [] }, "b": {}, "c": {} }
}"#;
    assert_snapshot!(faults(text));
}

#[test]
fn a_service_that_inherits_itself_as_dependency_is_circular() {
    let text = r#"{
  "deployment": "d",
  "defaults": { "depends_on": ["audit"] },
  "services": { "audit": {}, "b": {} }
}"#;
    assert_snapshot!(faults(text));
}

#[test]
fn a_missing_comma_does_not_hide_the_other_faults() {
    let text = r#"{
  "deployment": "d"
  "services": { "a": { "slots": 0 } }
}"#;
    assert_snapshot!(faults(text));
}

#[test]
fn syntax_errors_have_a_position() {
    let cases = [
        "",
        "// only a comment\n",
        "{ \"deployment\": \"d\", \"services\": { \"a\": {} }",
        "{ \"deployment\": \"d\", \"services\": { \"a\": } }",
        "{ deployment: 'd', services: { a: { slots: 0x10, deadline_ms: +5 } } }",
        "{} {}",
        "{ \"ก\": \"กรุงเทพ\" # }",
        "{ /* never closed }",
        "[1, 2]",
        "null",
    ];
    let mut found = String::new();
    for text in cases {
        found.push_str(&format!("{text:?}\n{}\n\n", faults(text)));
    }
    assert_snapshot!(found);
}

#[test]
fn bytes_that_are_not_utf_8_have_a_position() {
    let faults = check_bytes(b"{\n  \"deployment\": \"\xff\"\n}").expect_err("not UTF-8");
    assert_eq!(
        faults.to_string(),
        "line 2, column 18: the text is not UTF-8 from here on; allowed: text in UTF-8"
    );
    check_bytes(b"{ \"deployment\": \"d\", \"services\": { \"a\": {} } }")
        .expect("plain bytes are checked as text");
}

#[test]
fn columns_count_characters_and_not_bytes() {
    let text = "{ \"deployment\": \"d\", /* กรุงเทพ */ \"sevices\": {} }";
    assert_snapshot!(faults(text));
}

#[test]
fn missing_required_keys_are_reported() {
    assert_snapshot!(faults("{}"));
}

#[test]
fn a_text_without_services_is_refused() {
    // An operator empties the text by mistake. If it were accepted, all nodes would
    // reject the calls of every service within seconds. As it is rejected, the
    // active version stays in use.
    assert_snapshot!(faults(r#"{ "deployment": "d", "services": {} }"#));
}

#[test]
fn more_services_than_allowed_are_refused() {
    let mut services = String::new();
    for number in 0..4_097 {
        services.push_str(&format!("\"s{number}\": {{}},"));
    }
    let text = format!(r#"{{ "deployment": "d", "services": {{ {services} }} }}"#);
    assert_snapshot!(faults(&text));
}

#[test]
fn inherited_lists_that_multiply_are_refused() {
    // Of 4,000 services, 3,750 inherit the 250 dependencies of `defaults`. The text
    // is small, but the resolved policies would contain almost a million names on
    // every node.
    let mut names = String::new();
    let mut services = String::new();
    for number in 0..250 {
        names.push_str(&format!("\"s{number}\","));
        services.push_str(&format!("\"s{number}\": {{ \"depends_on\": [] }},"));
    }
    for number in 250..4_000 {
        services.push_str(&format!("\"s{number}\": {{}},"));
    }
    let text = format!(
        r#"{{ "deployment": "d", "defaults": {{ "depends_on": [{names}] }},
             "services": {{ {services} }} }}"#
    );
    let faults = check(&text).expect_err("too many names");
    let expected = FaultKind::TooManyResolved {
        count: 937_500,
        limit: 200_000,
    };
    assert_eq!(faults.faults[0].kind, expected);
}

#[test]
fn a_text_above_a_megabyte_is_refused_and_one_below_is_not() {
    let body = r#"{ "deployment": "d", "services": { "a": {} } }"#;
    let fitting = format!("{body}{}", " ".repeat(1_048_576 - body.len()));
    let checked = check(&fitting).expect("a text of the largest size is accepted");
    assert_eq!(checked.warnings.len(), 1);

    let faults = check(&format!("{fitting} ")).expect_err("one byte more is refused");
    let expected = FaultKind::TextTooLong {
        size_bytes: 1_048_577,
    };
    assert_eq!(faults.faults[0].kind, expected);
}

#[test]
fn faults_serialise_with_fields() {
    let faults = check(r#"{ "deployment": "d", "services": { "a": { "slots": 0 } } }"#)
        .expect_err("slots are out of range");
    insta::assert_json_snapshot!(faults);
}
