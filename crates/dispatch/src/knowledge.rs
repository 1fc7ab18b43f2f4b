//! What a node knows of configuration and targets, and how old that may be.
//!
//! [`members`] lists the targets, [`readers`] chooses the nodes that read the source, and
//! [`waits`] bounds each delay on the path of a change. [`outage_probes`] chooses the nodes
//! that probe a source which the readers cannot read.

pub mod members;
pub mod outage_probes;
pub mod readers;
pub mod waits;
