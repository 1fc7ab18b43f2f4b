//! Overload control where calls enter.
//!
//! An entry estimates the work of a call ([`work`]) and decides whether it is sent to a
//! target at all ([`entry_admission`]): by the share of its caller ([`caller_shares`]), the
//! level of its service ([`service_level`]) and the time that its caller was given to retry
//! ([`return_schedule`]; [`set_aside`] deducts such retries from the level). Calls that are
//! made by runs ([`nested`]) go first. [`patience`] then decides how long the call may wait
//! for a suitable target, [`retry_budget`] limits retries and hedges, [`reject_rate`] uses
//! them where targets reject requests, and [`returning`] recognises callers that were refused
//! and retry. A call that others wait behind on its connection inherits their [`urgency`].
//! [`settings`] names the parts that can be switched off.

pub mod caller_shares;
pub mod entry_admission;
pub mod nested;
pub mod patience;
pub mod reject_rate;
pub mod retry_budget;
pub mod return_schedule;
pub mod returning;
pub mod service_level;
pub mod set_aside;
pub mod settings;
pub mod urgency;
pub mod work;

pub use settings::{OverloadPart, OverloadParts, PartsInForce};
