//! Tests of what the settings switch off.

use hornbeamhitch_dispatch::overload::OverloadPart;
use hornbeamhitch_node::settings::OVERLOAD_PARTS;

use super::*;

const REQUIRED: &str = r#"
  "vm": "cashier-1", "service": "cashier", "data_centre": "bkk-a",
  "callers_address": "127.0.0.1:8080",
  "peer_address": "127.0.0.1:7001",
  "control_address": "127.0.0.1:7002",
  "operators_address": "127.0.0.1:7003",
  "target_address": "127.0.0.1:9001",
  "platform_address": "127.0.0.1:8000""#;

fn config(more: &str) -> Config {
    Config::parse(&format!("{{{REQUIRED},\n{more}\n}}")).expect("good settings")
}

/// Guards against names that the settings allow and the routed path does not know, and
/// against parts that the settings cannot switch off.
#[test]
fn the_settings_allow_the_names_of_all_parts() {
    let names = OVERLOAD_PARTS.map(|name| format!("\"{name}\"")).join(", ");
    let config = config(&format!("\"overload_off\": [{names}]"));
    assert_eq!(overload_off(&config), OverloadParts::ALL);
}

#[test]
fn the_parts_that_the_settings_name_are_switched_off_at_start_and_on_a_reload() {
    let none = config("");
    assert_eq!(
        edge_config(&none).tunables.overload_off,
        OverloadParts::NONE
    );
    let two = config(r#""overload_off": ["answer-order", "service-level"]"#);
    let expected = OverloadParts::NONE
        .with(OverloadPart::AnswerOrder)
        .with(OverloadPart::ServiceLevel);
    assert_eq!(edge_config(&two).tunables.overload_off, expected);

    let file = format!("hitch-routed-settings-{}.jsonc", std::process::id());
    let path = std::env::temp_dir().join(file);
    let deployment = deployment(&none, &path);
    std::fs::write(
        &path,
        format!("{{{REQUIRED}, \"overload_off\": [\"answer-order\"]}}"),
    )
    .expect("written");
    let read = (deployment.reload)().expect("good settings");
    assert!(read.overload_off.has(OverloadPart::AnswerOrder));
    std::fs::write(
        &path,
        format!("{{{REQUIRED}, \"overload_off\": [\"answers\"]}}"),
    )
    .expect("written");
    let refused = (deployment.reload)();
    std::fs::remove_file(&path).expect("removed");
    assert!(refused.is_none(), "{refused:?}");
}
