//! Messages on the link between an entry and a gate, and their framing.
//!
//! A link is one TCP connection that multiplexes many calls. Each frame is a length of
//! four bytes (little endian), followed by a message that is encoded with `postcard`.
//! Bodies are sent in parts, so that a large body does not block other calls.
//!
//! `postcard` writes no names: the order of fields and variants is the protocol.

use std::net::IpAddr;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hornbeamhitch_types::crash::CrashNotice;
use hornbeamhitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::error::WireError;

#[cfg(test)]
mod tests;

/// Limit on the bytes of a body in one frame.
pub const BODY_PART_BYTES: usize = 32 * 1024;
/// Limit on the size of a body that is sent together with its call.
///
/// A longer body is deferred until the gate has a slot for the call. Most gates that are
/// tried refuse the call, and a body that is sent to no effect costs bandwidth between
/// data centres.
pub const INLINE_BODY_BYTES: usize = 1024;
/// Limit on the size of a frame: a head of 64 KiB, one body part, and room for the
/// other fields.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
const LENGTH_BYTES: usize = 4;

/// One header field of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Name as received.
    pub name: String,
    /// Value as received.
    pub value: Bytes,
}

/// Identifier of a call on its link. The entry assigns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A request without its body, as the target receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// HTTP method.
    pub method: String,
    /// Path and query as received.
    pub path: String,
    /// End-to-end header fields in their original order.
    pub fields: Vec<HeaderField>,
}

/// The properties of a call that the gate's admission uses.
///
/// Durations count from the arrival of the frame, so that the clocks of entry and gate
/// need not agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTerms {
    /// Id of the target incarnation that must run the call.
    pub target_id: String,
    /// The caller's request id, which the target echoes.
    pub request_id: String,
    /// Fleet-wide key of this attempt. A gate runs a key at most once.
    pub key: CallKey,
    /// Hash of the parts of the request that do not change when it is sent again.
    pub fingerprint: u64,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Priority of the route. 0 is the highest.
    pub priority: u8,
    /// Mean run time of the route's calls at the target's usual speed.
    pub work_ms: Millis,
    /// Limit on the time in the gate's queue.
    pub max_queue_ms: Millis,
    /// Time within which the call must end to meet its latency objective.
    pub objective_ms: Millis,
    /// Value of `objective_ms` for a request that its caller sends for the first time.
    pub whole_objective_ms: Millis,
    /// Time after which a slow target is accepted rather than none.
    pub slow_after_ms: Millis,
    /// Time until the deadline of the call.
    pub deadline_ms: Millis,
    /// The part of this run that repeats an earlier one, in percent: 100 for a retry or a
    /// hedge, and an expected value for a call that a repeated run may have made.
    pub repeated_percent: u8,
    /// What the target last stated about itself to the entry.
    pub notice: TargetNotice,
}

/// An answer of a target, without its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// End-to-end header fields in their original order.
    pub fields: Vec<HeaderField>,
    /// Time from the start of the run to the end of the answer.
    pub run_ms: Millis,
    /// What the target states about itself in this answer.
    pub notice: TargetNotice,
}

/// What earlier versions sent about a request that may crash targets. It is ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNotice {
    /// Hash of the parts of the request that do not change when it is sent again.
    pub fingerprint: u64,
    /// Number of observations of the request; a notice with a higher one wins.
    pub version: u32,
    /// `clear`, `suspect` or `convicted`.
    pub standing: String,
    /// Number of crashes since the request last ran without one.
    pub crashes: u8,
    /// Time since the observation.
    pub age_ms: Millis,
}

/// Why a call ended at the gate without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallEnd {
    /// The gate is leaving and accepts no new calls. The call did not run.
    Leaving,
    /// The target is unreachable. The call did not run.
    Down,
    /// The target is slow at the moment. The call did not run.
    Slow,
    /// No slot is free soon enough. The call did not run.
    Busy,
    /// The deadline would pass before the call ends. The call did not run.
    Late,
    /// The request has crashed targets and is refused by all gates. The call did not run.
    Convicted,
    /// The target stated that it did not run the request.
    Shed,
    /// Another incarnation of a target has the address. The call did not run.
    Misdirected,
    /// The key was fenced before the call started, so the call will never run.
    Fenced,
    /// After the request was sent, the connection to the target broke or the answer was
    /// invalid. The call may have run.
    Broken,
    /// The deadline passed during the run. The call may have run.
    TimedOut,
    /// The target is warming up and receives no more requests now. The call did not run.
    WarmingUp {
        /// Time after which the target may receive the next request.
        free_in_ms: Millis,
    },
    /// The target states a limit on its requests and receives no more now. The call did not
    /// run.
    RateLimited {
        /// Time after which the target may receive the next request.
        free_in_ms: Millis,
    },
}

impl CallEnd {
    /// Whether it is certain that the request did not run and never will.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        !matches!(self, Self::Broken | Self::TimedOut)
    }

    /// Whether the request reached the target, so that it counts as an arrival there.
    #[must_use]
    pub const fn reached_target(self) -> bool {
        matches!(
            self,
            Self::Shed | Self::Misdirected | Self::Broken | Self::TimedOut
        )
    }
}

/// A request for parts of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsRequest {
    /// The requesting node, to which other nodes may be referred.
    pub node: IpAddr,
    /// The parts.
    pub digests: Vec<PartDigest>,
    /// Whether the requester lacks no other parts of the configuration.
    pub is_last: bool,
}

/// A message from an entry to a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToGate {
    /// A call with its whole body, or without a body that is deferred until
    /// [`ToEntry::WantsContent`].
    Call {
        /// Id of the call on this link.
        id: CallId,
        /// Properties for admission.
        terms: CallTerms,
        /// Head of the request.
        head: CallHead,
        /// Length of the whole body.
        body_bytes: u64,
        /// The whole body, or empty if it is deferred.
        body: Bytes,
    },
    /// The terms of a call alone, for a gate that is likely to refuse the call. Head and
    /// body are deferred until [`ToEntry::WantsContent`].
    Offer {
        /// Id of the call on this link.
        id: CallId,
        /// Properties for admission.
        terms: CallTerms,
        /// Length of the whole body.
        body_bytes: u64,
    },
    /// The head that [`Self::Offer`] deferred. The body follows.
    Head {
        /// The call.
        id: CallId,
        /// Head of the request.
        head: CallHead,
    },
    /// A part of a deferred body.
    Body {
        /// The call.
        id: CallId,
        /// The next part.
        part: Bytes,
    },
    /// Cancels a call whose caller has left or for which another attempt won. A
    /// non-idempotent call that has started continues.
    Cancel {
        /// The call.
        id: CallId,
    },
    /// Requests the outcome of a key that was sent over a broken link, and fences the
    /// key: if its call has not started, it never will.
    Fence {
        /// Id for the answer.
        id: CallId,
        /// The key.
        key: CallKey,
    },
    /// Sent by earlier versions and ignored.
    Suspect(SuspectNotice),
    /// The routes and targets that the entry knows, in answer to
    /// [`ToEntry::WantsFacts`].
    Facts(Bytes),
    /// Liveness check, answered by [`ToEntry::Pong`].
    Ping,
    /// Subscribes to the changes of routes and targets after a revision of the source.
    Subscribe {
        /// The subscriber knows all changes up to this revision.
        revision: Revision,
    },
    /// Requests parts of a configuration, answered by [`ToEntry::Part`] for some of them and
    /// then [`ToEntry::PartsEnd`].
    FetchParts(PartsRequest),
    /// A part of facts that exceed one frame, in answer to [`ToEntry::WantsFacts`].
    FactsPart {
        /// Digest of the whole encoded facts.
        digest: PartDigest,
        /// Length of the whole encoded facts.
        whole_bytes: u64,
        /// The next part.
        part: Bytes,
    },
    /// The crashes in which a request was in flight.
    Crashes(CrashNotice),
    /// A node reads the source, which the receiver cannot, and accepts it as a subscriber.
    OfferFeed {
        /// The node that reads.
        node: IpAddr,
    },
    /// Work that has entered at the sender for the receiver's service.
    Demand(DemandReport),
    /// The silent VMs that the sender knows of.
    Silence(SilenceReport),
    /// The entry has memory for the rest of an answer, and requests it.
    WantsRest {
        /// The call.
        id: CallId,
    },
}

/// A message from a gate to an entry or a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// First frame of a link.
    Hello {
        /// Incarnation of the gate's process.
        incarnation: Incarnation,
    },
    /// The call has a slot, and the gate requests the deferred head and body.
    WantsContent {
        /// The call.
        id: CallId,
    },
    /// The call was sent to the target.
    Started {
        /// The call.
        id: CallId,
        /// Recent run time at the target, in percent of the usual one.
        slowness_percent: u32,
    },
    /// The target's answer with the first part of its body. The rest is deferred until
    /// [`ToGate::WantsRest`].
    Answered {
        /// The call.
        id: CallId,
        /// Head of the answer.
        head: AnswerHead,
        /// Length of the whole body.
        body_bytes: u64,
        /// The first part of the body.
        part: Bytes,
    },
    /// A further part of an answer's body.
    Body {
        /// The call.
        id: CallId,
        /// The next part.
        part: Bytes,
    },
    /// The call ended without an answer.
    Ended {
        /// The call.
        id: CallId,
        /// The reason.
        end: CallEnd,
    },
    /// Sent by earlier versions and ignored.
    Suspect(SuspectNotice),
    /// This node has no configuration, cannot read one, and requests
    /// [`ToGate::Facts`].
    WantsFacts,
    /// Answer to [`ToGate::Ping`].
    Pong,
    /// One change of routes or targets, for a subscriber. It takes effect with the next
    /// [`Self::Progress`].
    Change(Bytes),
    /// All changes up to this revision were sent. It is repeated as a heartbeat while
    /// nothing changes, so that its absence indicates a fault.
    Progress {
        /// The revision.
        revision: Revision,
        /// The last read of the source by this node failed.
        last_read_failed: bool,
        /// Time since the source is known to have published nothing newer.
        age_ms: Millis,
    },
    /// This node does not read the source, or no longer has the changes after the
    /// subscriber's revision.
    FeedUnavailable,
    /// A requested part of a configuration.
    Part(Bytes),
    /// No further part follows in answer to a request.
    PartsEnd {
        /// Another node that has the parts or receives them now.
        referral: Option<IpAddr>,
    },
    /// The crashes in which a request was in flight.
    Crashes(CrashNotice),
    /// Precedes a [`Self::Progress`] whose age grows because a long answer of the source is
    /// arriving, not because the source is silent.
    ReceivingAnswer,
    /// The call has arrived and neither started nor ended within a short time.
    Received {
        /// The call.
        id: CallId,
    },
    /// Load of the gate's target, before another event of the call.
    Load {
        /// The call.
        id: CallId,
        /// The load.
        load: GateLoad,
    },
    /// The silent VMs that the sender knows of.
    Silence(SilenceReport),
}

/// Appends a message as a frame.
///
/// # Errors
///
/// [`WireError::TooLong`] if the encoded message exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(message: &T, into: &mut BytesMut) -> Result<(), WireError> {
    let encoded = postcard::to_stdvec(message).map_err(|error| WireError::Malformed {
        what: "link frame",
        reason: error.to_string(),
    })?;
    if encoded.len() > MAX_FRAME_BYTES {
        return Err(WireError::TooLong {
            found_bytes: encoded.len(),
            limit_bytes: MAX_FRAME_BYTES,
        });
    }
    into.reserve(LENGTH_BYTES + encoded.len());
    into.put_u32_le(u32::try_from(encoded.len()).expect("a frame is below 4 GiB"));
    into.put_slice(&encoded);
    Ok(())
}

/// Returns the length of the first frame, or `None` while it is not known.
#[must_use]
pub fn frame_bytes(from: &[u8]) -> Option<usize> {
    let length = from.first_chunk::<LENGTH_BYTES>()?;
    Some(LENGTH_BYTES + u32::from_le_bytes(*length) as usize)
}

/// Takes the first complete message out of the bytes that were read. Returns `None` when
/// more bytes are needed.
///
/// # Errors
///
/// The frame is too long or malformed. The link cannot be used any further.
pub fn decode<T: for<'de> Deserialize<'de>>(from: &mut BytesMut) -> Result<Option<T>, WireError> {
    let Some(length) = from.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(WireError::TooLong {
            found_bytes: length,
            limit_bytes: MAX_FRAME_BYTES,
        });
    }
    if from.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    from.advance(LENGTH_BYTES);
    let frame = from.split_to(length);
    let message = postcard::from_bytes(&frame).map_err(|error| WireError::Malformed {
        what: "link frame",
        reason: error.to_string(),
    })?;
    Ok(Some(message))
}
