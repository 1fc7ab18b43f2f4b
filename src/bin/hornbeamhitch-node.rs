//! The node daemon: the entry for callers and the gate of its own target.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    hornbeamhitch_node::program::run(&args).into()
}
