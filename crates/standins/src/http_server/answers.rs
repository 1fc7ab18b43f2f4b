//! Construction of answers.

use std::convert::Infallible;
use std::fmt;

use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use crate::prelude::*;

/// Body of an answer. An error of the body cuts the answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyCut>;

/// An HTTP answer of a stand-in.
pub type Answer = Response<AnswerBody>;

/// The error with which a body cuts its answer.
#[derive(Clone, Copy, Debug)]
pub struct BodyCut;

impl fmt::Display for BodyCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was cut on request")
    }
}

impl std::error::Error for BodyCut {}

/// Creates an answer with a text body.
#[must_use]
pub fn text_answer(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(whole_body(text.into()));
    *answer.status_mut() = status;
    answer
}

/// Creates an answer with a JSON body.
#[must_use]
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let text = serde_json::to_vec(value).expect("stand-ins answer with plain data");
    let mut answer = text_answer(status, text);
    let json = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    answer
}

/// Creates a body that is sent completely.
#[must_use]
pub fn whole_body(bytes: Bytes) -> AnswerBody {
    let never = |error: Infallible| match error {};
    UnsyncBoxBody::new(Full::new(bytes).map_err(never))
}
