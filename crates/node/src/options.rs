//! The daemon's command line and exit codes.

#[cfg(test)]
mod tests;

use std::path::PathBuf;

use gumdrop::Options as _;
use strum::{EnumIter, IntoStaticStr, VariantArray};

/// Name in the usage text and at the beginning of error messages.
pub const PROGRAM: &str = "hornbeamhitch-node";

/// Runs a node: the entry for callers and the gate of its VM's target.
#[derive(Clone, Debug, Default, PartialEq, Eq, gumdrop::Options)]
pub struct Options {
    /// Path of the settings.
    #[options(
        no_short,
        meta = "FILE",
        help = "read the settings from FILE (required)"
    )]
    pub settings: Option<PathBuf>,
    /// Check the settings and exit.
    #[options(no_short, help = "check the settings, print all faults, and exit")]
    pub check: bool,
    /// Print the usage and exit.
    #[options(short = "h", help = "print this help and exit")]
    pub help: bool,
    /// Print the version and exit.
    #[options(short = "V", help = "print the version and exit")]
    pub version: bool,
}

/// The action that the command line selects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run with these settings.
    Run(PathBuf),
    /// Check these settings and exit with [`ExitStatus::Done`] or
    /// [`ExitStatus::SettingsFaults`].
    Check(PathBuf),
    /// Print this text and exit with [`ExitStatus::Done`].
    Print(String),
}

/// An invalid command line; the process exits with [`ExitStatus::Usage`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{PROGRAM}: {problem}\n{}", usage())]
pub struct UsageError {
    /// What is wrong.
    pub problem: String,
}

/// The daemon's exit status. A test compares the table in
/// `docs/operators/install.md` with this enum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ExitStatus {
    /// All calls in flight were finished, or the settings are valid.
    Done = 0,
    /// The settings have faults, which are printed on standard error.
    SettingsFaults = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The node could not start, for example because an address is in use, or
    /// its control thread ended, without which a node must not run.
    StartFailed = 3,
    /// The node drained, but calls took longer than `drain_timeout_ms` and were
    /// aborted.
    DrainTimedOut = 4,
}

impl From<ExitStatus> for std::process::ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Parses the arguments after the program's name.
///
/// # Errors
///
/// Fails on an unknown option, a missing value, or missing settings.
pub fn parse<S: AsRef<str>>(args: &[S]) -> Result<Action, UsageError> {
    let options = Options::parse_args_default(args).map_err(|error| UsageError {
        problem: error.to_string(),
    })?;
    if options.help {
        return Ok(Action::Print(usage()));
    }
    if options.version {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Action::Print(format!("{PROGRAM} {version}")));
    }
    let Some(settings) = options.settings else {
        let problem = "--settings FILE is required".to_owned();
        return Err(UsageError { problem });
    };
    if options.check {
        return Ok(Action::Check(settings));
    }
    Ok(Action::Run(settings))
}

/// Returns the usage text, without a newline at its end.
#[must_use]
pub fn usage() -> String {
    format!(
        "Usage: {PROGRAM} --settings FILE [--check]\n\n{}",
        Options::usage()
    )
}
