//! The program `hornbeamhitch-lab`, which runs virtual-time experiments.

use std::process::ExitCode;

use gumdrop::Options;
use hornbeamhitch_lab::commands::{Arguments, Command, capacity, check, list, run};

fn main() -> eyre::Result<ExitCode> {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        None => {
            println!("{}\n\n{}", Arguments::usage(), Command::usage());
            return Ok(ExitCode::FAILURE);
        }
        Some(Command::List(arguments)) => list::list(&arguments),
        Some(Command::Run(arguments)) => run::run(&arguments)?,
        Some(Command::Capacity(arguments)) => capacity::capacity(&arguments)?,
        Some(Command::Check(arguments)) => {
            if !check::check(&arguments)? {
                return Ok(ExitCode::FAILURE);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
