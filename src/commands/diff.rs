//! `hornbeamhitch diff`: describes what an edit changes.

use std::io::Write;

use eyre::Result;
use gumdrop::Options;
use hornbeamhitch_text::change::{Change, grouped};
use hornbeamhitch_text::{Faults, diff};
use serde::Serialize;

use crate::exit::Exit;
use crate::source::{RefusedFile, load, write_faults, write_json};

/// Describes what an edit changes.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help
    help: bool,
    /// write JSON
    #[options(no_short)]
    json: bool,
    /// the text before the edit
    #[options(free, required)]
    old: String,
    /// the text after the edit
    #[options(free, required)]
    new: String,
}

/// The JSON output for one change.
#[derive(Serialize)]
struct ChangeRecord<'a> {
    words: String,
    change: &'a Change,
}

pub(crate) fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<Exit> {
    let mut texts = Vec::new();
    let mut refused = Vec::new();
    for file in [&arguments.old, &arguments.new] {
        match load(file)? {
            Ok(text) => texts.push(text),
            Err(faults) => refused.push((file, faults)),
        }
    }
    let [old, new] = texts.as_slice() else {
        write_refused(out, &refused, arguments.json)?;
        return Ok(Exit::Found);
    };
    let changes = diff(old, new);
    if arguments.json {
        let mut records = Vec::new();
        for change in &changes {
            records.push(ChangeRecord {
                words: change.to_string(),
                change,
            });
        }
        write_json(out, &records)?;
        return Ok(Exit::Ok);
    }
    for change in grouped(&changes) {
        writeln!(out, "{change}")?;
    }
    if changes.is_empty() {
        writeln!(out, "nothing changes")?;
    }
    Ok(Exit::Ok)
}

/// Writes the faults of one or both files. The JSON output is one list.
fn write_refused(out: &mut dyn Write, refused: &[(&String, Faults)], json: bool) -> Result<()> {
    if json {
        let mut records = Vec::new();
        for (file, faults) in refused {
            records.push(RefusedFile::new(file, faults));
        }
        return write_json(out, &records);
    }
    for (file, faults) in refused {
        write_faults(out, file, faults, json)?;
    }
    Ok(())
}
