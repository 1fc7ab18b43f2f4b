//! Exit codes of the command line.

use std::process::ExitCode;

use strum::VariantArray;

/// The result of a run of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, VariantArray)]
#[repr(u8)]
pub(crate) enum Exit {
    /// The command found no problem.
    Ok = 0,
    /// A text has faults, nodes disagree, or the logs have no matching line.
    Found = 1,
    /// The arguments are wrong, or a file cannot be read.
    Usage = 2,
    /// A node did not answer, and nothing worse was found.
    Unreachable = 3,
}

impl Exit {
    /// Describes the code for `--help`.
    pub(crate) const fn meaning(self) -> &'static str {
        match self {
            Self::Ok => "nothing was found wrong",
            Self::Found => "a text has faults, nodes disagree, or logs hold nothing of it",
            Self::Usage => "wrong arguments, or a file that cannot be read",
            Self::Unreachable => "a node did not answer, and nothing worse was found",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
