//! Whether a failed call gets another attempt, and its final answer if not.

use crate::entry::{AttemptEnd, CallProgress};
use crate::prelude::*;

/// Attempts of one call at most, however many targets there are.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Calls at this depth or deeper are never retried or hedged.
const DEPTH_LIMIT: u32 = 5;

/// What an extra attempt costs at a depth, in tokens of a share budget: double
/// per level, so that the share halves.
///
/// Failure answered: the deepest service is overloaded and each layer above
/// resends on its own account. With equal shares `s` eight layers multiply to
/// `(1 + s)^8`; with halved ones the product stays below `e^(2s)`.
pub(crate) fn cost_at_depth(depth: u32) -> Option<u32> {
    if depth >= DEPTH_LIMIT {
        return None;
    }
    Some(1 << depth)
}

/// Whether a call that ended so may run elsewhere, budgets aside.
pub(crate) fn may_retry(call: &CallProgress, end: &AttemptEnd) -> bool {
    match end {
        AttemptEnd::Refused(refusal) => another_target_may_help(refusal.code),
        AttemptEnd::Unreachable => true,
        // A request that crashes its target breaks the stream. Sent again each
        // time, it would take down one target after the other; a second break
        // is final, one retry is enough for a target that died of itself.
        AttemptEnd::Broken => call.idempotent && !call.may_have_run,
        AttemptEnd::Answered { failed: true } | AttemptEnd::TimedOut => call.idempotent,
        AttemptEnd::Answered { failed: false } | AttemptEnd::Cancelled => false,
    }
}

/// Codes that state "not run" and are about one gate, not about the call. A
/// crash suspect is never among them: resending it is what spreads the crash.
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
    )
}

/// The code of the final answer.
///
/// "Not run" is said only when no attempt of the call may have run, the
/// earlier ones and those still out included.
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

/// The code when the time that is left is too short for another attempt.
pub(crate) fn deadline_code(call: &CallProgress, end: &AttemptEnd) -> ResultCode {
    if call.may_have_run || end.may_have_run() {
        return ResultCode::DeadlinePassed;
    }
    ResultCode::DeadlineTooShort
}

/// Whether a caller gains from coming back unchanged.
pub(crate) fn is_worth_retrying_later(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::Overloaded
            | ResultCode::DeadlineTooShort
            | ResultCode::Leaving
            | ResultCode::NoTarget
            | ResultCode::NoConfiguration
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

/// A gate that does not know the service has nothing to tell the caller, who
/// never chose it.
fn code_for_caller(code: ResultCode) -> ResultCode {
    match code {
        ResultCode::WrongGate | ResultCode::UnknownService | ResultCode::NoConfiguration => {
            ResultCode::NoTarget
        }
        code => code,
    }
}
