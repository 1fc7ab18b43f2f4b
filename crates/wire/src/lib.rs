//! What travels between nodes: control messages, tickets, load reports and the
//! names of headers.
//!
//! Codecs come from `postcard`; this crate adds the format version, the
//! sender's incarnation and the limits on sizes. It decides nothing.

pub mod control;
pub mod header;
pub mod link;
pub mod load;
pub mod prelude;
pub mod ticket;

mod error;

pub use error::WireError;
