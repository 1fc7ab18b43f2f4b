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
    /// The sender, with its incarnation.
    pub from: MemberDigest,
    /// What the sender holds.
    pub known: KnownVersions,
    /// The message itself.
    pub body: DatagramBody,
}

/// What a node holds of the two documents that the platform publishes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Configuration in force; zero for none.
    pub text: ConfigVersion,
    /// VM list; zero for none.
    pub vms: ListVersion,
    /// Every slice of the configuration is held.
    pub text_whole: bool,
    /// Every slice of the VM list is held.
    pub vms_whole: bool,
}

/// The kinds of control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramBody {
    /// Sent regularly to a constant number of peers.
    Heartbeat(Heartbeat),
    /// Sent at once when a newer version is held than before.
    Announce {
        /// Latest changes of the configuration, oldest first.
        text_notes: Vec<ChangeNote>,
        /// Latest changes of the VM list, oldest first.
        vms_notes: Vec<ChangeNote>,
    },
    /// Sent at once when the sender starts to leave.
    Leaving,
    /// Asks a gate how it is.
    Probe {
        /// Returned with the reply.
        nonce: u64,
    },
    /// The answer to [`DatagramBody::Probe`]; the load is in `from`.
    ProbeReply {
        /// As it stood in the probe.
        nonce: u64,
    },
    /// Sent at once when a request is suspected.
    Suspicion {
        /// What is held against requests.
        suspects: Vec<SuspectNote>,
    },
}

/// The regular exchange of what is known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The receiver is asked to answer with a heartbeat of its own.
    pub wants_reply: bool,
    /// Latest changes of the configuration, oldest first.
    pub text_notes: Vec<ChangeNote>,
    /// Latest changes of the VM list, oldest first.
    pub vms_notes: Vec<ChangeNote>,
    /// Best reader candidates of the sender's data centre.
    pub readers: Vec<ReaderNote>,
    /// Requests suspected lately.
    pub suspects: Vec<SuspectNote>,
    /// A text that was refused and is newer than the one in force.
    pub refused: Option<RefusedNote>,
    /// Members that the receiver may care about.
    pub members: Vec<MemberNote>,
}

/// What changed between two versions of a document.
///
/// A node that is at exactly `previous` and holds none of the changed slices
/// is at `version` by this note alone. At any other version the note proves
/// nothing: a slice may have changed and changed back in between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeNote {
    /// The later version.
    pub version: u64,
    /// The version that it was compared with.
    pub previous: u64,
    /// Hashes of the names of slices that differ; see `SliceName::hash`.
    pub changed: Vec<u64>,
}

/// A candidate for reading the platform, as a data centre's nodes tell it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderNote {
    /// The candidate.
    pub vm: VmId,
    /// Its address for control messages.
    pub control: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its own clock at the statement; later statements win.
    pub clock_ms: Millis,
    /// How long ago the statement was made.
    pub age_ms: Millis,
    /// It reads the platform at present.
    pub reading: bool,
    /// Its reads fail or bring stale versions.
    pub failing: bool,
    /// It holds every slice of the configuration and the VM list.
    pub whole: bool,
}

/// A text that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedNote {
    /// Version of the refused text.
    pub version: ConfigVersion,
    /// The reason with line and column, cut to [`RefusedNote::MAX_REASON_BYTES`].
    pub reason: String,
}

/// What is held against a request, as told on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNote {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Count of observations that led here; more of them win.
    pub version: u32,
    /// 0 clear, 1 suspect, 2 convicted.
    pub standing: u8,
    /// Crashes since it was last cleared.
    pub crashes: u8,
    /// How long ago this was found.
    pub age_ms: Millis,
}

impl RefusedNote {
    /// Longest reason in a datagram.
    pub const MAX_REASON_BYTES: usize = 160;

    /// Cuts the reason to what a datagram carries.
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
    /// Encodes, leaving out members and then notes that do not fit.
    ///
    /// Names in settings are short, so that a datagram without its lists always
    /// fits; should one not, it is still sent and refused by its receiver.
    #[must_use]
    pub fn encode(mut self) -> Vec<u8> {
        loop {
            let bytes = codec::encode(&self);
            if bytes.len() <= MAX_DATAGRAM_BYTES || !self.shorten() {
                return bytes;
            }
        }
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// One that is too long, of another format or malformed is refused.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        codec::decode(bytes, MAX_DATAGRAM_BYTES, "datagram")
    }

    /// Drops the least important item; false when nothing is left to drop.
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
