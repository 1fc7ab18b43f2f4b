//! The subcommand `hornbeamhitch-lab list`.

use gumdrop::Options;

use crate::case::catalogue;

/// Arguments of `list`.
#[derive(Debug, Options)]
pub struct ListArguments {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Prints every case with its description.
pub fn list(_arguments: &ListArguments) {
    for case in catalogue() {
        println!("{:32} {}", case.name, case.about);
    }
}
