//! Virtual-time experiments on the decision core.
//!
//! An event loop with fake targets and a network of fixed delays drives the core's
//! [`EntryService`](hornbeamhitch_core::entry::EntryService) and
//! [`Gate`](hornbeamhitch_core::gate::Gate) from a fixed seed. The core is compared
//! with baseline policies and an oracle on the same calls. Virtual time counts whole
//! microseconds, so every count and quantile is reproducible.
//!
//! - [`case`] lists the experiments;
//! - [`policy`] has the target selection policies that are compared;
//! - [`world`] has the event loop;
//! - [`capacity`] measures the cost of a node as a function of the deployment's size;
//! - [`report`], [`plot`] and [`bounds`] make tables and plots of the runs and check
//!   them against committed bounds.

pub mod bounds;
pub mod capacity;
pub mod case;
pub mod commands;
pub mod fixture;
pub mod plot;
pub mod policy;
pub mod prelude;
pub mod report;
pub mod run;
pub mod world;

mod event;
mod host;
mod target;
mod time;
mod workload;
