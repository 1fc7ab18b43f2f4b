//! Faults of targets and of the network, as an entry or a gate recognises them.
//!
//! [`failures`] remembers targets that failed recently, [`crashes`] recognises requests that
//! crash targets, [`reach`] recognises that this node is cut off from the others, and
//! [`silence`] recognises VMs from which nothing is received.

pub mod crashes;
pub mod failures;
pub mod reach;
pub mod silence;
