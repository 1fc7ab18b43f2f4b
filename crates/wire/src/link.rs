//! Frames on the link between an entry and a gate.
//!
//! A link is one TCP connection that carries many calls at once. Each frame is
//! a length of four bytes (little endian) and a message in `postcard`. Bodies
//! travel in parts, so that a large one does not hold up the calls beside it.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hornbeamhitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::error::WireError;

#[cfg(test)]
mod tests;

/// Bytes of a body that travel in one frame.
pub const BODY_PART_BYTES: usize = 32 * 1024;
/// A body up to this size travels with its call. A longer one is kept back until
/// the gate has a slot for the call: most gates that are asked refuse, and
/// between data centres each byte that was sent for nothing costs.
pub const INLINE_BODY_BYTES: usize = 1024;
/// A longer frame is an error: a head of 64 KiB, one body part and room for
/// the fields.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
const LENGTH_BYTES: usize = 4;

/// One header field of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Name as it was sent.
    pub name: String,
    /// Value as it was sent.
    pub value: Bytes,
}

/// Number of a call on its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A request as its target is to see it, body apart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Method.
    pub method: String,
    /// Path and query as they came.
    pub path: String,
    /// End-to-end header fields in their order.
    pub fields: Vec<HeaderField>,
}

/// What the gate needs to decide about a call. Spans count from the arrival of
/// the frame, so that no two clocks need agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTerms {
    /// Id of the life of the target that must run it.
    pub target_id: String,
    /// The caller's id of the request; the target echoes it.
    pub request_id: String,
    /// Fleet-wide key of this send; a gate runs a key at most once.
    pub key: CallKey,
    /// Hash of what the request has in common with its next sending.
    pub fingerprint: u64,
    /// Running it more than once is harmless.
    pub idempotent: bool,
    /// Rank of its route; 0 goes first.
    pub priority: u8,
    /// Mean run time of its route at usual speed.
    pub work_ms: Millis,
    /// It may wait at the gate this long.
    pub hold_ms: Millis,
    /// Its caller is served well if it ends within this span.
    pub objective_ms: Millis,
    /// That span for a call whose caller asks for the first time.
    pub whole_objective_ms: Millis,
    /// After this span a slow target is better than none.
    pub slow_after_ms: Millis,
    /// It must have ended within this span.
    pub deadline_ms: Millis,
    /// How much of this run repeats an earlier one, in percent: 100 for a retry or a
    /// hedge, and the expected part for a call that a repeated run may have made.
    pub repeated_percent: u8,
}

/// An answer of a target, body apart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Status.
    pub status: u16,
    /// End-to-end header fields in their order.
    pub fields: Vec<HeaderField>,
    /// Time from the start of the run to the whole answer.
    pub run_ms: Millis,
}

/// What one node tells others about a request that may crash targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNotice {
    /// Hash of what the request has in common with its next sending.
    pub fingerprint: u64,
    /// Count of observations that led here; a higher one overrides.
    pub version: u32,
    /// `clear`, `suspect` or `convicted`.
    pub standing: String,
    /// Crashes since it last ran well.
    pub crashes: u8,
    /// Time since the observation.
    pub age_ms: Millis,
}

/// Why a call ended at the gate without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallEnd {
    /// The gate takes no new work. Not run.
    Leaving,
    /// The target cannot be reached. Not run.
    Down,
    /// The target is in a slow spell. Not run.
    Slow,
    /// No slot is free soon enough. Not run.
    Busy,
    /// The deadline would pass first. Not run.
    Late,
    /// The request crashed targets before and is refused everywhere. Not run.
    Convicted,
    /// The target stated that it did not run the request.
    Shed,
    /// Another life of a target has the address. Not run.
    Misdirected,
    /// The key was asked about before it had started, and now never will.
    Fenced,
    /// The connection to the target broke, or it sent no valid answer, after
    /// the request was sent. It may have run.
    Broken,
    /// The deadline passed during the run. It may have run.
    TimedOut,
}

impl CallEnd {
    /// Whether the request certainly did not run and never will.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        !matches!(self, Self::Broken | Self::TimedOut)
    }

    /// Whether the target itself was reached, so that it counts as an arrival.
    #[must_use]
    pub const fn reached_target(self) -> bool {
        matches!(
            self,
            Self::Shed | Self::Misdirected | Self::Broken | Self::TimedOut
        )
    }
}

/// From an entry to a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToGate {
    /// A call with its body, or with nothing of a body that is kept back until
    /// [`ToEntry::WantsBody`].
    Call {
        /// Its number on this link.
        id: CallId,
        /// Terms.
        terms: CallTerms,
        /// The request.
        head: CallHead,
        /// Bytes of the whole body.
        body_bytes: u64,
        /// The whole body, or nothing.
        body: Bytes,
    },
    /// The terms of a call alone, for a gate that is likely to refuse it. Its head and
    /// body are kept back until [`ToEntry::WantsBody`].
    Ask {
        /// Its number on this link.
        id: CallId,
        /// Terms.
        terms: CallTerms,
        /// Bytes of the whole body.
        body_bytes: u64,
    },
    /// The head that [`Self::Ask`] kept back; its body follows.
    Head {
        /// The call.
        id: CallId,
        /// The request.
        head: CallHead,
    },
    /// A part of a body that the gate has asked for.
    Body {
        /// The call.
        id: CallId,
        /// The next part.
        part: Bytes,
    },
    /// The caller has left, or another attempt won. A non-idempotent call that
    /// has started goes on.
    Cancel {
        /// The call.
        id: CallId,
    },
    /// What became of a key that was sent over a link that broke? One that has
    /// not started never will.
    Fence {
        /// Number for the answer.
        id: CallId,
        /// The key.
        key: CallKey,
    },
    /// Something was learnt about a request that may crash targets.
    Suspect(SuspectNotice),
    /// What the entry knows of routes and targets, for a gate that asked.
    Facts(Bytes),
    /// Are you there?
    Ping,
    /// A subscription: tell what changed after this revision of the platform's
    /// list, now and from now on.
    Follow {
        /// Up to this revision everything is known.
        revision: u64,
    },
}

/// From a gate to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// First frame of a link: this life of the gate.
    Hello {
        /// Which life.
        incarnation: Incarnation,
    },
    /// The call has a slot; what was kept back of it is wanted now.
    WantsBody {
        /// The call.
        id: CallId,
    },
    /// The call was sent to the target.
    Started {
        /// The call.
        id: CallId,
        /// Time that work took there just before, in percent of the usual.
        slowness_percent: u32,
    },
    /// The target's answer; `body_bytes` in all, the first part of them here.
    Answered {
        /// The call.
        id: CallId,
        /// Its head.
        head: AnswerHead,
        /// Bytes of the whole body.
        body_bytes: u64,
        /// The first part.
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
        /// How.
        end: CallEnd,
    },
    /// Something was learnt about a request that may crash targets.
    Suspect(SuspectNotice),
    /// This node knows no configuration and cannot read any.
    WantsFacts,
    /// I am.
    Pong,
    /// One change of routes or targets, for a subscriber. It counts once
    /// [`Self::KnownTo`] follows.
    Change(Bytes),
    /// Every change up to this revision was told. Sent again when there is
    /// nothing to tell, so that silence means trouble.
    KnownTo {
        /// The revision.
        revision: u64,
        /// The reader's own last read failed.
        last_read_failed: bool,
        /// So long ago this was all that the source had published.
        age_ms: Millis,
    },
    /// This node is no reader, or no longer knows what came after the revision.
    NoFeed,
}

/// Appends a message as a frame.
///
/// # Errors
///
/// [`WireError::TooLong`] when the message exceeds [`MAX_FRAME_BYTES`].
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

/// Takes the first whole message out of what was read; `None` when more bytes
/// are needed.
///
/// # Errors
///
/// A frame that is too long or no message: the link is of no use any more.
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
