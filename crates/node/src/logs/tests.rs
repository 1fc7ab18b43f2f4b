//! Lines stay valid JSON whatever is logged, and a stalled or closed standard
//! error only loses lines.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use log::Level;
use log::kv::ToValue;
use serde_json::{Value, json};

use super::*;

const TIMEOUT_MS: Millis = Millis(10_000);

/// A sink whose content the test can read.
#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Sink {
    fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().expect("no test panics while writing").clone();
        let text = String::from_utf8(bytes).expect("lines are UTF-8");
        assert!(text.is_empty() || text.ends_with('\n'));
        let mut lines = Vec::new();
        for line in text.lines() {
            lines.push(serde_json::from_str(line).expect("each line is JSON"));
        }
        lines
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("no test panics while writing")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn settings() -> LogSettings {
    LogSettings::default()
}

fn logger(settings: &LogSettings) -> (Box<dyn Log>, LogHandle, Sink) {
    let sink = Sink::default();
    let (_, logger, handle) = build(settings, &VmId::new("cashier-1"), Box::new(sink.clone()))
        .expect("a thread can be started");
    (logger, handle, sink)
}

fn write(logger: &dyn Log, level: Level, target: &str, message: &str) {
    logger.log(
        &Record::builder()
            .level(level)
            .target(target)
            .args(format_args!("{message}"))
            .build(),
    );
}

#[test]
fn a_line_has_the_documented_keys_and_fields() {
    let (logger, handle, sink) = logger(&settings());
    let fields = [
        ("service", "ledger".to_value()),
        ("attempts", 3_u64.to_value()),
        ("change", (-4_i64).to_value()),
        ("share", 0.5_f64.to_value()),
        ("hedged", true.to_value()),
    ];
    logger.log(
        &Record::builder()
            .level(Level::Warn)
            .target("hornbeamhitch_node::callers")
            .args(format_args!("gave up"))
            .key_values(&fields.as_slice())
            .build(),
    );
    assert!(handle.flush(TIMEOUT_MS));

    let mut line = sink.lines().remove(0);
    let time_ms = line["time_ms"].take().as_u64().expect("a whole number");
    assert!(time_ms > 1_700_000_000_000, "{time_ms} is before 2023");
    assert_eq!(
        line,
        json!({
            "time_ms": null, "level": "warn", "target": "hornbeamhitch_node::callers",
            "vm": "cashier-1", "message": "gave up", "service": "ledger", "attempts": 3,
            "change": -4, "share": 0.5, "hedged": true
        })
    );
}

#[test]
fn hostile_content_cannot_break_or_forge_a_line() {
    // Guards against forged log lines: a caller puts quotes, newlines and
    // control characters into a path that is logged. An unescaped newline would
    // end the line, and the rest would pass for a line of the node in the log
    // store.
    let (logger, handle, sink) = logger(&settings());
    let hostile =
        "\"}\n{\"level\":\"error\",\"message\":\"forged\"}\r\t\u{0}\u{1b}[31m\\\u{2028}ภาพ";
    let fields = [
        ("message", hostile.to_value()),
        ("vm", "other-vm".to_value()),
        (hostile, 1_u64.to_value()),
        ("nan", f64::NAN.to_value()),
        ("twice", 1_u64.to_value()),
        ("twice", 2_u64.to_value()),
    ];
    logger.log(
        &Record::builder()
            .level(Level::Info)
            .target(hostile)
            .args(format_args!("{hostile}"))
            .key_values(&fields.as_slice())
            .build(),
    );
    assert!(handle.flush(TIMEOUT_MS));

    let lines = sink.lines();
    assert_eq!(lines.len(), 1);
    let line = &lines[0];
    assert_eq!(line["level"], "info");
    assert_eq!(line["vm"], "cashier-1");
    assert_eq!(line["message"], hostile);
    assert_eq!(line["target"], hostile);
    assert_eq!(line["field_message"], hostile);
    assert_eq!(line["field_vm"], "other-vm");
    assert_eq!(line[hostile], 1);
    assert_eq!(line["nan"], Value::Null);
    assert_eq!(line["twice"], 1);
}

/// A value whose own formatting fails.
struct Unprintable;

impl std::fmt::Display for Unprintable {
    fn fmt(&self, _f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        Err(std::fmt::Error)
    }
}

#[test]
fn long_and_unprintable_messages_are_truncated() {
    let (logger, handle, sink) = logger(&settings());
    write(&*logger, Level::Info, "long", &"é".repeat(100_000));
    logger.log(
        &Record::builder()
            .target("unprintable")
            .args(format_args!("before {Unprintable}"))
            .build(),
    );
    assert!(handle.flush(TIMEOUT_MS));
    let lines = sink.lines();
    let long = lines[0]["message"].as_str().expect("a string");
    assert!(
        long.len() < 5_000 && long.ends_with("é..."),
        "{}",
        long.len()
    );
    assert_eq!(lines[1]["message"], "before ...");
}

#[test]
fn levels_apply_to_a_target_and_its_submodules() {
    let mut settings = settings();
    settings.level = LevelFilter::Warn;
    settings
        .targets
        .insert("node::control".to_owned(), LevelFilter::Debug);
    let (logger, handle, sink) = logger(&settings);
    write(&*logger, Level::Info, "node::callers", "left out");
    write(&*logger, Level::Warn, "node::callers", "one");
    write(&*logger, Level::Debug, "node::control::members", "two");
    write(&*logger, Level::Trace, "node::control", "left out");
    assert!(handle.flush(TIMEOUT_MS));
    let lines = sink.lines();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0]["message"], "one");
    assert_eq!(lines[1]["message"], "two");
}

#[test]
fn a_repetitive_call_site_is_suppressed_and_others_are_not() {
    // Guards against flooding the log store while the platform is down and one
    // call site warns on every read of every watch. Its first lines must be
    // written, and an error of another call site must not be suppressed.
    let mut settings = settings();
    settings.repeats_per_10_s = 3;
    let (logger, handle, sink) = logger(&settings);
    let suppressed_before = lines_suppressed();
    for _ in 0..1_000 {
        write(&*logger, Level::Warn, "platform", "cannot be reached");
    }
    write(&*logger, Level::Error, "platform", "the one that counts");
    assert!(handle.flush(TIMEOUT_MS));
    let lines = sink.lines();
    // The loop may run into the next window, but not into a third.
    assert!((4..=7).contains(&lines.len()), "{} lines", lines.len());
    assert_eq!(lines[lines.len() - 1]["message"], "the one that counts");
    assert!(lines_suppressed() - suppressed_before >= 994);
}

#[test]
fn the_next_window_reports_suppressed_lines() {
    let repeats = Repeats::new(2);
    let record = Record::builder().target("platform").build();
    let check = |now_ms| repeats.check(&record, Millis(now_ms));
    assert_eq!(check(0), Permit::Write { suppressed: 0 });
    assert_eq!(check(5_000), Permit::Write { suppressed: 0 });
    assert_eq!(check(9_998), Permit::Suppress);
    assert_eq!(check(9_999), Permit::Suppress);
    assert_eq!(check(10_000), Permit::Write { suppressed: 2 });
    assert_eq!(check(10_001), Permit::Write { suppressed: 0 });
    assert_eq!(check(90_000), Permit::Write { suppressed: 0 });
}

#[test]
fn more_call_sites_than_slots_never_write_more_than_allowed() {
    let repeats = Repeats::new(1);
    let mut written = 0;
    for number in 0..10_000 {
        let target = format!("place-{number}");
        for _ in 0..2 {
            let record = Record::builder().target(&target).build();
            if repeats.check(&record, Millis(0)) != Permit::Suppress {
                written += 1;
            }
        }
    }
    assert!((900..=1_024).contains(&written), "{written}");
}

/// A stalled reader: each write blocks until the test releases it.
struct StalledSink {
    entered: Sender<()>,
    release: Receiver<()>,
}

impl Write for StalledSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.entered.send(());
        // Once the test has dropped its end, writes return at once.
        let _ = self.release.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_does_not_block_logging() {
    // Guards against blocking calls when the log collector stops reading and
    // the pipe is full. The writer thread blocks in its write. A logging call
    // must not block too; instead the queue fills up and lines are counted as
    // dropped. If a call to the log blocked, the test would not end.
    let (entered, has_entered) = channel();
    let (go, release) = channel::<()>();
    let sink = StalledSink { entered, release };
    let mut settings = settings();
    settings.repeats_per_10_s = 1_000_000;
    let (_, logger, handle) =
        build(&settings, &VmId::new("a"), Box::new(sink)).expect("a thread can be started");
    write(&*logger, Level::Info, "stalled", "the first");
    has_entered.recv().expect("the writer takes the first line");

    let dropped_before = lines_dropped();
    for _ in 0..20_000 {
        write(&*logger, Level::Info, "stalled", "one more");
    }
    assert!(lines_dropped() - dropped_before >= 15_000);
    assert!(
        !handle.flush(TIMEOUT_MS),
        "a full queue is reported at once"
    );

    drop(go);
    while !handle.flush(TIMEOUT_MS) {
        std::thread::yield_now();
    }
}

/// A closed reader: each write fails as on a closed pipe.
struct ClosedSink;

impl Write for ClosedSink {
    fn write(&mut self, _bytes: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_closed_standard_error_only_loses_lines() {
    // Guards against a panic of `eprintln` in the middle of a call when the log
    // collector has exited and each write fails with EPIPE. The line is counted
    // as dropped, and later lines are still tried.
    let (_, logger, handle) =
        build(&settings(), &VmId::new("a"), Box::new(ClosedSink)).expect("a thread can be started");
    let dropped_before = lines_dropped();
    write(&*logger, Level::Info, "closed", "one");
    write(&*logger, Level::Info, "closed", "two");
    assert!(handle.flush(TIMEOUT_MS));
    assert!(lines_dropped() - dropped_before >= 2);
}
