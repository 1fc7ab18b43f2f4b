//! Request headers that control a stand-in for a target, and the headers of its
//! answers.

/// The caller's identifier of a call, the same on every attempt.
pub const NONCE: &str = "standin-nonce";
/// Number of the caller's try, from 0. Attempts under the same ticket have the
/// same number.
pub const TRY: &str = "standin-try";
/// Cuts the answer; see [`super::cut::Cut`].
pub const CUT: &str = "standin-cut";
/// Limits [`CUT`] to attempts whose `hitch-attempt` is below this number.
pub const CUT_BELOW_ATTEMPT: &str = "standin-cut-below-attempt";
/// Makes the target call another service, given as `service/path`. Several of
/// them, separated by commas, form a chain. Each further call appends a `+` to
/// the nonce.
pub const CALL: &str = "standin-call";
/// Delay of the answer after the run, in milliseconds.
pub const DELAY_MS: &str = "standin-delay-ms";
/// Minimum size of the answer body, in bytes.
pub const ANSWER_BYTES: &str = "standin-answer-bytes";
/// Status of the answer.
pub const STATUS: &str = "standin-status";
/// Service time of this call in microseconds, instead of a drawn one.
pub const SERVICE_US: &str = "standin-service-us";
/// Crashes the target that runs the request.
pub const CRASH: &str = "standin-crash";
/// Hash of the answer body, in hexadecimal.
pub const DIGEST: &str = "standin-digest";
/// Name of the target that answered.
pub const TARGET: &str = "standin-target";
/// Number of the run in the target's journal.
pub const RUN: &str = "standin-run";
/// Status of the downstream call that the target made.
pub const CALLED_STATUS: &str = "standin-called-status";
