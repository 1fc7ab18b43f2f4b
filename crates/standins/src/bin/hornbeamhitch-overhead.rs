//! Measures the latency that nodes add to a call, compared with a direct call to
//! the same target.

use std::process::ExitCode;

use eyre::Result;
use hornbeamhitch_standins::commands;

#[tokio::main]
async fn main() -> Result<ExitCode> {
    commands::overhead::run().await
}
