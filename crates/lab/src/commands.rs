//! The subcommands of the program, one a file.

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
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What the program can do.
#[derive(Debug, Options)]
pub enum Command {
    /// Run cases and print their tables.
    #[options(help = "run cases and print their tables")]
    Run(run::RunArguments),
    /// List the cases.
    #[options(help = "list the cases")]
    List(list::ListArguments),
    /// Hold runs against the committed bounds.
    #[options(help = "hold runs against the committed bounds")]
    Check(check::CheckArguments),
    /// Measure what a node costs against what it knows.
    #[options(help = "measure what a node costs against what it knows")]
    Capacity(capacity::CapacityArguments),
}
