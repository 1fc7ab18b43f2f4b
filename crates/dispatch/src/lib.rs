//! Decisions of the routed path, without sockets, threads or wall clocks.
//!
//! A caller's request is matched to a route ([`routes`]) and to one of its
//! destinations ([`split`]); the entry orders the targets that may run it
//! ([`order`]) from what it knows of them ([`members`], [`failures`]) and
//! decides how long each may hold it ([`patience`]); the gate of a target
//! decides when it starts ([`admission`]).

pub mod admission;
pub mod contention;
pub mod departure;
pub mod failures;
pub mod knee;
pub mod members;
pub mod order;
pub mod patience;
pub mod prelude;
pub mod reach;
pub mod readers;
pub mod refusals;
pub mod retry_budget;
pub mod returning;
pub mod routes;
pub mod short_work;
pub mod split;
pub mod waits;
pub mod work;
