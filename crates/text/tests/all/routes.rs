//! Tests of routes by host and path prefix.

use hornbeamhitch_dispatch::routing::routes::CallKind;
use hornbeamhitch_text::{check, diff, explain};
use insta::assert_snapshot;

use crate::support::checked;

const TEXT: &str = r#"{
  "deployment": "bangkok",
  "services": { "layouts": {}, "layouts-next": {}, "cashier": {} },
  "routes": [
    {
      "name": "templates", "host": "print.example", "prefix": "/templates/",
      // A tenth goes to the next version.
      "to": { "layouts": 90, "layouts-next": 10 },
      "idempotent": true, "timeout_ms": 800, "objective_ms": 300, "priority": 2,
    },
    { "name": "pay", "host": "pay.example", "prefix": "/", "to": { "cashier": 1 } },
  ],
}"#;

#[test]
fn routes_resolve_to_what_nodes_route_by() {
    let text = checked(TEXT);
    let routes = text.route_set(7);
    assert_eq!(routes.version(), 7);
    let templates = routes
        .find("print.example", "/templates/a4")
        .expect("a route");
    assert_eq!(templates.name, "templates");
    assert_eq!(templates.destinations[1].weight, 10);
    assert_eq!(templates.objective_ms.0, 300);
    let pay = routes.find("PAY.example:80", "/charge").expect("a route");
    assert!(!pay.kind.is_idempotent());
    assert_eq!((pay.timeout_ms, pay.max_attempts), (pay.objective_ms, 2));
    assert!(routes.find("print.example", "/other/").is_none());
}

#[test]
fn faulty_routes_are_all_reported() {
    let faulty = TEXT
        .replace("\"print.example\"", "\"Print.example:80\"")
        .replace("\"prefix\": \"/\"", "\"prefix\": \"/charge\"")
        .replace("\"priority\": 2", "\"priority\": 300, \"retries\": 3");
    assert_snapshot!(check(&faulty).expect_err("faults"));
    let lost = TEXT
        .replace("\"layouts-next\": 10", "\"layout-next\": 10")
        .replace("\"cashier\": 1", "\"cashier\": 0")
        .replace("\"pay.example\"", "\"print.example\"")
        .replace("\"prefix\": \"/\"", "\"prefix\": \"/templates/\"");
    assert_snapshot!(check(&lost).expect_err("faults"));
    let nowhere = TEXT.replace("\"cashier\": 1", "\"cashier\": 0");
    assert_snapshot!(check(&nowhere).expect_err("faults"));
}

#[test]
fn downloads_are_idempotent() {
    let as_download = TEXT.replace("\"idempotent\": true", "\"download\": true");
    let text = checked(&as_download);
    let routes = text.route_set(7);
    let route = routes
        .find("print.example", "/templates/a4")
        .expect("a route");
    assert_eq!(route.kind, CallKind::Download);
    assert!(route.kind.is_idempotent());
    let changes: Vec<String> = diff(&checked(TEXT), &text)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(changes[0].contains("download"), "{changes:?}");
    let forbidden = as_download.replace("\"download\"", "\"idempotent\": false, \"download\"");
    let fault = check(&forbidden).expect_err("a fault").to_string();
    assert!(fault.contains("downloads are idempotent"), "{fault}");
}

#[test]
fn route_changes_are_reported_with_consequences() {
    let after = TEXT
        .replace("90", "50")
        .replace("\"layouts-next\": 10", "\"layouts-next\": 50")
        .replace("\"timeout_ms\": 800", "\"timeout_ms\": 900")
        .replace("pay.example", "till.example");
    let mut description = String::new();
    for change in diff(&checked(TEXT), &checked(&after)) {
        description.push_str(&format!("{change}\n"));
    }
    assert_snapshot!(description);
}

#[test]
fn a_service_is_explained_with_the_routes_that_lead_to_it() {
    let explained = explain(&checked(TEXT), "layouts-next")
        .expect("a service")
        .to_string();
    let routes = explained.find("  route ").expect("a route");
    assert_snapshot!(&explained[routes..]);
}
