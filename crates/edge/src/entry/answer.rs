//! Answers to callers.

use bytes::Bytes;

use crate::prelude::*;

/// An answer with its whole body in hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerAnswer {
    /// Status.
    pub status: u16,
    /// End-to-end header fields.
    pub fields: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
}

impl CallerAnswer {
    /// An answer of the system itself.
    #[must_use]
    pub fn plain(status: u16, message: &str) -> Self {
        Self {
            status,
            fields: vec![HeaderField {
                name: "Content-Type".to_owned(),
                value: Bytes::from_static(b"text/plain"),
            }],
            body: Bytes::from(format!("{message}\n")),
        }
    }
}

/// Status of a refusal: not run, and never will be.
const NOT_RUN_STATUS: u16 = 503;

/// An answer with what led to it.
#[derive(Clone, Debug)]
pub(super) struct CallOutcome {
    pub(super) code: ResultCode,
    /// What decided, for the log.
    pub(super) reason: &'static str,
    pub(super) answer: CallerAnswer,
}

impl CallOutcome {
    /// The target's own answer.
    pub(super) fn answered(head: AnswerHead, body: Bytes) -> Self {
        Self {
            code: ResultCode::Answered,
            reason: "",
            answer: CallerAnswer {
                status: head.status,
                fields: head.fields,
                body,
            },
        }
    }

    /// A refusal or failure that coming back does not change.
    pub(super) fn fixed(code: ResultCode) -> Self {
        Self {
            code,
            reason: "",
            answer: CallerAnswer::plain(code.http_status(), &code.to_string()),
        }
    }

    /// A refusal of a request that has not run, with when to come back: in
    /// seconds with a fraction, because here a second is an age.
    pub(super) fn refused(code: ResultCode, retry_after_ms: Millis) -> Self {
        let mut outcome = Self::fixed(code);
        // Whatever the code means elsewhere: to these callers 503 says that the
        // request has not run, and that it may come back.
        outcome.answer.status = NOT_RUN_STATUS;
        let seconds = format!("{:.3}", retry_after_ms.0 as f64 / 1_000.0);
        outcome.answer.fields.push(HeaderField {
            name: "Retry-After".to_owned(),
            value: Bytes::from(seconds),
        });
        outcome
    }

    /// Whether its caller may ask again: it was refused, or something failed.
    pub(super) const fn may_be_retried(&self) -> bool {
        self.answer.status >= 500
    }

    /// The same with what decided.
    pub(super) const fn with_reason(mut self, reason: &'static str) -> Self {
        self.reason = reason;
        self
    }
}
