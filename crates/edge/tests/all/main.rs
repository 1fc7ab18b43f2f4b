//! The routed path from a caller's socket to a target's, in one process: real
//! sockets on loopback, targets played by the tests.

mod answers;
mod asking;
mod at_most_once;
mod bounded_age;
mod callers;
mod crash_request;
mod following;
mod giving_up;
mod links;
mod lives;
mod routing;
mod support;
