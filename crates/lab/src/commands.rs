//! The subcommands of the program, with one file each.

use gumdrop::Options;

pub mod capacity;
pub mod check;
pub mod list;
pub mod run;

/// Virtual-time experiments on the decision core.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The subcommand to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// The subcommands.
#[derive(Debug, Options)]
pub enum Command {
    /// Run cases and print their tables.
    #[options(help = "run cases and print their tables")]
    Run(run::RunArguments),
    /// List the cases.
    #[options(help = "list the cases")]
    List(list::ListArguments),
    /// Check runs against the committed bounds.
    #[options(help = "check runs against the committed bounds")]
    Check(check::CheckArguments),
    /// Measure the cost of a node by the size of the deployment.
    #[options(help = "measure the cost of a node by the size of the deployment")]
    Capacity(capacity::CapacityArguments),
}
