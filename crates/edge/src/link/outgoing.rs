//! Outgoing calls: which part is sent at once and which is deferred until the gate
//! requests it.

use bytes::Bytes;
use hornbeamhitch_wire::link::{CallId, INLINE_BODY_BYTES, ToGate};

use crate::prelude::*;

/// A call to a gate.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// The values that the gate's admission uses.
    pub terms: CallTerms,
    /// Head of the request.
    pub head: CallHead,
    /// The whole body of the request.
    pub body: Bytes,
    /// Whether only the terms are sent at first, because the gate is likely to refuse
    /// the call.
    pub offers_terms_first: bool,
    /// Whether the gate is to report its load.
    pub wants_load: bool,
    /// Demand to report to the gate before the call.
    pub demand: Option<DemandReport>,
}

/// The part of a call that is sent only when the gate requests it.
#[derive(Default)]
pub(super) struct DeferredContent {
    pub(super) head: Option<CallHead>,
    pub(super) body: Bytes,
}

impl DeferredContent {
    /// Whether the gate still lacks a part of the call, so that it cannot start it.
    pub(super) fn is_outstanding(&self) -> bool {
        self.head.is_some() || !self.body.is_empty()
    }
}

/// Returns the first frame of a call and the part that is deferred.
pub(super) fn call_frame(id: CallId, call: OutgoingCall) -> (ToGate, DeferredContent) {
    let OutgoingCall {
        terms,
        head,
        body,
        offers_terms_first,
        ..
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
