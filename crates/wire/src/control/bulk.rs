//! Control messages over TCP: slices of the configuration and the VM list.

use std::net::SocketAddr;

use hornbeamhitch_types::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::codec::{self, MAX_BULK_BYTES};
use super::datagram::{ChangeNote, KnownVersions, ReaderNote, RefusedNote};
use super::member::MemberNote;
use crate::error::WireError;

/// Who sent a bulk message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The VM of the sender.
    pub vm: VmId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its address for control messages.
    pub control: SocketAddr,
}

/// One part of a document; a node holds only the parts that it needs.
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

/// A slice that the asker holds or wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceClaim {
    /// Which slice.
    pub name: SliceName,
    /// Digest of the content held; `None` when none is.
    pub digest: Option<u64>,
}

/// What a node asks about one document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRequest {
    /// Version held; zero for none.
    pub version: u64,
    /// Slices held or wanted.
    pub claims: Vec<SliceClaim>,
    /// Slices that are not claimed are wanted as well.
    pub everything: bool,
}

/// Asks a peer for what changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BulkRequest {
    /// Who asks.
    pub from: Sender,
    /// About the configuration.
    pub text: DocumentRequest,
    /// About the VM list.
    pub vms: DocumentRequest,
}

/// The content of one slice, encoded by `postcard`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceBytes {
    /// Which slice.
    pub name: SliceName,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// What a peer answers about one document.
///
/// A claimed slice that is in none of the three lists is unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentReply {
    /// Version at the answerer, to which all content belongs.
    pub version: u64,
    /// Slices that differ from what was claimed.
    pub slices: Vec<SliceBytes>,
    /// Slices that do not exist at this version.
    pub gone: Vec<SliceName>,
    /// Slices that the answerer does not hold.
    pub missing: Vec<SliceName>,
    /// The answer, with what the asker holds, is the whole document.
    pub whole: bool,
    /// Latest changes, oldest first.
    pub notes: Vec<ChangeNote>,
}

/// Answers a [`BulkRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BulkAnswer {
    /// Who answers.
    pub from: Sender,
    /// What the answerer holds.
    pub known: KnownVersions,
    /// About the configuration.
    pub text: DocumentReply,
    /// About the VM list.
    pub vms: DocumentReply,
    /// Best reader candidates of the answerer's data centre.
    pub readers: Vec<ReaderNote>,
    /// A text that was refused and is newer than the one in force.
    pub refused: Option<RefusedNote>,
    /// Some members, so that a new node knows peers beyond its service.
    pub members: Vec<MemberNote>,
}

/// Digest by which two nodes compare the content of a slice.
///
/// Contents are compared and not the versions at which they changed, because
/// two nodes that skipped different versions disagree about the latter.
#[must_use]
pub fn digest_of(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Encodes the content of a slice.
#[must_use]
pub fn encode_slice<T: Serialize>(content: &T) -> Vec<u8> {
    postcard::to_stdvec(content).expect("no slice has a field that cannot be encoded")
}

/// Decodes the content of a slice; `None` when it is malformed.
#[must_use]
pub fn decode_slice<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

impl SliceName {
    /// Short form of the name for change notes.
    ///
    /// Two names that collide only cost a needless request to a peer.
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

    /// Reads a request.
    ///
    /// # Errors
    ///
    /// One that is too long, of another format or malformed is refused.
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

    /// Reads an answer.
    ///
    /// # Errors
    ///
    /// One that is too long, of another format or malformed is refused.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        codec::decode(bytes, MAX_BULK_BYTES, "bulk answer")
    }
}
