//! The I/O of the routed path. All decisions are made by `hornbeamhitch-dispatch`.
//!
//! [`callers`] reads requests and writes answers in order, [`entry`] finds a target
//! for each request, [`link`] carries calls between nodes, and [`gate`] runs them in
//! this VM's own target through [`target`]. A [`dialect`] gives the header names of a
//! deployment, and a [`source`] provides its routes and targets.

/// Unit tests use test doubles of `tests/all/support`, which refer to this crate by name.
#[cfg(test)]
extern crate self as hornbeamhitch_edge;

pub mod callers;
pub mod config;
pub mod daemon;
pub mod dialect;
pub mod directory;
pub mod entry;
pub mod feed;
pub mod following;
pub mod gate;
pub mod http1;
pub mod link;
pub mod prelude;
pub mod resources;
pub mod silence;
pub mod sockets;
pub mod source;
pub mod status;
pub mod suspicion;
pub mod target;
pub mod target_report;
