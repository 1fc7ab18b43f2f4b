//! The decisions of the load balancer as deterministic state machines.
//!
//! Nothing in this crate opens a socket, starts a thread, awaits or reads a
//! clock. Callers pass in events, the current time and a random seed, and
//! receive decisions and actions. The daemon and the virtual-time experiments
//! run the same code, so a test can replay any order of events that can occur
//! in a fleet.
//!
//! - [`entry`] picks targets, enforces retry and hedge budgets, ejects failing
//!   targets, retries, hedges, and gives up;
//! - [`gate`] admits, queues and rejects calls, and runs each key at most once;
//! - [`control`] maintains membership, configuration and crash suspicions on a
//!   shared board and publishes the [`view::RouteTable`] that traffic threads
//!   read.

pub mod budget;
pub mod control;
pub mod entry;
pub mod gate;
pub mod prelude;
pub mod refusal;
pub mod suspects;
pub mod view;
