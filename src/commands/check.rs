//! `hornbeamhitch check`: reports every fault of a text.

use std::io::Write;

use eyre::Result;
use gumdrop::Options;
use hornbeamhitch_text::{CheckedText, Warning};
use serde::Serialize;

use crate::exit::Exit;
use crate::source::{format_count, load, warning_line, write_faults, write_json};

/// Checks a configuration text and names every fault.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help
    help: bool,
    /// write JSON
    #[options(no_short)]
    json: bool,
    /// the text to check
    #[options(free, required)]
    file: String,
}

/// The JSON output for an accepted file.
#[derive(Serialize)]
struct AcceptedFile<'a> {
    accepted: bool,
    file: &'a str,
    deployment: &'a str,
    services: Vec<&'a str>,
    warnings: &'a [Warning],
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
    if arguments.json {
        write_json(out, &accepted(file, &text))?;
        return Ok(Exit::Ok);
    }
    for warning in &text.warnings {
        writeln!(out, "{}", warning_line(file, warning))?;
    }
    writeln!(
        out,
        "{file}: accepted, {}, {}",
        format_count(text.services.len(), "service"),
        format_count(text.warnings.len(), "warning"),
    )?;
    Ok(Exit::Ok)
}

fn accepted<'a>(file: &'a str, text: &'a CheckedText) -> AcceptedFile<'a> {
    let mut services = Vec::new();
    for service in &text.services {
        services.push(service.service.as_str());
    }
    AcceptedFile {
        accepted: true,
        file,
        deployment: &text.deployment.deployment,
        services,
        warnings: &text.warnings,
    }
}
