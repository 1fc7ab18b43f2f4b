//! Messages between nodes: control messages, link messages, tickets, load reports and
//! the names of headers.
//!
//! `postcard` provides the encoding. This crate adds the format version, the sender's
//! incarnation and size limits. It makes no load balancing decisions.

pub mod control;
pub mod header;
pub mod link;
pub mod load;
pub mod prelude;
pub mod ticket;

mod error;

pub use error::WireError;
