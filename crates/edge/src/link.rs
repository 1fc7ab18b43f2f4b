//! Links between nodes: one TCP connection that carries many calls.

mod client;
mod framed;
mod server;

pub(crate) use framed::{FrameReader, LinkFault};

pub use client::{Asked, LinkEvent, LinkPool, OutgoingCall};
pub use server::LinkServer;
