//! HTTP/1.1 with strict framing, for callers, the target and the store.
//!
//! The library's server answers pipelined requests one after the other and its
//! client hides where an answer ended; both cost what the routed path promises.
//! So heads are parsed by `httparse`, and what stands here is the framing.

mod body;
mod head;
mod stream;
mod write;

#[cfg(test)]
mod tests;

pub use body::Framing;
pub use head::{HeadFault, RequestHead, ResponseHead, field, has_token, strip_hop_by_hop};
pub use stream::{HttpReader, ReadFault};
pub use write::{request_bytes, response_bytes};
