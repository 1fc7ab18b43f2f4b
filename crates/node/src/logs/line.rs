//! One line of the log.

use std::collections::BTreeSet;
use std::fmt::{self, Write as _};

use log::Record;
use log::kv::{Error, Key, Value, VisitSource, VisitValue};
use serde::ser::{SerializeMap, Serializer as _};

/// Longer messages are cut, so that one caller's input cannot fill the queue.
const MAX_MESSAGE_BYTES: usize = 4 * 1024;
/// Longer values of a field are cut.
const MAX_VALUE_BYTES: usize = 1024;
/// Further fields of a record are left out.
const MAX_FIELDS: usize = 32;
const TRUNCATION_MARK: &str = "...";
/// Keys of the line itself. A field of the same name gets [`FIELD_PREFIX`]:
/// two equal keys in an object would hide one of them from most readers.
const RESERVED: [&str; 6] = ["time_ms", "level", "target", "vm", "message", "suppressed"];
const FIELD_PREFIX: &str = "field_";

/// What goes into a line beside the record.
pub(super) struct Line<'a> {
    /// Milliseconds since 1970, for people and log stores only.
    pub(super) wall_clock_ms: u64,
    /// The node's VM.
    pub(super) vm: &'a str,
    /// Lines of the same place that were left out just before.
    pub(super) suppressed: u32,
    /// The record itself.
    pub(super) record: &'a Record<'a>,
}

impl Line<'_> {
    /// The line as JSON, ended by its only newline.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256);
        if self.write(&mut bytes).is_err() {
            // Memory cannot fail to be written to, and no value here refuses
            // its serialisation; an empty line would be lost on its reader.
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
        // A visitor fails only beyond MAX_FIELDS, and then the line is good.
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

/// Writes the fields of a record after the line's own.
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

/// Writes one field in its own JSON type.
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

/// Formats a value up to a number of bytes.
///
/// `to_string` would panic where a value's own formatting fails, and a log
/// must never end the thread that writes to it.
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
