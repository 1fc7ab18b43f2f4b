//! Drivers of the routed path: sockets in, decisions of
//! `hornbeamhitch-dispatch` asked, sockets out.
//!
//! [`callers`] reads requests and returns answers in order, [`entry`] finds a
//! target for each, [`link`] carries calls between nodes, [`gate`] starts them
//! in this VM's own target through [`target`]. What a deployment calls its
//! headers and where its facts come from is told by a [`dialect`] and a
//! [`source`].

/// The tests of a module use doubles of `tests/all/support`, which name this crate.
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
pub mod sockets;
pub mod source;
pub mod status;
pub mod suspicion;
pub mod target;
