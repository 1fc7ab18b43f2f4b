//! Test support: stand-ins of the platform and of targets, a load tool, a
//! fleet of node processes, and the demonstration. Never linked into the
//! daemon.
//!
//! Tests run the stand-ins inside their own process and the nodes as
//! processes; the demonstration runs everything as processes. How to use them
//! stands in `docs/contributing/test-support.md`.

pub mod clock;
pub mod commands;
pub mod demo;
pub mod fleet;
pub mod http_client;
pub mod http_server;
pub mod load;
pub mod logging;
pub mod overhead;
pub mod platform;
pub mod prelude;
pub mod program;
pub mod raw_caller;
pub mod target;
