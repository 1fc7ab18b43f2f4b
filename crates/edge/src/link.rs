//! Links between nodes: one TCP connection that carries many calls.

mod client;
mod framed;
mod liveness;
mod outgoing;
mod server;

pub(crate) use framed::{FrameReader, LinkFault};

pub use client::{LinkEvent, LinkPool, PendingRequest};
pub use outgoing::OutgoingCall;
pub use server::LinkServer;
