//! Runs `hornbeamhitch plot` as an operator does.

use std::path::{Path, PathBuf};
use std::process::Command;

use crate::trace::log_file;

fn line(time_ms: u64, service: &str, code: u16, status: u16, took_ms: u64) -> String {
    format!(
        r#"{{"time_ms":{time_ms},"level":"info","target":"t","vm":"vm-1","message":"m","request":"r","service":"{service}","code":{code},"status":{status},"took_ms":{took_ms}}}"#
    )
}

fn plot(arguments: &[&str], log: &Path) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_hornbeamhitch"))
        .arg("plot")
        .args(arguments)
        .arg(log)
        .output()
        .expect("the program runs");
    (
        output.status.code().expect("an exit status"),
        String::from_utf8(output.stdout).expect("text"),
        String::from_utf8(output.stderr).expect("text"),
    )
}

fn svg_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("hitch-plot-{name}-{}.svg", std::process::id()))
}

/// Writes a log of four seconds that has no line in the third second.
fn sample_log(name: &str) -> PathBuf {
    let lines = [
        line(1_000, "shop", 1000, 200, 7),
        line(1_100, "till", 1000, 200, 9),
        line(2_000, "shop", 1101, 503, 1),
        line(2_001, "shop", 1000, 500, 4),
        line(4_000, "shop", 2102, 502, 40).replace("\"took_ms\"", "\"suppressed\":12,\"took_ms\""),
        "not json".to_owned(),
    ];
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    log_file(name, &lines)
}

#[test]
fn outcomes_and_latencies_are_drawn() {
    let out = svg_path("all");
    let out_text = out.to_str().expect("a path in UTF-8");
    let (exit, text, _) = plot(&["--out", out_text], &sample_log("plot-all"));
    assert_eq!(exit, 0);
    assert!(text.contains("5 calls in 4 steps of 1000 ms"), "{text}");
    assert!(text.contains("1 lines were no log of a node"), "{text}");
    assert!(
        text.contains("12 further lines were left out by the nodes"),
        "{text}"
    );
    let svg = std::fs::read_to_string(&out).expect("the picture");
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    for name in [
        "answered",
        "failed in the target",
        "refused, not run",
        "outcome unknown",
        "p50",
        "p99",
        "without 12 lines",
    ] {
        assert!(svg.contains(name), "{name}");
    }
}

#[test]
fn one_service_can_be_drawn_alone() {
    let out = svg_path("till");
    let out_text = out.to_str().expect("a path in UTF-8");
    let arguments = ["--out", out_text, "--service", "till", "--step-ms", "100"];
    let (exit, text, _) = plot(&arguments, &sample_log("plot-till"));
    assert_eq!(exit, 0);
    assert!(text.contains("1 calls in 1 steps of 100 ms"), "{text}");
}

/// A line with a wrong time makes the plot too long. The command suggests a larger step
/// and writes no file.
#[test]
fn a_time_range_with_too_many_steps_is_rejected() {
    let out = svg_path("long");
    let out_text = out.to_str().expect("a path in UTF-8");
    let early = line(1, "shop", 1000, 200, 7);
    let late = line(1_800_000_000_000, "shop", 1000, 200, 7);
    let log = log_file("plot-long", &[&early, &late]);
    let (exit, _, errors) = plot(&["--out", out_text], &log);
    assert_eq!(exit, 2);
    assert!(errors.contains("larger --step-ms"), "{errors}");
    assert!(!out.exists());
    let (exit, _, errors) = plot(&["--out", out_text, "--step-ms", "0"], &log);
    assert_eq!(exit, 2);
    assert!(errors.contains("must be 1 or more"), "{errors}");
}

#[test]
fn logs_without_calls_are_reported() {
    let out = svg_path("none");
    let out_text = out.to_str().expect("a path in UTF-8");
    let log = log_file("plot-none", &["{}"]);
    let (exit, text, _) = plot(&["--out", out_text], &log);
    assert_eq!(exit, 1);
    assert!(text.contains("nothing is drawn"), "{text}");
    assert!(!out.exists());
}
