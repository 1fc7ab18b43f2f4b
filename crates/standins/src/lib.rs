//! Test support: stand-ins for the platform and for targets, a load tool, a
//! fleet of node processes, and the demonstration. None of it is linked into
//! the daemon.
//!
//! Tests run the stand-ins inside their own process and the nodes as separate
//! processes. The demonstration runs everything as separate processes.
//! `docs/contributing/test-support.md` describes how to use them.

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
