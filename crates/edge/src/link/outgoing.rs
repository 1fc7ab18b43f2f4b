//! A call on its way to a gate: what is sent at once and what is kept back.

use bytes::Bytes;
use hornbeamhitch_wire::link::{CallId, INLINE_BODY_BYTES, ToGate};

use crate::prelude::*;

/// A call as it is sent to a gate.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// What the gate decides by.
    pub terms: CallTerms,
    /// The request.
    pub head: CallHead,
    /// Its whole body.
    pub body: Bytes,
    /// The gate is likely to refuse it, so only its terms are sent at first.
    pub offers_terms_first: bool,
}

/// What of a call is sent only when the gate wants it.
#[derive(Default)]
pub(super) struct DeferredContent {
    pub(super) head: Option<CallHead>,
    pub(super) body: Bytes,
}

/// The first frame of a call, and what is kept back from it.
pub(super) fn call_frame(id: CallId, call: OutgoingCall) -> (ToGate, DeferredContent) {
    let OutgoingCall {
        terms,
        head,
        body,
        offers_terms_first,
    } = call;
    let body_bytes = body.len() as u64;
    if offers_terms_first {
        let deferred = DeferredContent {
            head: Some(head),
            body,
        };
        let frame = ToGate::Offer {
            id,
            terms,
            body_bytes,
        };
        return (frame, deferred);
    }
    let (inline, deferred) = if body.len() <= INLINE_BODY_BYTES {
        (body, DeferredContent::default())
    } else {
        (Bytes::new(), DeferredContent { head: None, body })
    };
    let frame = ToGate::Call {
        id,
        terms,
        head,
        body_bytes,
        body: inline,
    };
    (frame, deferred)
}
