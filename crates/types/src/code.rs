//! Numbered result codes. They tell a caller how its request ended and what it
//! may do next.
//!
//! A test compares the table in `docs/callers/result-codes.md` with this file.
//! Numbers are never reused.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::{EnumIter, EnumString, IntoStaticStr, VariantArray};

/// What is known about whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Certainty {
    /// The target answered, and its answer is forwarded unchanged.
    Answered,
    /// The request did not run and, under this ticket, never will.
    NotRun,
    /// This attempt did not run. The ticket stays valid, so the request may be
    /// sent again with it.
    NotYet,
    /// This attempt did not run and its ticket can no longer be used. The request
    /// did not run if every send with the ticket was answered with this certainty
    /// or with [`Self::NotYet`].
    TicketDead,
    /// The request is still running. Sending it again with the same ticket fetches
    /// its answer.
    Pending,
    /// The system cannot tell whether the request ran.
    Unknown,
}

/// A numbered result, sent to callers in the `hitch-code` header.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    EnumIter,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum ResultCode {
    /// The answer comes from the target.
    Answered = 1000,
    /// The answer is the stored one of an earlier run with the same ticket.
    Replayed = 1001,
    /// A non-idempotent call was sent without a ticket; the `Location` header of
    /// the answer contains one.
    TicketNeeded = 1100,
    /// Every usable target is over its limits.
    Overloaded = 1101,
    /// The deadline cannot be met, or it passed before the request started.
    DeadlineTooShort = 1102,
    /// The target's gate is draining and accepts no new work.
    Leaving = 1103,
    /// No target of the service is known or usable.
    NoTarget = 1104,
    /// The request crashed targets and is rejected everywhere.
    CrashSuspect = 1105,
    /// The key was fenced before it could start.
    Fenced = 1107,
    /// The active configuration does not contain the service.
    UnknownService = 1109,
    /// The headers or the body exceed their size limits.
    TooLarge = 1111,
    /// The idempotency key was used before with a different body.
    KeyReused = 1112,
    /// The node has not accepted any configuration yet.
    NoConfiguration = 1113,
    /// The configuration in force does not contain the service, but it may be
    /// outdated.
    OutdatedConfiguration = 1114,
    /// The gate's record store is full; the same ticket may be sent again.
    RecordsFull = 1201,
    /// The gate could not be reached; nothing was sent to it.
    GateUnreachable = 1202,
    /// The upload ended before the complete body had arrived.
    UploadCut = 1203,
    /// The ticket, the headers or the path of the request are malformed.
    BadRequest = 1204,
    /// The gate that issued the ticket has ended or been replaced; this attempt
    /// sent nothing to it.
    GateGone = 1301,
    /// The ticket has expired; the gate no longer knows whether an earlier send
    /// ran.
    TicketExpired = 1302,
    /// The ticket is for another gate, service or incarnation of a gate; the
    /// process that this attempt reached never runs it.
    WrongGate = 1303,
    /// The request is still running; the same ticket will fetch its answer.
    StillRunning = 1401,
    /// The gate that may have run the request is gone or cannot be reached.
    GateLost = 2101,
    /// The connection to the target broke while the request was running.
    RunBroken = 2102,
    /// The request ran, but its answer was too large to be stored.
    AnswerNotKept = 2103,
    /// All attempts that the budget allowed for an idempotent call failed.
    AttemptsFailed = 3101,
    /// The deadline of an idempotent call passed while it was running.
    DeadlinePassed = 3102,
    /// The answer was truncated after its head had been forwarded.
    AnswerCut = 3103,
}

impl ResultCode {
    /// Returns the number used in headers, logs and documentation.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with the given number, such as one read from a header.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        for code in Self::VARIANTS {
            if code.number() != number {
                continue;
            }
            return Some(*code);
        }
        None
    }

    /// Returns what the caller can rely on about whether the request ran.
    #[must_use]
    pub const fn certainty(self) -> Certainty {
        match self.number() {
            1000..=1099 => Certainty::Answered,
            1100..=1199 => Certainty::NotRun,
            1200..=1299 => Certainty::NotYet,
            1300..=1399 => Certainty::TicketDead,
            1400..=1499 => Certainty::Pending,
            _ => Certainty::Unknown,
        }
    }

    /// Returns the HTTP status sent with the code when the answer does not come
    /// from the target.
    #[must_use]
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Answered | Self::Replayed => 200,
            Self::TicketNeeded => 307,
            Self::BadRequest | Self::UploadCut => 400,
            Self::UnknownService => 404,
            Self::Fenced | Self::StillRunning | Self::WrongGate => 409,
            Self::TicketExpired | Self::GateGone | Self::AnswerNotKept => 410,
            Self::TooLarge => 413,
            Self::KeyReused | Self::CrashSuspect => 422,
            Self::Overloaded | Self::RecordsFull | Self::GateUnreachable => 503,
            Self::Leaving | Self::NoTarget => 503,
            Self::NoConfiguration | Self::OutdatedConfiguration => 503,
            Self::GateLost | Self::RunBroken | Self::AttemptsFailed | Self::AnswerCut => 502,
            Self::DeadlineTooShort | Self::DeadlinePassed => 504,
        }
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name: &'static str = self.into();
        write!(f, "{} {name}", self.number())
    }
}
