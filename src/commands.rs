//! The subcommands of the command line. Each has its own module.

mod check;
mod code;
mod diff;
mod explain;
mod plot;
mod status;
mod trace;
mod r#where;

use std::io::Write;

use eyre::{Result, bail};
use gumdrop::Options;
use strum::VariantArray;

use crate::exit::Exit;

/// Checks, explains and compares configuration texts, and queries nodes.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help
    help: bool,

    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// check a configuration text and name every fault
    Check(check::Arguments),
    /// show what a service resolves to and where each value comes from
    Explain(explain::Arguments),
    /// describe what an edit changes
    Diff(diff::Arguments),
    /// show the configuration in force, the targets and the spent budgets of nodes
    Status(status::Arguments),
    /// show where calls of a service go, and whether nodes agree
    Where(r#where::Arguments),
    /// explain a numbered result code
    Code(code::Arguments),
    /// show what happened to one request, from the logs of several nodes
    Trace(trace::Arguments),
    /// draw outcomes and latencies over time from the logs of nodes
    Plot(plot::Arguments),
}

/// Runs the command given by the arguments.
pub(crate) fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<Exit> {
    if arguments.help_requested() {
        write_help(arguments, out)?;
        return Ok(Exit::Ok);
    }
    let Some(command) = &arguments.command else {
        bail!("no command is given; see hornbeamhitch --help");
    };
    match command {
        Command::Check(arguments) => check::run(arguments, out),
        Command::Explain(arguments) => explain::run(arguments, out),
        Command::Diff(arguments) => diff::run(arguments, out),
        Command::Status(arguments) => status::run(arguments, out),
        Command::Where(arguments) => r#where::run(arguments, out),
        Command::Code(arguments) => code::run(arguments, out),
        Command::Trace(arguments) => trace::run(arguments, out),
        Command::Plot(arguments) => plot::run(arguments, out),
    }
}

fn write_help(arguments: &Arguments, out: &mut dyn Write) -> Result<()> {
    if let Some(command) = &arguments.command {
        let name = command.command_name().unwrap_or_default();
        writeln!(out, "Usage: hornbeamhitch {name} [OPTIONS] [ARGUMENTS]\n")?;
        writeln!(out, "{}", command.self_usage())?;
    } else {
        writeln!(out, "Usage: hornbeamhitch COMMAND [OPTIONS] [ARGUMENTS]\n")?;
        writeln!(out, "{}\n", arguments.self_usage())?;
        writeln!(out, "Commands (each has its own --help):")?;
        writeln!(out, "{}", arguments.self_command_list().unwrap_or_default())?;
    }
    writeln!(out, "\nExit codes:")?;
    for exit in Exit::VARIANTS {
        writeln!(out, "  {}  {}", *exit as u8, exit.meaning())?;
    }
    Ok(())
}
