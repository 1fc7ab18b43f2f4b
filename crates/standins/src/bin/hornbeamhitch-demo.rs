//! The demonstration: runs a whole deployment on one machine.

use std::process::ExitCode;

use eyre::Result;
use hornbeamhitch_standins::commands;

#[tokio::main]
async fn main() -> Result<ExitCode> {
    commands::run().await
}
