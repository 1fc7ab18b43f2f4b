//! The node daemon: turns sockets into events for the decision core and the
//! core's decisions into I/O.
//!
//! Every policy lives in `hornbeamhitch-core`; what stands here is the way
//! bytes take. [`callers`] serves callers, [`gate_server`] serves other nodes,
//! [`control_loop`] drives the control half on a thread of its own.

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
