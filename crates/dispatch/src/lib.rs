//! Decision logic of the routed path, without sockets, threads or wall clocks.
//!
//! A caller's request is matched to a route ([`routes`]) and then to one of the route's
//! destinations ([`split`]). The entry orders the targets that may run the request
//! ([`order`]), using the list of targets ([`members`]) and their recent failures
//! ([`failures`]), and decides how long the request may wait for a suitable target
//! ([`patience`]). The gate of the target decides when the request starts
//! ([`admission`]), and limits the requests to a target that warms up ([`warm_up`]) or
//! states a limit ([`stated_limit`]). What targets state about themselves reaches the
//! entries too ([`notices`]). Requests that crash targets are recognised and kept from
//! further ones ([`crashes`]). A route may be confined to regions ([`regions`]).

pub mod admission;
pub mod contention;
pub mod crashes;
pub mod departure;
pub mod failures;
pub mod knee;
pub mod members;
pub mod notices;
pub mod order;
pub mod outage_probes;
pub mod patience;
pub mod prelude;
pub mod reach;
pub mod readers;
pub mod refusals;
pub mod regions;
pub mod retry_budget;
pub mod returning;
pub mod routes;
pub mod send_log;
pub mod short_work;
pub mod split;
pub mod stated_limit;
pub mod waits;
pub mod warm_up;
pub mod work;
