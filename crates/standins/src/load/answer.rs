//! Interprets answers of nodes and targets as the documented protocol requires of
//! callers.

use crate::http_client::WholeAnswer;
use crate::http_server::{header_number, header_text};
use crate::prelude::*;

/// What an answer means to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Meaning {
    pub(super) code: Option<u16>,
    pub(super) kind: AnswerKind,
    /// Delay before the next send, if the answer specifies one.
    pub(super) wait: Option<Duration>,
    /// A ticket for the next try.
    pub(super) next_ticket: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AnswerKind {
    Answered,
    /// Nothing has run; the request must be sent to this path.
    Redirect(String),
    NotRun,
    /// Not run, and a retry would not help.
    Refused,
    NotYet,
    TicketDead,
    Pending,
    Unknown,
}

/// Interprets an answer of a node.
pub(super) fn from_node(answer: &WholeAnswer) -> Meaning {
    let headers = &answer.headers;
    let number = header_number(headers, header::CODE);
    let number = number.and_then(|number| u16::try_from(number).ok());
    Meaning {
        code: number,
        kind: kind_of(number.and_then(ResultCode::from_number), headers),
        wait: wait_of(headers),
        next_ticket: header_text(headers, header::NEXT_TICKET).map(str::to_owned),
    }
}

/// Interprets an answer of a target that was called directly.
pub(super) fn from_target(answer: &WholeAnswer) -> Meaning {
    let kind = match answer.headers.contains_key(header::NOT_RUN) {
        true => AnswerKind::NotRun,
        false => AnswerKind::Answered,
    };
    Meaning {
        code: None,
        kind,
        wait: wait_of(&answer.headers),
        next_ticket: None,
    }
}

fn kind_of(code: Option<ResultCode>, headers: &HeaderMap) -> AnswerKind {
    let Some(code) = code else {
        // The answer does not follow the protocol of nodes, so nothing is certain.
        return AnswerKind::Unknown;
    };
    match code {
        ResultCode::TicketNeeded => {
            let location = header_text(headers, http::header::LOCATION.as_str());
            return location.map_or(AnswerKind::Unknown, |url| {
                AnswerKind::Redirect(path_of(url))
            });
        }
        ResultCode::CrashSuspect
        | ResultCode::TooLarge
        | ResultCode::KeyReused
        | ResultCode::UnknownService => return AnswerKind::Refused,
        _ => {}
    }
    match code.certainty() {
        Certainty::Answered => AnswerKind::Answered,
        Certainty::NotRun => AnswerKind::NotRun,
        Certainty::NotYet => AnswerKind::NotYet,
        Certainty::TicketDead => AnswerKind::TicketDead,
        Certainty::Pending => AnswerKind::Pending,
        Certainty::Unknown => AnswerKind::Unknown,
    }
}

/// Returns the path and query of a URL; they are valid at any entry.
fn path_of(url: &str) -> String {
    let Ok(uri) = url.parse::<http::Uri>() else {
        return url.to_owned();
    };
    uri.path_and_query()
        .map_or_else(|| url.to_owned(), |path| path.as_str().to_owned())
}

fn wait_of(headers: &HeaderMap) -> Option<Duration> {
    if let Some(wait_ms) = header_number(headers, header::RETRY_AFTER_MS) {
        return Some(Duration::from_millis(wait_ms));
    }
    let wait_s = header_number(headers, http::header::RETRY_AFTER.as_str());
    wait_s.map(Duration::from_secs)
}
