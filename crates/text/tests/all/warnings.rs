//! Tests that values that are allowed but probably not intended cause warnings.

use insta::assert_snapshot;

use crate::support::checked;

fn warnings(text: &str) -> String {
    let mut lines = String::new();
    for warning in checked(text).warnings {
        lines.push_str(&format!("{warning}\n"));
    }
    lines
}

#[test]
fn doubtful_values_cause_warnings() {
    let text = r#"{
  "deployment": "d",
  "services": {
    "cashier": {
      "depends_on": ["ledger"],
      "slots": 12,
      "connections": 4,
      "ticket_ttl_ms": 1000,
      "calls": [
        { "name": "charge", "match": "POST /charge", "class": "payment", "idempotent": true },
        { "name": "price", "match": "GET /price", "class": "payment", "idempotent": true }
      ]
    },
    "ledger": { "deadline_ms": 5000 }
  }
}"#;
    assert_snapshot!(warnings(text));
}

#[test]
fn a_named_call_may_give_a_caller_the_time_it_needs() {
    let text = r#"{
  "deployment": "d",
  "services": {
    "darkroom": {
      "depends_on": ["ledger"],
      "calls": [{ "name": "portrait", "match": "POST /portraits", "deadline_ms": 10000 }]
    },
    "ledger": { "deadline_ms": 5000 }
  }
}"#;
    assert_eq!(warnings(text), "");
}

#[test]
fn chains_deeper_than_eight_cause_a_warning_at_their_first_service() {
    let mut services = String::new();
    for number in 0..8 {
        let next = number + 1;
        services.push_str(&format!(
            "\"s{number}\": {{ \"depends_on\": [\"s{next}\"] }},\n"
        ));
    }
    let text = format!("{{ \"deployment\": \"d\", \"services\": {{\n{services}\"s8\": {{}} }} }}");
    assert_snapshot!(warnings(&text));
}
