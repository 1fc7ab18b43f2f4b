//! The routed path on the project's native platform.
//!
//! Routes come from the operators' configuration text, targets from the VM list, and
//! callers and targets use the native header names. `hornbeamhitch-edge` makes the
//! decisions and carries the traffic. This crate only connects it to the platform.

pub mod dialect;
pub mod program;
pub mod source;
