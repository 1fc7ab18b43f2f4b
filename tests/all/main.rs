//! Tests on the real programs, as processes against in-process stand-ins.

mod at_most_once;
mod command_line;
mod configuration;
mod leaving;
mod measuring;
mod not_run;
mod shutdown;
mod support;
mod thin_path;
mod whole_answers;
