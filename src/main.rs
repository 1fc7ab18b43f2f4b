//! `hornbeamhitch`, the operators' command line.
//!
//! It checks, explains and compares configuration texts, shows the status of
//! nodes and evaluates their logs. It never changes the state of a node or of the
//! platform.

mod ask;
mod commands;
mod exit;
mod logs;
mod source;
mod table;

use std::env;
use std::io::{self, ErrorKind};
use std::process::ExitCode;

use eyre::Result;
use gumdrop::{Options, ParsingStyle};

use crate::commands::Arguments;
use crate::exit::Exit;

fn main() -> ExitCode {
    let exit = match run() {
        Ok(exit) => exit,
        Err(error) if is_closed_pipe(&error) => Exit::Ok,
        Err(error) => {
            eprintln!("hornbeamhitch: {error:#}");
            Exit::Usage
        }
    };
    exit.into()
}

fn run() -> Result<Exit> {
    let mut arguments = Vec::new();
    for argument in env::args_os().skip(1) {
        let argument = argument
            .into_string()
            .map_err(|raw| eyre::eyre!("the argument {raw:?} is not UTF-8"))?;
        arguments.push(argument);
    }
    let parsed = Arguments::parse_args(&arguments, ParsingStyle::AllOptions)?;
    commands::run(&parsed, &mut io::stdout().lock())
}

/// Returns whether the error is a closed output pipe. This is no failure: `head`,
/// for example, closes its input early.
fn is_closed_pipe(error: &eyre::Report) -> bool {
    for cause in error.chain() {
        let Some(io_error) = cause.downcast_ref::<io::Error>() else {
            continue;
        };
        return io_error.kind() == ErrorKind::BrokenPipe;
    }
    false
}
