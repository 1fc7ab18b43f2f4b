//! Formats one line of the log.

use std::collections::BTreeSet;
use std::fmt::{self, Write as _};

use log::Record;
use log::kv::{Error, Key, Value, VisitSource, VisitValue};
use serde::ser::{SerializeMap, Serializer as _};

/// Longer messages are truncated, so that the input of one caller cannot fill
/// the queue.
const MAX_MESSAGE_BYTES: usize = 4 * 1024;
/// Longer field values are truncated.
const MAX_VALUE_BYTES: usize = 1024;
/// Further fields of a record are omitted.
const MAX_FIELDS: usize = 32;
const TRUNCATION_MARK: &str = "...";
/// Keys of the line itself. A field of the same name gets [`FIELD_PREFIX`],
/// because most readers would hide one of two equal keys in an object.
const RESERVED: [&str; 6] = ["time_ms", "level", "target", "vm", "message", "suppressed"];
const FIELD_PREFIX: &str = "field_";

/// The content of a line.
pub(super) struct Line<'a> {
    /// Milliseconds since 1970, only for display and log stores.
    pub(super) wall_clock_ms: u64,
    /// The node's VM.
    pub(super) vm: &'a str,
    /// Number of lines of the same call site that were suppressed just before.
    pub(super) suppressed: u32,
    /// The logged record.
    pub(super) record: &'a Record<'a>,
}

impl Line<'_> {
    /// Returns the line as JSON, with a newline at its end and no other
    /// newline.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256);
        if self.write(&mut bytes).is_err() {
            // This is not expected: writing to memory does not fail, and every
            // value here can be serialised. A reader learns more from this line
            // than from an empty one.
            bytes.clear();
            bytes.extend_from_slice(br#"{"message":"a log line could not be written"}"#);
        }
        bytes.push(b'\n');
        bytes
    }

    fn write(&self, bytes: &mut Vec<u8>) -> Result<(), serde_json::Error> {
        let mut serializer = serde_json::Serializer::new(bytes);
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("time_ms", &self.wall_clock_ms)?;
        map.serialize_entry("level", level_name(self.record.level()))?;
        map.serialize_entry("target", &truncate(self.record.target(), MAX_VALUE_BYTES))?;
        map.serialize_entry("vm", self.vm)?;
        map.serialize_entry("message", &truncate(self.record.args(), MAX_MESSAGE_BYTES))?;
        if self.suppressed > 0 {
            map.serialize_entry("suppressed", &self.suppressed)?;
        }
        let mut fields = Fields {
            map: &mut map,
            seen: BTreeSet::new(),
        };
        // The visitor only fails beyond MAX_FIELDS, and then the line is valid.
        let _ = self.record.key_values().visit(&mut fields);
        map.end()
    }
}

fn level_name(level: log::Level) -> &'static str {
    match level {
        log::Level::Error => "error",
        log::Level::Warn => "warn",
        log::Level::Info => "info",
        log::Level::Debug => "debug",
        log::Level::Trace => "trace",
    }
}

/// Writes the fields of a record after the keys of the line itself.
struct Fields<'a, M> {
    map: &'a mut M,
    seen: BTreeSet<String>,
}

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        if self.seen.len() == MAX_FIELDS {
            return Err(Error::msg("too many fields"));
        }
        let mut name = truncate(key.as_str(), MAX_VALUE_BYTES);
        if RESERVED.contains(&name.as_str()) {
            name.insert_str(0, FIELD_PREFIX);
        }
        if !self.seen.insert(name.clone()) {
            return Ok(());
        }
        value.visit(Field {
            map: &mut *self.map,
            name: &name,
        })
    }
}

/// Writes one field as its own JSON type.
struct Field<'a, M> {
    map: &'a mut M,
    name: &'a str,
}

impl<M: SerializeMap> Field<'_, M> {
    fn put<T: serde::Serialize + ?Sized>(&mut self, value: &T) -> Result<(), Error> {
        self.map
            .serialize_entry(self.name, value)
            .map_err(|_| Error::msg("not serialised"))
    }
}

impl<M: SerializeMap> VisitValue<'_> for Field<'_, M> {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), Error> {
        self.put(&truncate(value, MAX_VALUE_BYTES))
    }

    fn visit_null(&mut self) -> Result<(), Error> {
        self.put(&())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.put(&value)
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        self.put(&value)
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), Error> {
        self.put(&value)
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        self.put(&value)
    }
}

/// Formats a value, truncated to `max_bytes`.
///
/// `to_string` would panic if the value's own formatting fails, and logging
/// must never end the calling thread.
fn truncate(value: impl fmt::Display, max_bytes: usize) -> String {
    let mut truncator = Truncator {
        text: String::new(),
        max_bytes,
    };
    if write!(truncator, "{value}").is_err() {
        truncator.text.push_str(TRUNCATION_MARK);
    }
    truncator.text
}

struct Truncator {
    text: String,
    max_bytes: usize,
}

impl fmt::Write for Truncator {
    fn write_str(&mut self, part: &str) -> fmt::Result {
        let room = self.max_bytes - self.text.len();
        if part.len() <= room {
            self.text.push_str(part);
            return Ok(());
        }
        self.text.push_str(&part[..part.floor_char_boundary(room)]);
        self.max_bytes = self.text.len();
        Err(fmt::Error)
    }
}
