//! Test support: stand-ins of the platform and of targets, a load tool, and a
//! fleet of node processes. Never linked into the daemon.
//!
//! Tests run the stand-ins inside their own process and the nodes as
//! processes; the demonstration runs everything as processes.

pub mod clock;
pub mod fleet;
pub mod http_client;
pub mod http_server;
pub mod load;
pub mod platform;
pub mod prelude;
pub mod target;
