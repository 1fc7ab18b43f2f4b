//! Tests on the real programs, as processes against in-process stand-ins.

mod support;
mod thin_path;
