//! What a process holds for its peers: memory and connections.
//!
//! [`account`] bounds the memory and keeps a share of it for ordinary requests, [`limits`]
//! derives the bounds from those of the process, and [`peers`] decides which connection is
//! closed when one of them is reached.

pub mod account;
pub mod limits;
pub mod peers;
