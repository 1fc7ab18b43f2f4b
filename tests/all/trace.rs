//! Runs `hornbeamhitch trace` as an operator does.

use std::path::PathBuf;
use std::process::Command;

const ENTRY: &str = r#"{"time_ms":1005,"level":"warn","target":"t","vm":"vm-1","message":"not served: 2102 run-broken","request":"r1","code":2102,"status":502,"took_ms":40,"tried":"i-1=slow i-2=broken","reason":"the run broke"}"#;
const GATE: &str = r#"12.5 vm-2 {"time_ms":1003,"level":"warn","target":"t","vm":"vm-2","message":"ended without an answer","request":"r1","target_id":"i-2","slowness_percent":100,"waited_ms":0,"ran_ms":30,"end":"broken"}"#;
const OTHER: &str = r#"{"time_ms":1000,"level":"info","target":"t","vm":"vm-1","message":"answered","request":"r2","code":1000,"status":200,"took_ms":7,"tried":"i-1=200"}"#;

pub fn log_file(name: &str, lines: &[&str]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("hitch-trace-{name}-{}", std::process::id()));
    std::fs::write(&path, lines.join("\n")).expect("a log file");
    path
}

fn trace(arguments: &[&str], files: &[&PathBuf]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_hornbeamhitch"))
        .arg("trace")
        .args(arguments)
        .args(files)
        .output()
        .expect("the program runs");
    let text = String::from_utf8(output.stdout).expect("text");
    (output.status.code().expect("an exit status"), text)
}

/// The outcome of a payment is unknown. The entry's line names the gate, and the
/// gate's line states how the run ended; the trace shows both in order of time.
#[test]
fn a_trace_merges_several_logs_in_order() {
    let entry = log_file("entry", &[OTHER, ENTRY, "not json"]);
    let gate = log_file("gate", &[GATE]);
    let (exit, text) = trace(&["r1"], &[&entry, &gate]);
    assert_eq!(exit, 0);
    let gate_at = text
        .find("ended without an answer")
        .expect("the gate's line");
    let entry_at = text.find("run-broken").expect("the entry's line");
    assert!(gate_at < entry_at, "{text}");
    assert!(text.contains("+2 ms  vm-1"), "{text}");
    assert!(text.contains("1 lines were no log of a node"), "{text}");
    assert!(!text.contains("missing") && !text.contains("r2"), "{text}");
}

#[test]
fn missing_log_lines_are_named() {
    let entry = log_file("only-entry", &[ENTRY]);
    let (_, text) = trace(&["r1"], &[&entry]);
    assert!(text.contains("no line of the gate of i-2"), "{text}");
    assert!(!text.contains("no line of the gate of i-1"), "{text}");
    let gate = log_file("only-gate", &[GATE]);
    let (_, text) = trace(&["r1"], &[&gate]);
    assert!(text.contains("no line of the entry"), "{text}");
    let (exit, text) = trace(&["unknown"], &[&entry]);
    assert_eq!(exit, 1);
    assert!(text.contains("no line names the request"), "{text}");
}

#[test]
fn a_trace_can_be_written_as_json() {
    let gate = log_file("json", &[GATE, ENTRY]);
    let (_, text) = trace(&["--json", "r1"], &[&gate]);
    let trace: serde_json::Value = serde_json::from_str(&text).expect("one JSON value");
    assert_eq!(trace["steps"][0]["fields"]["end"], "broken");
    assert_eq!(trace["steps"][1]["fields"]["code"], 2102);
}
