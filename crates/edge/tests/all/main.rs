//! Integration tests of the path from a caller's socket to a target's socket, in one
//! process. Sockets are real and on loopback, and the tests act as the targets.

mod answer_order;
mod answers;
mod asking;
mod at_most_once;
mod bounded_age;
mod callers;
mod crash_request;
mod evacuation;
mod following;
mod giving_up;
mod idle_target;
mod links;
mod lives;
mod routing;
mod service_level;
mod silence;
mod statements;
mod support;
mod warm_up;
