//! The daemon's program: parses the arguments and returns the exit status.

use std::path::Path;

use hornbeamhitch_types::prelude::*;

use crate::daemon::{self, Ended};
use crate::logs;
use crate::options::{self, Action, ExitStatus};
use crate::settings::Config;

/// Time limit for writing the last log lines at exit.
const LOG_FLUSH_MS: Millis = Millis(1_000);

/// Runs the command given by the arguments after the program's name. Returns
/// once the node has ended.
#[must_use]
pub fn run<S: AsRef<str>>(args: &[S]) -> ExitStatus {
    match options::parse(args) {
        Ok(Action::Print(text)) => {
            println!("{text}");
            ExitStatus::Done
        }
        Ok(Action::Check(path)) => check(&path),
        Ok(Action::Run(path)) => serve(&path),
        Err(error) => {
            eprintln!("{error}");
            ExitStatus::Usage
        }
    }
}

fn check(path: &Path) -> ExitStatus {
    match Config::load(path) {
        Ok(config) => {
            println!(
                "{}: good, VM {} of {}",
                path.display(),
                config.vm,
                config.service
            );
            ExitStatus::Done
        }
        Err(faults) => {
            eprintln!("{faults}");
            ExitStatus::SettingsFaults
        }
    }
}

fn serve(path: &Path) -> ExitStatus {
    let config = match Config::load(path) {
        Ok(config) => config,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitStatus::SettingsFaults;
        }
    };
    let log = match logs::start(&config.log, &config.vm) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("the log cannot be started: {error}");
            return ExitStatus::StartFailed;
        }
    };
    let status = match daemon::run(config) {
        Ok(Ended::Drained) => ExitStatus::Done,
        Ok(Ended::DrainTimedOut) => ExitStatus::DrainTimedOut,
        Err(error) => {
            log::error!("the node cannot run: {error:#}");
            ExitStatus::StartFailed
        }
    };
    // If standard error cannot be written, there is no way to report it.
    let _ = log.flush(LOG_FLUSH_MS);
    status
}
