//! Outcome of one call, as its caller sees it.

use crate::prelude::*;

/// What a caller knows about its call in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The call ran, and the caller has the complete answer.
    Answered,
    /// The call certainly did not run.
    NotRun,
    /// The caller cannot tell whether the call ran.
    Unknown,
}

/// Record of one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallRecord {
    /// The caller's identifier of the call.
    pub nonce: String,
    /// Index of the kind of call in the plan.
    pub kind: usize,
    /// Tenant of the call, if it has one.
    pub tenant: Option<String>,
    /// What the caller knows in the end.
    pub verdict: Verdict,
    /// HTTP status of the last answer.
    pub status: Option<u16>,
    /// `hitch-code` of the last answer.
    pub code: Option<u16>,
    /// Whether the answer differs from the only correct answer to this request.
    pub wrong_answer: bool,
    /// Tries (see `standin-try`) that did not run, as the caller was told or can
    /// conclude.
    pub not_run_tries: Vec<u64>,
    /// Result codes of all answers in order; 0 stands for an answer without a code.
    pub codes: Vec<u16>,
    /// Number of requests sent.
    pub sends: u32,
    /// Number of tickets used.
    pub tickets: u32,
    /// Number of requests that ended without a complete answer.
    pub broken_sends: u32,
    /// Time from the intended start to the end, in microseconds.
    pub latency_us: u64,
    /// Time from the first send to the end, in microseconds.
    pub from_send_us: u64,
}
