//! The node daemon: converts network input to events for the decision core, and
//! performs the core's decisions.
//!
//! All policies are in `hornbeamhitch-core`; this crate contains the I/O.
//! [`callers`] serves callers, [`gate_server`] serves other nodes, and
//! [`control_loop`] drives the control half on its own thread.

pub mod answer;
pub mod body;
pub mod callers;
pub mod clock;
pub mod control_loop;
pub mod daemon;
pub mod fingerprint;
pub mod gate_server;
pub mod health;
pub mod listener;
pub mod logs;
pub mod metrics;
pub mod operators;
pub mod options;
pub mod peers;
pub mod platform;
pub mod program;
pub mod report;
pub mod settings;
pub mod target_client;
pub mod uploads;
