//! Control messages over TCP: slices of the configuration and of the VM list.

use std::net::SocketAddr;

use hornbeamhitch_types::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::codec::{self, MAX_BULK_BYTES};
use super::datagram::{ChangeNote, KnownVersions, ReaderNote, RefusedNote};
use super::member::MemberNote;
use crate::error::WireError;

/// The sender of a bulk message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The VM of the sender.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its address for control messages.
    pub control: SocketAddr,
}

/// Name of one part of a document. A node stores only the parts that it needs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SliceName {
    /// Configuration: the deployment-wide policy.
    Deployment,
    /// Configuration: the names of all services.
    ServiceNames,
    /// Configuration: the policy of one service.
    Service(ServiceName),
    /// VM list: the VMs of one service.
    Members(ServiceName),
}

/// A slice that the requesting node has or wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceClaim {
    /// Name of the slice.
    pub name: SliceName,
    /// Digest of the requesting node's content, or `None` if it has none.
    pub digest: Option<u64>,
}

/// The part of a bulk request that concerns one document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRequest {
    /// Version at the requesting node, or zero for none.
    pub version: u64,
    /// Slices that the requesting node has or wants.
    pub claims: Vec<SliceClaim>,
    /// Slices without a claim are wanted as well.
    pub everything: bool,
}

/// Requests what has changed from a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BulkRequest {
    /// The requesting node.
    pub from: Sender,
    /// Request for the configuration.
    pub text: DocumentRequest,
    /// Request for the VM list.
    pub vms: DocumentRequest,
}

/// The content of one slice, encoded by `postcard`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceBytes {
    /// Name of the slice.
    pub name: SliceName,
    /// Content of the slice.
    pub bytes: Vec<u8>,
}

/// The part of a bulk answer that concerns one document.
///
/// A claimed slice that is in none of the three lists is unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentReply {
    /// Version at the answering node, to which all content belongs.
    pub version: u64,
    /// Slices that differ from the claims.
    pub slices: Vec<SliceBytes>,
    /// Slices that do not exist at this version.
    pub gone: Vec<SliceName>,
    /// Slices that the answering node does not have.
    pub missing: Vec<SliceName>,
    /// The answer, together with the slices of the requesting node, forms the whole
    /// document.
    pub whole: bool,
    /// Latest changes, oldest first.
    pub notes: Vec<ChangeNote>,
}

/// Answers a [`BulkRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BulkAnswer {
    /// The answering node.
    pub from: Sender,
    /// Versions at the answering node.
    pub known: KnownVersions,
    /// Answer for the configuration.
    pub text: DocumentReply,
    /// Answer for the VM list.
    pub vms: DocumentReply,
    /// Best reader candidates of the answering node's data centre. Empty if the
    /// requesting node is in another one.
    pub readers: Vec<ReaderNote>,
    /// A rejected text that is newer than the one in force.
    pub refused: Option<RefusedNote>,
    /// Some members, so that a joining node knows peers beyond its service.
    pub members: Vec<MemberNote>,
}

/// Returns the digest by which two nodes compare the content of a slice.
///
/// Nodes compare contents instead of the versions of the last change, because two nodes
/// that skipped different versions disagree about the latter.
#[must_use]
pub fn digest_of(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Encodes the content of a slice.
#[must_use]
pub fn encode_slice<T: Serialize>(content: &T) -> Vec<u8> {
    postcard::to_stdvec(content).expect("no slice has a field that cannot be encoded")
}

/// Decodes the content of a slice. Returns `None` if it is malformed.
#[must_use]
pub fn decode_slice<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

impl SliceName {
    /// Returns a hash that identifies the name in change notes.
    ///
    /// A collision of two names costs only an unnecessary request to a peer.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let (kind, name) = match self {
            Self::Deployment => ("d", ""),
            Self::ServiceNames => ("n", ""),
            Self::Service(service) => ("s", service.as_str()),
            Self::Members(service) => ("m", service.as_str()),
        };
        xxh3_64(format!("{kind}\0{name}").as_bytes())
    }
}

impl BulkRequest {
    /// Encodes the request.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too long, has another format version, or is
    /// malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        codec::decode(bytes, MAX_BULK_BYTES, "bulk request")
    }
}

impl BulkAnswer {
    /// Encodes the answer.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too long, has another format version, or is
    /// malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        codec::decode(bytes, MAX_BULK_BYTES, "bulk answer")
    }
}
