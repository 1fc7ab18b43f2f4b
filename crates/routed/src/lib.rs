//! The routed path on our own platform: routes from the operators' text, targets
//! from the VM list, callers and targets by our own header names.
//!
//! The decisions and the traffic are those of `hornbeamhitch-edge`; here is only
//! what tells it of our platform.

pub mod dialect;
pub mod program;
pub mod source;
