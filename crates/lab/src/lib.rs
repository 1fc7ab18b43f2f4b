//! Virtual-time experiments on the decision core.
//!
//! A small fake target, a network of fixed delays and an event loop drive the
//! core's [`EntryService`](hornbeamhitch_core::entry::EntryService) and
//! [`Gate`](hornbeamhitch_core::gate::Gate) from a fixed seed, beside baselines
//! and an oracle that see the very same calls. Time is virtual and whole
//! microseconds, so every count and quantile repeats exactly.
//!
//! - [`case`] lists the experiments;
//! - [`policy`] has the ways of picking that are compared;
//! - [`world`] is the event loop;
//! - [`capacity`] measures what a node costs against what it knows;
//! - [`report`], [`plot`] and [`bounds`] turn runs into tables, pictures and a
//!   verdict.

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
