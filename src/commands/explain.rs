//! `hornbeamhitch explain`: shows what a service resolves to.

use std::io::Write;

use eyre::{Result, WrapErr};
use gumdrop::Options;
use hornbeamhitch_text::explain;

use crate::exit::Exit;
use crate::source::{load, write_faults, write_json};

/// Shows what a service resolves to and where each value comes from.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help
    help: bool,
    /// write JSON
    #[options(no_short)]
    json: bool,
    /// the text
    #[options(free, required)]
    file: String,
    /// the service to explain
    #[options(free, required)]
    service: String,
}

pub(crate) fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<Exit> {
    let file = arguments.file.as_str();
    let text = match load(file)? {
        Ok(text) => text,
        Err(faults) => {
            write_faults(out, file, &faults, arguments.json)?;
            return Ok(Exit::Found);
        }
    };
    let explanation = explain(&text, &arguments.service)
        .wrap_err_with(|| format!("cannot explain from {file}"))?;
    if arguments.json {
        write_json(out, &explanation)?;
    } else {
        write!(out, "{explanation}")?;
    }
    Ok(Exit::Ok)
}
