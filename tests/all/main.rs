//! Tests on the real programs, as processes against in-process stand-ins.

mod command_line;
mod support;
mod thin_path;
