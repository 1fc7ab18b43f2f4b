//! Control messages between nodes: datagrams over UDP, bulk over TCP.
//!
//! Every message starts with a format version and names its sender with the
//! sender's incarnation, so that a message of another build is refused before
//! it is decoded, and one of an earlier life is recognised. A datagram never
//! exceeds [`MAX_DATAGRAM_BYTES`]; what does not fit goes by bulk.

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
