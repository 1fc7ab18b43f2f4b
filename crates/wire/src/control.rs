//! Control messages between nodes: datagrams over UDP and bulk messages over TCP.
//!
//! Every message starts with a format version and contains its sender with the sender's
//! incarnation. Messages in another format are thus rejected before they are decoded, and
//! messages from an earlier incarnation can be detected. A datagram never exceeds
//! [`MAX_DATAGRAM_BYTES`]; larger data is sent as a bulk message.

mod bulk;
mod codec;
mod datagram;
mod member;

pub use bulk::{
    BulkAnswer, BulkRequest, DocumentReply, DocumentRequest, Sender, SliceBytes, SliceClaim,
    SliceName, decode_slice, digest_of, encode_slice,
};
pub use codec::{FORMAT_VERSION, MAX_BULK_BYTES, MAX_DATAGRAM_BYTES};
pub use datagram::{
    ChangeNote, Datagram, DatagramBody, Heartbeat, KnownVersions, ReaderNote, RefusedNote,
    SuspectNote,
};
pub use member::{ListVersion, ListedVm, LoadDigest, MemberDigest, MemberNote};

#[cfg(test)]
mod tests;
