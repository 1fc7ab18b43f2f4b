//! Forwards the HTTP library's `slog` records to `log`.
//!
//! The existing bridge keeps the library's levels and appends all values to the
//! message. One scrape per second would then fill the log at `info`, and log
//! stores could not search by field.

use std::fmt::Arguments;

use log::kv::{Key, ToValue, Value};
use log::{Level, Metadata};
use slog::{Drain, KV, Never, OwnedKVList, Serializer};

/// Target of all log lines of the server.
const TARGET: &str = "hornbeamhitch_node::operators";

/// A drain that never fails; a value that cannot be formatted is omitted.
pub(super) struct LogDrain;

impl Drain for LogDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &slog::Record<'_>, of_logger: &OwnedKVList) -> Result<(), Never> {
        let level = level_of(record.level());
        let metadata = Metadata::builder().level(level).target(TARGET).build();
        let logger = log::logger();
        if level > log::max_level() || !logger.enabled(&metadata) {
            return Ok(());
        }
        let mut fields = Fields::default();
        // Only the formatting of a value can fail; the fields before it are
        // kept.
        let _ = of_logger.serialize(record, &mut fields);
        let _ = record.kv().serialize(record, &mut fields);
        logger.log(
            &log::Record::builder()
                .metadata(metadata)
                .args(*record.msg())
                .file_static(Some(record.file()))
                .line(Some(record.line()))
                .key_values(&fields)
                .build(),
        );
        Ok(())
    }
}

/// Maps to one level below the library's, because a single request is of no
/// interest to an operator.
fn level_of(level: slog::Level) -> Level {
    match level {
        slog::Level::Critical | slog::Level::Error => Level::Error,
        slog::Level::Warning => Level::Warn,
        slog::Level::Info => Level::Debug,
        slog::Level::Debug | slog::Level::Trace => Level::Trace,
    }
}

/// The fields of one line, as text.
#[derive(Default)]
struct Fields(Vec<(String, String)>);

impl Serializer for Fields {
    fn emit_arguments(&mut self, key: slog::Key, value: &Arguments<'_>) -> slog::Result {
        let mut text = String::new();
        std::fmt::write(&mut text, *value).map_err(|_| slog::Error::Other)?;
        self.0.push((key.to_string(), text));
        Ok(())
    }
}

impl log::kv::Source for Fields {
    fn visit<'kvs>(
        &'kvs self,
        visitor: &mut dyn log::kv::VisitSource<'kvs>,
    ) -> Result<(), log::kv::Error> {
        for (key, value) in &self.0 {
            let value: Value<'kvs> = value.to_value();
            visitor.visit_pair(Key::from_str(key), value)?;
        }
        Ok(())
    }
}
