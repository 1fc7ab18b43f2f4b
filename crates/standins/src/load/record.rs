//! What became of one call, as its caller was told.

use crate::prelude::*;

/// What a caller ends up knowing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It ran, and this caller has its whole answer.
    Answered,
    /// It certainly did not run.
    NotRun,
    /// Nobody can tell whether it ran.
    Unknown,
}

/// One call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallRecord {
    /// The caller's name of the call.
    pub nonce: String,
    /// Index of its kind in the plan.
    pub kind: usize,
    /// Its tenant, if it has one.
    pub tenant: Option<String>,
    /// What the caller ends up knowing.
    pub verdict: Verdict,
    /// Status of the last answer.
    pub status: Option<u16>,
    /// `hitch-code` of the last answer.
    pub code: Option<u16>,
    /// The answer was not the one right answer to this request.
    pub wrong_answer: bool,
    /// Tries (see `standin-try`) of which the caller was told, or may conclude,
    /// that they did not run.
    pub not_run_tries: Vec<u64>,
    /// Codes of all answers in order; 0 stands for an answer without a code.
    pub codes: Vec<u16>,
    /// Requests sent.
    pub sends: u32,
    /// Tickets used.
    pub tickets: u32,
    /// Requests that ended without a whole answer.
    pub broken_sends: u32,
    /// From the intended start to the end.
    pub latency_us: u64,
    /// From the first send to the end.
    pub from_send_us: u64,
}
