//! Identifiers, the clock type, result codes and service policies that every
//! other crate shares.
//!
//! This crate has one purpose: to give each value that crosses a crate border
//! a type of its own. It holds no decisions and does no I/O.

pub mod clock;
pub mod code;
pub mod id;
pub mod policy;
pub mod prelude;
pub mod status;
