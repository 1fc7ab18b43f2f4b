//! HTTP/1.1 with strict framing, for callers, the target and the store.
//!
//! The HTTP library is not used here. Its server answers pipelined requests one
//! after the other, and its client hides where an answer ended. Either would break
//! guarantees of the routed path. `httparse` parses the heads, and this module
//! implements the framing of bodies.

mod body;
mod head;
mod stream;
mod write;

#[cfg(test)]
mod tests;

pub use body::Framing;
pub use head::{HeadFault, RequestHead, ResponseHead, field, has_token, strip_hop_by_hop};
pub use stream::{BodyMemory, HttpReader, ReadFault};
pub use write::{Encoded, request, response};
