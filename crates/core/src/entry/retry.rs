//! Decides whether a failed call is retried, and its final code if not.

use crate::entry::{AttemptEnd, CallProgress};
use crate::prelude::*;

/// Maximum number of attempts of a call, however many targets there are.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Calls at this depth or deeper are never retried or hedged.
const DEPTH_LIMIT: u32 = 5;

/// Returns the cost of an extra attempt at a call depth, in tokens of a share
/// budget. The cost doubles with each level, which halves the effective share.
///
/// When the deepest service is overloaded, each layer above it retries on its
/// own. With the same share `s` in each layer, eight layers multiply the load
/// by up to `(1 + s)^8`; with shares that halve per level, the product stays
/// below `e^(2s)`.
pub(crate) fn cost_at_depth(depth: u32) -> Option<u32> {
    if depth >= DEPTH_LIMIT {
        return None;
    }
    Some(1 << depth)
}

/// Whether a call whose attempt ended in this way may run elsewhere, if the
/// budget allows it.
pub(crate) fn may_retry(call: &CallProgress, end: &AttemptEnd) -> bool {
    match end {
        AttemptEnd::Refused(refusal) => another_target_may_help(refusal.code),
        AttemptEnd::Unreachable => true,
        // A request that crashes its target breaks the stream. If it were
        // resent each time, it would crash one target after the other. One
        // retry is enough for a target that failed for another reason, so a
        // second break is final.
        AttemptEnd::Broken => call.idempotent && !call.may_have_run,
        AttemptEnd::Answered { failed: true } | AttemptEnd::TimedOut => call.idempotent,
        AttemptEnd::Answered { failed: false } | AttemptEnd::Cancelled => false,
    }
}

/// Codes that mean "not run" and concern one gate, not the call. A crash
/// suspect is never among them, because resending it spreads the crash.
fn another_target_may_help(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::Overloaded
            | ResultCode::Leaving
            | ResultCode::DeadlineTooShort
            | ResultCode::NoTarget
            | ResultCode::WrongGate
            | ResultCode::UnknownService
            | ResultCode::NoConfiguration
            | ResultCode::OutdatedConfiguration
    )
}

/// Returns the code of the final answer.
///
/// The code means "not run" only if no attempt of the call may have run,
/// including earlier attempts and those still in flight.
pub(crate) fn final_code(call: &CallProgress, end: &AttemptEnd, now: Millis) -> ResultCode {
    let may_have_run = call.may_have_run || end.may_have_run();
    if may_have_run {
        return unknown_code(call, end, now);
    }
    if now >= call.deadline_at {
        return ResultCode::DeadlineTooShort;
    }
    match end {
        AttemptEnd::Refused(refusal) => code_for_caller(refusal.code),
        _ => ResultCode::NoTarget,
    }
}

/// Returns the code for a call that has too little time left for another
/// attempt.
pub(crate) fn deadline_code(call: &CallProgress, end: &AttemptEnd) -> ResultCode {
    if call.may_have_run || end.may_have_run() {
        return ResultCode::DeadlinePassed;
    }
    ResultCode::DeadlineTooShort
}

/// Whether the caller may succeed by retrying the same request later.
pub(crate) fn is_worth_retrying_later(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::Overloaded
            | ResultCode::DeadlineTooShort
            | ResultCode::Leaving
            | ResultCode::NoTarget
            | ResultCode::NoConfiguration
            | ResultCode::OutdatedConfiguration
            | ResultCode::RecordsFull
            | ResultCode::AttemptsFailed
            | ResultCode::DeadlinePassed
    )
}

fn unknown_code(call: &CallProgress, end: &AttemptEnd, now: Millis) -> ResultCode {
    if let AttemptEnd::Refused(refusal) = end
        && end.may_have_run()
    {
        return refusal.code;
    }
    if !call.idempotent {
        return ResultCode::RunBroken;
    }
    if now >= call.deadline_at {
        return ResultCode::DeadlinePassed;
    }
    ResultCode::AttemptsFailed
}

/// Maps codes that only concern the chosen gate to [`ResultCode::NoTarget`],
/// because the caller did not choose that gate.
fn code_for_caller(code: ResultCode) -> ResultCode {
    match code {
        ResultCode::WrongGate
        | ResultCode::UnknownService
        | ResultCode::NoConfiguration
        | ResultCode::OutdatedConfiguration => ResultCode::NoTarget,
        code => code,
    }
}
