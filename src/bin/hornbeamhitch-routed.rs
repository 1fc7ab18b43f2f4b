//! The node that routes by host and path: entry for callers and gate of its own
//! target.

use std::process::ExitCode;

fn main() -> ExitCode {
    hornbeamhitch_routed::program::run()
}
