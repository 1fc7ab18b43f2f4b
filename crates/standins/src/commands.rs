//! The command line of the demonstration, with one module per subcommand.

use std::process::ExitCode;

use gumdrop::Options;
use log::LevelFilter;

use crate::logging;
use crate::prelude::*;

pub mod overhead;

mod bangkok;

#[derive(Debug, Options)]
struct DemoOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "the Thai Civic Photo Print Office: 14 targets in three data centres")]
    Bangkok(bangkok::BangkokOptions),
}

/// Reads the command line and runs the subcommand.
///
/// # Errors
///
/// Fails when a process cannot be started, does not become ready or does not
/// exit in time.
pub async fn run() -> Result<ExitCode> {
    let options = DemoOptions::parse_args_default_or_exit();
    logging::start(LevelFilter::Warn)?;
    match options.command {
        Some(Command::Bangkok(options)) => bangkok::run(&options).await,
        None => {
            eprintln!("{}", DemoOptions::usage());
            Ok(ExitCode::FAILURE)
        }
    }
}
