//! Admission at the gate of a target.
//!
//! [`admission`] decides when a call starts. It uses a concurrency limit learnt from run
//! times ([`knee`]), keeps slots for calls with a better chance ([`contention`]) and for
//! short work ([`short_work`]), and limits the requests ([`send_log`]) to a target that
//! warms up ([`warm_up`]) or states a limit ([`stated_limit`]). [`departure`] recognises
//! that the target leaves, [`idleness`] whether it certainly runs nothing, and [`room`]
//! measures what the gate reports to entries.

pub mod admission;
pub mod contention;
pub mod departure;
pub mod idleness;
pub mod knee;
pub mod room;
pub mod send_log;
pub mod short_work;
pub mod stated_limit;
pub mod warm_up;
