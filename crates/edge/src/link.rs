//! Links between nodes. A link is one TCP connection that multiplexes many calls.

mod client;
mod facts;
mod framed;
mod liveness;
mod outgoing;
mod server;

pub(crate) use framed::{FrameReader, LinkFault};

pub use client::{LinkEvent, LinkPool, PendingRequest};
pub use facts::FactsRequests;
pub use outgoing::OutgoingCall;
pub use server::LinkServer;
