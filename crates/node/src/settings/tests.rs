//! Valid settings are read as written, and each fault of invalid ones is
//! reported.

use std::fs;

use insta::assert_snapshot;

use super::*;

const REQUIRED: &str = r#"
  "vm": "cashier-1", "service": "cashier", "data_centre": "bkk-a",
  "callers_address": "127.0.0.1:8080",
  "peer_address": "127.0.0.1:7001",
  "control_address": "127.0.0.1:7002",
  "operators_address": "127.0.0.1:7003",
  "target_address": "127.0.0.1:9001",
  "platform_address": "127.0.0.1:8000""#;

fn with_required(more: &str) -> String {
    format!("{{{REQUIRED},\n{more}\n}}")
}

fn faults_of(text: &str) -> String {
    Config::parse(text)
        .expect_err("the test's settings are faulty")
        .to_string()
}

#[test]
fn required_keys_alone_are_enough() {
    let config = Config::parse(&with_required("")).expect("only defaults are missing");
    assert_eq!(config.vm, VmId::new("cashier-1"));
    assert_eq!(config.control_address.port(), 7002);
    assert_eq!(config.limits, Limits::default());
    assert_eq!(config.log, LogSettings::default());
    assert_eq!(config.drain_timeout_ms, Millis(30_000));
    assert!(config.seeds.is_empty());
    assert!(config.overload_off.is_empty());
    assert!((1..=4).contains(&config.traffic_threads));
}

#[test]
fn every_option_is_read_as_written() {
    let config = Config::parse(&with_required(
        r#"// a comment, and a trailing comma at the end
        "seeds": ["10.0.0.1:7002", "[::1]:7002"], /* IPv6 too */
        "traffic_threads": 64, "drain_timeout_ms": 100,
        "overload_off": ["service-level", "answer-order"],
        "limits": { "header_bytes": 8192, "header_count": 16, "max_connections": 1,
            "max_peer_connections": 2, "streams_per_connection": 3, "head_timeout_ms": 101,
            "body_timeout_ms": 102, "idle_timeout_ms": 1003, "buffered_bodies_bytes": 1048576,
            "stored_answers_bytes": 65536, "bulk_bytes": 1048577, "bulk_connections": 4 },
        "log": { "level": "warn", "targets": { "hornbeamhitch_node::control": "debug" },
            "repeats_per_10_s": 7 },"#,
    ))
    .expect("every value is within its bounds");
    insta::assert_debug_snapshot!(config);
}

#[test]
fn all_faults_are_named_at_once() {
    assert_snapshot!(faults_of(
        r#"{
  "vm": "",
  "service": "cash/ier",
  "data_center": "bkk-a",
  "callers_address": "localhost:8080",
  "peer_address": "0.0.0.0:7001",
  "control_address": "127.0.0.1:70020",
  "operators_address": 7003,
  "target_address": "127.0.0.1:0",
  "seeds": ["10.0.0.1:7002", "10.0.0.1", null],
  "traffic_threads": 0, "drain_timeout_ms": "30s",
  "limits": { "header_bytes": 100, "max_conections": 10, "idle_timeout_ms": -1 },
  "log": { "level": "loud", "targets": { "hornbeamhitch_node": "chatty" } },
  "zzz": 1,
}"#
    ));
}

/// Guards against a misspelt name, with which the part would stay on.
#[test]
fn unknown_parts_of_overload_control_are_refused_with_the_allowed_ones() {
    assert_snapshot!(faults_of(&with_required(
        r#""overload_off": ["answer-order", "answer-ordr", 6]"#
    )));
}

#[test]
fn ports_must_differ() {
    let text = with_required("").replace("127.0.0.1:7001", "127.0.0.1:7002");
    assert_snapshot!(faults_of(&text));
}

#[test]
fn an_unspecified_address_takes_its_port_everywhere() {
    let text = with_required("").replace("127.0.0.1:8080", "0.0.0.0:9001");
    assert_snapshot!(faults_of(&text));
}

#[test]
fn ports_left_to_the_kernel_never_clash() {
    let text = with_required("")
        .replace(":7001", ":0")
        .replace(":7002", ":0")
        .replace(":7003", ":0");
    Config::parse(&text).expect("port 0 stands for different ports");
}

#[test]
fn a_repeated_key_is_a_fault() {
    assert_snapshot!(faults_of(&with_required(
        r#""vm": "other", "log": { "targets": { "a": "info", "a": "warn" } }"#
    )));
}

#[test]
fn wrong_shapes_are_faults() {
    assert_snapshot!(faults_of(&with_required(
        r#""seeds": "10.0.0.1:7002", "limits": [], "log": { "targets": 1 }, "traffic_threads": 2.5"#
    )));
}

#[test]
fn text_that_is_no_json_is_one_fault() {
    let mut faults = Vec::new();
    for text in [
        "{\n  \"vm\": \"a\"\n  \"service\": \"b\"\n}",
        "{ vm: 'a' }",
        "",
        "// nothing\n [1]",
        "{",
    ] {
        faults.push(faults_of(text));
    }
    assert_snapshot!(faults.join("\n"));
}

#[test]
fn a_hostile_value_cannot_forge_a_fault_of_its_own() {
    let text = with_required("\"x\\u000aline 1, column 1: vm\u{7}\": \"\u{1b}[31m\nline 2\"");
    let faults = faults_of(&text);
    assert_eq!(faults.lines().count(), 1, "{faults}");
    assert!(!faults.contains(char::is_control), "{faults:?}");
}

#[test]
fn columns_count_characters_not_bytes() {
    let text = with_required("/* ภาพถ่าย */ \"traffic_threads\": 0");
    assert_snapshot!(faults_of(&text));
}

#[test]
fn a_file_is_named_in_each_of_its_faults() {
    let path = std::env::temp_dir().join(format!("hitch-settings-{}.jsonc", std::process::id()));
    fs::write(&path, with_required("\"a\": 1, \"b\": 2")).expect("temporary files can be written");
    let faults = Config::load(&path).expect_err("the keys are unknown");
    fs::remove_file(&path).expect("the file was just written");
    assert_eq!(faults.faults.len(), 2);
    for line in faults.to_string().lines() {
        assert!(
            line.starts_with(&format!("{}: line ", path.display())),
            "{line}"
        );
    }
}

#[test]
fn a_missing_file_is_a_fault() {
    let faults = Config::load(Path::new("/nowhere/settings.jsonc")).expect_err("no such file");
    assert_eq!(faults.faults[0].kind, FaultKind::Unreadable);
    assert_snapshot!(faults);
}

#[test]
fn the_documentation_has_every_key() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/settings.md");
    let page = fs::read_to_string(page).expect("the page is part of the repository");
    let unknown =
        with_required(r#""zzzzzzzz": 1, "limits": { "zzzzzzzz": 1 }, "log": { "zzzzzzzz": 1 }"#);
    let faults = Config::parse(&unknown).expect_err("three keys are unknown");
    assert_eq!(faults.faults.len(), 3);
    for fault in faults.faults {
        for key in fault.allowed.split(", ") {
            if matches!(key, "limits" | "log") {
                assert!(page.contains(&format!("### `{key}`")), "{key}");
                continue;
            }
            assert!(page.contains(&format!("\n| `{key}` | ")), "{key}");
        }
    }
}
