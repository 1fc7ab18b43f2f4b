//! Identifiers, the clock type, result codes and service policies that all
//! other crates share.
//!
//! This crate gives each value that crosses a crate boundary its own type. It
//! contains no decision logic and does no I/O.

pub mod clock;
pub mod code;
pub mod crash;
pub mod digest;
pub mod id;
pub mod load;
pub mod notice;
pub mod policy;
pub mod prelude;
pub mod revision;
pub mod status;
