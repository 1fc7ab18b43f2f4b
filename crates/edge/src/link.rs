//! Links between nodes. A link is one TCP connection that multiplexes many calls.

mod client;
mod facts;
mod framed;
mod liveness;
mod outgoing;
mod pending;
mod pool;
mod read_ahead;
mod server;
mod slot;

pub(crate) use framed::{FrameReader, LinkFault};

pub use client::LinkEvent;
pub use facts::FactsRequests;
pub use outgoing::OutgoingCall;
pub use pending::{PendingRequest, Withdrawal};
pub use pool::LinkPool;
pub use server::LinkServer;
