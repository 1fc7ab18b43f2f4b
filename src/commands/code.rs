//! `hornbeamhitch code`: explains a numbered result code.

use std::io::Write;

use eyre::{Result, bail};
use gumdrop::Options;
use hornbeamhitch_types::code::ResultCode;
use serde::Serialize;
use strum::VariantArray;

use crate::exit::Exit;
use crate::source::write_json;

/// The callers' documentation. A test compares it with the codes.
const RESULT_CODES: &str = include_str!("../../docs/callers/result-codes.md");

/// Explains a numbered result code.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help
    help: bool,
    /// write JSON
    #[options(no_short)]
    json: bool,
    /// the number, as in the header hitch-code
    #[options(free, required)]
    number: String,
}

/// The JSON output for one code.
#[derive(Serialize)]
struct CodeRecord {
    code: u16,
    name: &'static str,
    http_status: u16,
    certainty: &'static str,
    meaning: String,
    certain: String,
    idempotent_call: String,
    ticketed_call: String,
}

pub(crate) fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<Exit> {
    let number = arguments.number.parse().ok();
    let Some(code) = number.and_then(ResultCode::from_number) else {
        let known: Vec<String> = ResultCode::VARIANTS
            .iter()
            .map(|code| code.number().to_string())
            .collect();
        bail!(
            "{:?} is not a result code; known codes: {}",
            arguments.number,
            known.join(", ")
        );
    };
    let record = record(code);
    if arguments.json {
        write_json(out, &record)?;
        return Ok(Exit::Ok);
    }
    writeln!(
        out,
        "{code}, HTTP status {}, {}",
        record.http_status, record.certainty
    )?;
    writeln!(out, "  meaning          {}", record.meaning)?;
    writeln!(out, "  certain          {}", record.certain)?;
    writeln!(out, "  idempotent call  {}", record.idempotent_call)?;
    writeln!(out, "  ticketed call    {}", record.ticketed_call)?;
    Ok(Exit::Ok)
}

fn record(code: ResultCode) -> CodeRecord {
    const MEANING: usize = 4;
    const CERTAIN: usize = 1;
    const IDEMPOTENT_CALL: usize = 2;
    const TICKETED_CALL: usize = 3;
    let certainty = code.certainty().into();
    let of_code = documented(&code.number().to_string());
    let of_certainty = documented(certainty);
    CodeRecord {
        code: code.number(),
        name: code.into(),
        http_status: code.http_status(),
        certainty,
        meaning: cell(&of_code, MEANING),
        certain: cell(&of_certainty, CERTAIN),
        idempotent_call: cell(&of_certainty, IDEMPOTENT_CALL),
        ticketed_call: cell(&of_certainty, TICKETED_CALL),
    }
}

/// Returns the cells of the documentation's first table row whose first cell is
/// `first`, or no cells if there is none.
fn documented(first: &str) -> Vec<&'static str> {
    for line in RESULT_CODES.lines() {
        let Some(row) = line.strip_prefix('|') else {
            continue;
        };
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        if cells.first() == Some(&first) {
            return cells;
        }
    }
    Vec::new()
}

/// Returns a cell without Markdown emphasis and code marks, or `-` if it is empty
/// or missing.
fn cell(cells: &[&str], index: usize) -> String {
    match cells.get(index) {
        Some(text) if !text.is_empty() => text.replace("**", "").replace('`', ""),
        _ => "-".to_owned(),
    }
}
