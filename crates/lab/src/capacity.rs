//! Measures the cost of one node as a function of the deployment's size.
//!
//! `docs/contributing/lab-capacity.md` is based on these figures. Counts, bytes and times
//! until a text is in force are measured in virtual time and are reproducible. Processor
//! times depend on the machine, and memory is what the allocator was asked for.
//!
//! - [`fleet`] runs many control halves with a fake network and platform;
//! - [`control`], [`reader`] and [`changes`] measure the control half;
//! - [`text`] measures the check of a configuration text;
//! - [`traffic`] measures entry and gate;
//! - [`report`] prints the results.

pub mod changes;
pub mod control;
pub mod fleet;
pub mod layout;
pub mod memory;
pub mod reader;
pub mod report;
pub mod stopwatch;
pub mod text;
pub mod traffic;
