//! Placement: the order in which an entry tries the targets of a service.
//!
//! The order ([`order`]) uses the refusals of the targets' gates ([`refusals`]) and what the
//! targets state about themselves ([`notices`]).

pub mod notices;
pub mod order;
pub mod refusals;
