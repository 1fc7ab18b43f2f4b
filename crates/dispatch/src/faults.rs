//! Faults of targets and of the network, as an entry or a gate recognises them.
//!
//! [`failures`] remembers targets that failed recently, [`crashes`] recognises requests that
//! crash targets, and [`reach`] recognises that this node is cut off from the others.

pub mod crashes;
pub mod failures;
pub mod reach;
