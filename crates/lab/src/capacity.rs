//! Slopes: what one node costs against the size of what it knows.
//!
//! `docs/contributing/lab-capacity.md` is worked out from these figures. Counts, bytes and
//! times in force come from virtual time and repeat exactly; processor times
//! are those of this machine, and memory is what the allocator was asked for.
//!
//! - [`fleet`] runs many control halves against a fake network and platform;
//! - [`control`], [`reader`] and [`changes`] measure the control half;
//! - [`text`] measures the check of a configuration text;
//! - [`traffic`] measures entry and gate;
//! - [`report`] prints it all.

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
