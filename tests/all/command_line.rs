//! Runs the operators' command line as an operator does.

mod fake_node;
mod real_nodes;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

use insta::assert_snapshot;
use serde_json::{Value, json};
use strum::VariantArray;

use fake_node::FakeNode;

const OK: i32 = 0;
const FOUND: i32 = 1;
const USAGE: i32 = 2;
const UNREACHABLE: i32 = 3;

/// Output and exit status of a run.
struct Run {
    exit: i32,
    out: String,
    err: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("--json writes one JSON value")
    }
}

/// Runs the program in the root of the repository.
fn run(arguments: &[&str]) -> Run {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_hornbeamhitch"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("the program can be started");
    Run {
        exit: output.status.code().expect("the program ends by itself"),
        out: String::from_utf8(output.stdout).expect("the output is text"),
        err: String::from_utf8(output.stderr).expect("the errors are text"),
    }
}

/// Runs `status` or `where` with a timeout that is long enough for a busy machine.
fn run_with_long_timeout(arguments: &[&str]) -> Run {
    run(&[arguments, &["--timeout-ms", "30000"]].concat())
}

/// A temporary file with a configuration text.
struct TextFile(PathBuf);

impl TextFile {
    fn new(text: &[u8]) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("command-line-{}-{number}.jsonc", std::process::id());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, text).expect("the text can be written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is text")
    }
}

impl Drop for TextFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

const BANGKOK: &str = "examples/bangkok.jsonc";
const LJUBLJANA: &str = "examples/ljubljana.jsonc";

#[test]
fn the_examples_are_accepted() {
    for file in [BANGKOK, LJUBLJANA] {
        let run = run(&["check", file]);
        assert_eq!(run.exit, OK, "{}", run.err);
        assert_eq!(
            run.out,
            format!("{file}: accepted, 4 services, 0 warnings\n")
        );
    }
    let accepted = run(&["check", BANGKOK, "--json"]).json();
    assert_eq!(accepted["accepted"], true);
    assert_eq!(accepted["deployment"], "bangkok");
}

#[test]
fn faults_are_named_with_file_line_and_column() {
    let file = TextFile::new(
        b"{\n  \"deploymnet\": \"d\",\n  \"services\": { \"a\": { \"slots\": 0 } }\n}",
    );
    let checked = run(&["check", file.path()]);
    assert_eq!(checked.exit, FOUND);
    assert_snapshot!("faults", checked.out.replace(file.path(), "FILE"));

    let as_json = run(&["check", "--json", file.path()]);
    assert_eq!(as_json.exit, FOUND);
    let refused = as_json.json();
    assert_eq!(refused["accepted"], false);
    assert_eq!(refused["faults"][1]["kind"], "unknown-key");
    assert_eq!(refused["faults"][1]["line"], 2);
    assert_eq!(refused["faults"][1]["column"], 3);

    for arguments in [
        ["explain", file.path(), "a"],
        ["diff", file.path(), BANGKOK],
    ] {
        let refused = run(&arguments);
        assert_eq!(refused.exit, FOUND);
        assert_eq!(refused.out, checked.out);
    }
    let both = run(&["diff", "--json", file.path(), file.path()]);
    assert_eq!(both.exit, FOUND);
    assert_eq!(both.json().as_array().map(Vec::len), Some(2));
}

#[test]
fn a_file_that_is_not_text_is_a_fault_and_a_missing_one_is_not() {
    let file = TextFile::new(b"\xff\xfe{}");
    let refused = run(&["check", file.path()]);
    assert_eq!(refused.exit, FOUND);
    assert!(
        refused.out.contains(":1:1: the text is not UTF-8"),
        "{}",
        refused.out
    );

    let missing = run(&["check", "examples/nowhere.jsonc"]);
    assert_eq!(missing.exit, USAGE);
    assert!(
        missing.err.contains("cannot open examples/nowhere.jsonc"),
        "{}",
        missing.err
    );
}

#[test]
fn warnings_do_not_fail_a_check() {
    let file = TextFile::new(
        br#"{ "deployment": "d", "services": { "a": { "slots": 9, "connections": 3 } } }"#,
    );
    let run = run(&["check", file.path()]);
    assert_eq!(run.exit, OK);
    assert_snapshot!("warnings", run.out.replace(file.path(), "FILE"));
}

#[test]
fn a_service_is_explained() {
    let run = run(&["explain", BANGKOK, "darkroom"]);
    assert_eq!(run.exit, OK, "{}", run.err);
    assert_snapshot!("explanation", run.out);
}

#[test]
fn an_explanation_as_json_has_the_origin_of_each_value() {
    let explained = run(&["explain", BANGKOK, "darkroom", "--json"]).json();
    assert_eq!(explained["settings"][0]["setting"], "slots");
    assert_eq!(explained["settings"][0]["origin"]["from"], "defaults");
}

#[test]
fn an_unknown_service_is_a_usage_error() {
    let run = run(&["explain", BANGKOK, "casheer"]);
    assert_eq!(run.exit, USAGE);
    assert!(run.err.contains("did you mean \"cashier\"?"), "{}", run.err);
}

#[test]
fn an_edit_is_described_in_words() {
    let text = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(BANGKOK))
        .expect("the example can be read");
    let edited = text.replace("\"slots\": 12", "\"slots\": 10");
    let file = TextFile::new(edited.as_bytes());
    let words = run(&["diff", BANGKOK, file.path()]);
    assert_eq!(words.exit, OK, "{}", words.err);
    assert_snapshot!("edit", words.out);

    let changes = run(&["diff", BANGKOK, file.path(), "--json"]).json();
    assert_eq!(changes[0]["change"]["setting"], "slots");
    assert!(changes[0]["words"].is_string());

    let same = run(&["diff", BANGKOK, BANGKOK]);
    assert_eq!((same.exit, same.out.as_str()), (OK, "nothing changes\n"));
}

#[test]
fn every_result_code_is_explained() {
    for code in hornbeamhitch_types::code::ResultCode::VARIANTS {
        let explained = run(&["code", &code.number().to_string(), "--json"]);
        assert_eq!(explained.exit, OK, "{code}: {}", explained.err);
        let record = explained.json();
        assert_eq!(record["code"], code.number());
        for field in ["meaning", "certain"] {
            assert_ne!(record[field], "-", "{code} has no {field}");
        }
    }
    assert_snapshot!("code", run(&["code", "1201"]).out);
    assert_eq!(run(&["code", "7"]).exit, USAGE);
    assert_eq!(run(&["code", "many"]).exit, USAGE);
}

#[test]
fn each_command_has_help_that_names_the_exit_codes() {
    let mut shown = run(&["--help"]).out;
    for command in [
        "check", "explain", "diff", "status", "where", "code", "trace", "plot",
    ] {
        let help = run(&[command, "--help"]);
        assert_eq!(help.exit, OK, "{command}");
        assert!(help.out.contains("Exit codes:"), "{command}");
        shown.push_str(&format!("\n--- {command}\n{}", help.out));
    }
    assert_snapshot!("help", shown);
}

#[test]
fn wrong_arguments_have_an_exit_code_of_their_own() {
    let cases: [&[&str]; 9] = [
        &[],
        &["chekc"],
        &["check"],
        &["check", "--jsno", BANGKOK],
        &["status"],
        &["status", "--node", "nowhere"],
        &["status", "--node", "http://127.0.0.1:1/path"],
        &[
            "status",
            "--node",
            "http://127.0.0.1:1",
            "--timeout-ms",
            "0",
        ],
        &["where", "--node", "http://127.0.0.1:1"],
    ];
    for arguments in cases {
        let run = run(arguments);
        assert_eq!(run.exit, USAGE, "{arguments:?}");
        assert!(
            run.err.starts_with("hornbeamhitch: "),
            "{arguments:?}: {}",
            run.err
        );
        assert_eq!(run.out, "", "{arguments:?}");
    }
}

/// Status of a node that knows two targets of the service `ledger`.
fn status(vm: &str, version: u64, state_of_second: &str) -> Value {
    json!({
        "vm": vm,
        "service": "cashier",
        "data_centre": "bkk-1",
        "incarnation": "0190a1b2c3d4e5f6",
        "uptime_ms": 3_723_000,
        "leaving": false,
        "superseded": false,
        "config": { "in_force": version, "in_force_age_ms": 65_000, "refused": null },
        "platform": { "state": "reading", "last_read_age_ms": 120, "reads": 33 },
        "services": [{
            "name": "ledger",
            "targets": [
                {
                    "vm": "vm-1",
                    "data_centre": "bkk-1",
                    "peer": "127.0.0.1:7001",
                    "state": "live",
                    "in_flight": 2,
                    "load": {
                        "in_flight": 5,
                        "queued": 1,
                        "limit": 12,
                        "service_time_us": 4200,
                        "load_age_ms": 15,
                    },
                    "attempts": 100,
                    "failures": 1,
                },
                {
                    "vm": "vm-2",
                    "data_centre": "bkk-2",
                    "peer": "127.0.0.1:7002",
                    "state": state_of_second,
                    "in_flight": 0,
                    "load": null,
                    "attempts": 7,
                    "failures": 6,
                },
            ],
            "budgets": {
                "probes_sent": 3,
                "retries_spent": 4,
                "hedges_spent": 5,
                "first_attempts": 103,
            },
        }],
        "gate": {
            "in_flight": 3,
            "queued": 0,
            "limit": 12,
            "records": 17,
            "stored_bytes": 10_240,
            "refused": 2,
            "ran": 1_204,
        },
        "suspects": { "count": 0, "list": [] },
        "control": {
            "datagrams_sent": 10,
            "datagrams_received": 11,
            "sent_bytes": 1_000,
            "received_bytes": 1_100,
            "bulk_pulls": 1,
            "bulk_bytes": 5_000,
        },
    })
}

#[test]
fn status_shows_what_a_node_sees_and_spent() {
    let mut refusing = status("vm-9", 12, "ejected");
    refusing["leaving"] = json!(true);
    refusing["config"]["refused"] = json!({
        "version": 13,
        "reason": "line 3, column 4: a\nline 5, column 6: b\u{1b}[2J",
        "age_ms": 5_000,
    });
    let node = FakeNode::answering(&refusing);
    let run = run_with_long_timeout(&["status", "--node", &node.address()]);
    assert_eq!(run.exit, OK, "{}", run.err);
    assert_snapshot!("status", run.out);
}

#[test]
fn a_status_passes_through_json_unchanged() {
    let sent = status("vm-9", 12, "live");
    let node = FakeNode::answering(&sent);
    let shown = run_with_long_timeout(&["status", "--json", "--node", &node.address()]);
    assert_eq!(shown.exit, OK, "{}", shown.err);
    assert_eq!(shown.json()["nodes"][0]["status"], sent);
}

#[test]
fn nodes_with_different_versions_disagree() {
    let one = FakeNode::answering(&status("vm-8", 12, "live"));
    let other = FakeNode::answering(&status("vm-9", 11, "live"));
    let shown = run(&[
        "status",
        "--node",
        &one.address(),
        "--node",
        &other.address(),
    ]);
    assert_eq!(shown.exit, FOUND);
    let verdict: Vec<&str> = shown.out.lines().rev().take(3).collect();
    assert_eq!(
        verdict,
        [
            "  v12: vm-8",
            "  v11: vm-9",
            "nodes disagree on the version in force:"
        ]
    );
}

#[test]
fn one_failing_node_does_not_hide_the_others() {
    // Of four nodes one answers, one refuses connections, one accepts the connection
    // and never answers, and one sends an invalid answer. The operator sees the status
    // of the first and a reason for each of the others. The unresponsive node delays
    // the command no longer than the timeout.
    let answering = FakeNode::answering(&status("vm-9", 12, "live"));
    let silent = FakeNode::silent();
    let nonsense = FakeNode::answering(&json!({ "vm": 1 }));
    let closed = FakeNode::closed();
    let nodes = [
        answering.address(),
        closed,
        silent.address(),
        nonsense.address(),
    ];
    let mut arguments = vec!["status", "--timeout-ms", "3000"];
    for node in &nodes {
        arguments.extend(["--node", node]);
    }
    let shown = run(&arguments);
    assert_eq!(shown.exit, UNREACHABLE);
    let mut out = shown.out;
    for (node, name) in nodes
        .iter()
        .zip(["ANSWERING", "CLOSED", "SILENT", "NONSENSE"])
    {
        out = out.replace(node.as_str(), name);
    }
    assert!(out.contains("vm-9  cashier"), "{out}");
    assert!(
        out.contains("\nCLOSED: no status: cannot be reached"),
        "{out}"
    );
    assert!(
        out.contains("\nSILENT: no status: no answer within 3000 ms\n"),
        "{out}"
    );
    assert!(
        out.contains("\nNONSENSE: no status: the answer is not a status"),
        "{out}"
    );
}

#[test]
fn nodes_are_queried_concurrently() {
    // No node answers before both have a request. If the command queried them one
    // after the other, the request to the first would time out.
    let status_of = |vm| status(vm, 12, "live");
    let nodes = FakeNode::answering_together(&[status_of("vm-8"), status_of("vm-9")]);
    let (one, other) = (nodes[0].address(), nodes[1].address());
    let shown = run(&[
        "status",
        "--node",
        &one,
        "--node",
        &other,
        "--timeout-ms",
        "60000",
    ]);
    assert_eq!(shown.exit, OK, "{}{}", shown.out, shown.err);
}

#[test]
fn where_shows_the_targets_and_that_nodes_agree() {
    let one = FakeNode::answering(&status("vm-8", 12, "live"));
    let other = FakeNode::answering(&status("vm-9", 12, "live"));
    let arguments = [
        "where",
        "ledger",
        "-n",
        &one.address(),
        "-n",
        &other.address(),
    ];
    let shown = run_with_long_timeout(&arguments);
    assert_eq!(shown.exit, OK, "{}", shown.err);
    assert_snapshot!("where_agree", shown.out);
}

#[test]
fn where_names_the_targets_that_nodes_see_differently() {
    let one = FakeNode::answering(&status("vm-8", 12, "live"));
    let other = FakeNode::answering(&status("vm-9", 12, "leaving"));
    let mut without_targets = status("vm-7", 12, "live");
    without_targets["services"][0]["targets"] = json!([]);
    let without_targets = FakeNode::answering(&without_targets);
    let nodes = [one.address(), other.address(), without_targets.address()];
    let arguments = [
        "where", "ledger", "-n", &nodes[0], "-n", &nodes[1], "-n", &nodes[2],
    ];
    let shown = run_with_long_timeout(&arguments);
    assert_eq!(shown.exit, FOUND);
    assert_snapshot!("where_disagree", shown.out);

    let as_json = run_with_long_timeout(&[&arguments[..], &["--json"]].concat()).json();
    assert_eq!(as_json["agree"], false);
    assert_eq!(as_json["disagreements"][1]["target"], "vm-2");
}

#[test]
fn a_service_unknown_to_all_nodes_is_reported() {
    let node = FakeNode::answering(&status("vm-8", 12, "live"));
    let shown = run_with_long_timeout(&["where", "layouts", "-n", &node.address()]);
    assert_eq!(shown.exit, FOUND);
    assert_eq!(
        shown.out,
        "vm-8 does not hold layouts\nno node that answered holds layouts\n"
    );

    let closed = FakeNode::closed();
    assert_eq!(
        run_with_long_timeout(&["where", "layouts", "-n", &closed]).exit,
        UNREACHABLE
    );
}

#[test]
fn the_documentation_lists_the_exit_codes_of_the_help() {
    let documentation =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/operators/command-line.md");
    let documentation = fs::read_to_string(documentation).expect("the page can be read");
    let help = run(&["--help"]).out;
    let (_, codes) = help
        .split_once("Exit codes:\n")
        .expect("the help lists them");
    assert_eq!(codes.lines().count(), 4);
    for line in codes.lines() {
        let (code, meaning) = line
            .trim()
            .split_once("  ")
            .expect("a code and its meaning");
        let row = format!("| {code} | {meaning} |");
        assert!(documentation.contains(&row), "no row {row:?}");
    }
}
