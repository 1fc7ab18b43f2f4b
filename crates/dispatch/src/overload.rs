//! Overload control where calls enter.
//!
//! An entry estimates the work of a call ([`work`]), decides how long the call may wait for
//! a suitable target ([`patience`]), limits retries and hedges ([`retry_budget`]), and
//! recognises callers that were refused and retry ([`returning`]).

pub mod patience;
pub mod retry_budget;
pub mod returning;
pub mod work;
