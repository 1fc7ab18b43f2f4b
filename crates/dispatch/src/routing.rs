//! Routing: which service, and which regions, a request goes to.
//!
//! A request is matched to a route ([`routes`]) and then to one of the route's
//! destinations ([`split`]). A route may be confined to regions ([`regions`]).

pub mod regions;
pub mod routes;
pub mod split;
