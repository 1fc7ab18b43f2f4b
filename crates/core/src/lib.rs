//! Every decision of the load balancer, as plain state machines.
//!
//! Nothing here opens a socket, starts a thread, awaits, or reads a clock:
//! events and the present time go in, decisions and actions come out, and
//! randomness comes from a generator whose seed is handed in. The daemon and
//! the virtual-time experiments drive the same code, so any order of events
//! that a fleet can produce can be replayed in a test.
//!
//! - [`entry`] picks targets, spends budgets, ejects, retries, hedges, gives up;
//! - [`gate`] admits, queues, refuses, and runs each key at most once;
//! - [`control`] keeps membership, configuration and suspicion on a blackboard
//!   and publishes the [`view::RouteTable`] that traffic reads.

pub mod budget;
pub mod control;
pub mod entry;
pub mod gate;
pub mod prelude;
pub mod refusal;
pub mod suspects;
pub mod view;
