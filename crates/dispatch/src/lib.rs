//! Decision logic of the routed path, without sockets, threads or wall clocks.
//!
//! The modules are listed in the order in which a call meets them. [`routing`] finds the
//! service of a request. [`overload`] decides at the entry whether and how long the call
//! waits, and [`placement`] in which order it tries the targets. [`gate`] decides when it
//! starts in its target. All of them rely on what a node knows ([`knowledge`]) and on the
//! faults that it has recognised ([`faults`]). [`resources`] bounds what a node holds for its
//! peers meanwhile.

pub mod routing;

pub mod overload;

pub mod placement;

pub mod gate;

pub mod knowledge;

pub mod faults;

pub mod resources;

pub mod prelude;
