//! Control messages over UDP.

use std::net::SocketAddr;

use hornbeamhitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::codec::{self, MAX_DATAGRAM_BYTES};
use super::member::{ListVersion, MemberDigest, MemberNote};
use crate::error::WireError;

/// One control message over UDP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender with its incarnation.
    pub from: MemberDigest,
    /// Document versions at the sender.
    pub known: KnownVersions,
    /// The message itself.
    pub body: DatagramBody,
}

/// Versions that a node has of the two documents published by the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Configuration in force, or zero for none.
    pub text: ConfigVersion,
    /// VM list, or zero for none.
    pub vms: ListVersion,
    /// The node has every slice of the configuration.
    pub text_whole: bool,
    /// The node has every slice of the VM list.
    pub vms_whole: bool,
}

/// The kinds of control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramBody {
    /// Sent periodically to a constant number of peers.
    Heartbeat(Heartbeat),
    /// Sent at once when the sender has advanced to a newer version.
    Announce {
        /// Latest changes of the configuration, oldest first.
        text_notes: Vec<ChangeNote>,
        /// Latest changes of the VM list, oldest first.
        vms_notes: Vec<ChangeNote>,
    },
    /// Sent at once when the sender starts to leave.
    Leaving,
    /// Requests the state of a gate.
    Probe {
        /// Returned with the reply.
        nonce: u64,
    },
    /// The reply to [`DatagramBody::Probe`]. The load is in `from`.
    ProbeReply {
        /// The nonce of the probe.
        nonce: u64,
    },
    /// Sent at once when a request is suspected of crashing targets.
    Suspicion {
        /// Suspected requests.
        suspects: Vec<SuspectNote>,
    },
}

/// The periodic exchange of state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The recipient is asked to reply with a heartbeat.
    pub wants_reply: bool,
    /// Latest changes of the configuration, oldest first.
    pub text_notes: Vec<ChangeNote>,
    /// Latest changes of the VM list, oldest first.
    pub vms_notes: Vec<ChangeNote>,
    /// Best reader candidates of the sender's data centre. Empty if the recipient is in
    /// another one.
    pub readers: Vec<ReaderNote>,
    /// Recently suspected requests.
    pub suspects: Vec<SuspectNote>,
    /// A rejected text that is newer than the one in force.
    pub refused: Option<RefusedNote>,
    /// Members that may be relevant to the recipient.
    pub members: Vec<MemberNote>,
}

/// The difference between two versions of a document.
///
/// A node at exactly `previous` that has none of the changed slices can advance to
/// `version` by this note alone. At any other version the note must not be applied,
/// because a slice may have changed and changed back in between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeNote {
    /// The later version.
    pub version: u64,
    /// The version with which it was compared.
    pub previous: u64,
    /// Hashes of the names of the changed slices; see `SliceName::hash`.
    pub changed: Vec<u64>,
}

/// A candidate for reading the platform, as relayed between the nodes of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderNote {
    /// The VM of the candidate.
    pub vm: VmId,
    /// Its address for control messages.
    pub control: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The candidate's own clock at the time of the statement. Later statements take
    /// precedence.
    pub clock_ms: Millis,
    /// Age of the statement.
    pub age_ms: Millis,
    /// The candidate currently reads the platform.
    pub reading: bool,
    /// Its reads fail or return stale versions, or it is leaving.
    pub failing: bool,
    /// It has every slice of the configuration and the VM list.
    pub whole: bool,
}

/// A rejected text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedNote {
    /// Version of the rejected text.
    pub version: ConfigVersion,
    /// The reason with line and column, truncated to [`RefusedNote::MAX_REASON_BYTES`].
    pub reason: String,
}

/// A suspicion against a request, as relayed between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNote {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Number of observations behind this entry. The higher number takes precedence.
    pub version: u32,
    /// 0 clear, 1 suspect, 2 convicted.
    pub standing: u8,
    /// Crashes since the request was last cleared.
    pub crashes: u8,
    /// Age of the entry.
    pub age_ms: Millis,
}

impl RefusedNote {
    /// Maximum length of the reason in a datagram.
    pub const MAX_REASON_BYTES: usize = 160;

    /// Creates a note and truncates the reason to its maximum length.
    #[must_use]
    pub fn new(version: ConfigVersion, reason: &str) -> Self {
        let mut end = reason.len().min(Self::MAX_REASON_BYTES);
        while !reason.is_char_boundary(end) {
            end -= 1;
        }
        Self {
            version,
            reason: reason[..end].to_owned(),
        }
    }
}

impl Datagram {
    /// Encodes the datagram. If it is too long, members are dropped first and then notes.
    ///
    /// Names in settings are short, so a datagram with empty lists always fits. If one
    /// does not fit, it is sent nevertheless and its recipient rejects it.
    #[must_use]
    pub fn encode(mut self) -> Vec<u8> {
        loop {
            let bytes = codec::encode(&self);
            if bytes.len() <= MAX_DATAGRAM_BYTES || !self.shorten() {
                return bytes;
            }
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too long, has another format version, or is
    /// malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        codec::decode(bytes, MAX_DATAGRAM_BYTES, "datagram")
    }

    /// Drops the least important item. Returns false if there is nothing left to drop.
    fn shorten(&mut self) -> bool {
        match &mut self.body {
            DatagramBody::Heartbeat(heartbeat) => heartbeat.shorten(),
            DatagramBody::Announce {
                text_notes,
                vms_notes,
            } => drop_oldest(vms_notes) || drop_oldest(text_notes),
            DatagramBody::Suspicion { suspects } => suspects.pop().is_some(),
            DatagramBody::Leaving
            | DatagramBody::Probe { .. }
            | DatagramBody::ProbeReply { .. } => false,
        }
    }
}

impl Heartbeat {
    fn shorten(&mut self) -> bool {
        self.members.pop().is_some()
            || drop_oldest(&mut self.vms_notes)
            || drop_oldest(&mut self.text_notes)
            || self.suspects.pop().is_some()
            || self.refused.take().is_some()
            || self.readers.pop().is_some()
    }
}

fn drop_oldest(notes: &mut Vec<ChangeNote>) -> bool {
    if notes.is_empty() {
        return false;
    }
    notes.remove(0);
    true
}
