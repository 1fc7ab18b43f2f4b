//! The node daemon that routes by host and path: the entry for callers and the
//! gate of its own target.

use std::process::ExitCode;

fn main() -> ExitCode {
    hornbeamhitch_routed::program::run()
}
