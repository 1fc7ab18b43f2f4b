//! Keeps the log lines of the test process about answers that were held.

use std::collections::HashMap;
use std::sync::Once;

use log::kv::{Error, Key, Value, VisitSource};
use log::{Log, Metadata, Record};
use parking_lot::Mutex;

/// The fields of a log line.
pub type Fields = HashMap<String, String>;

/// The field by which the lines are recognised.
const HELD_MS: &str = "held_ms";

struct KeepLines {
    lines: Mutex<Vec<Fields>>,
}

static KEPT: KeepLines = KeepLines {
    lines: Mutex::new(Vec::new()),
};

struct Collect<'a>(&'a mut Fields);

impl<'kvs> VisitSource<'kvs> for Collect<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl Log for KeepLines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Info
    }

    fn log(&self, record: &Record<'_>) {
        if record.key_values().get(Key::from(HELD_MS)).is_none() {
            return;
        }
        let mut fields = Fields::new();
        let collected = record.key_values().visit(&mut Collect(&mut fields));
        collected.expect("fields of a record");
        self.lines.lock().push(fields);
    }

    fn flush(&self) {}
}

/// Keeps the lines from now on.
pub fn keep_lines_of_held_answers() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&KEPT).expect("no other logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Returns the line about the answer to a request.
pub fn line_of_held_answer(request_id: &str) -> Option<Fields> {
    let lines = KEPT.lines.lock();
    let mut matching = lines
        .iter()
        .filter(|fields| fields["request"] == request_id);
    matching.next().cloned()
}
