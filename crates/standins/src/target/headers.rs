//! Headers with which callers command a target's stand-in, and its own.

/// The caller's name of one call, the same on every attempt.
pub const NONCE: &str = "standin-nonce";
/// The caller's count of tickets for one call, from 0: attempts that share a
/// ticket share this number.
pub const TRY: &str = "standin-try";
/// Cuts the answer; see [`super::cut::Cut`].
pub const CUT: &str = "standin-cut";
/// With [`CUT`]: only attempts whose `hitch-attempt` is below this number.
pub const CUT_BELOW_ATTEMPT: &str = "standin-cut-below-attempt";
/// Calls on: `service/path`, several of them separated by commas form a chain.
/// The nonce of each further call has one `+` more at its end.
pub const CALL: &str = "standin-call";
/// Holds the answer back after the run, in milliseconds.
pub const DELAY_MS: &str = "standin-delay-ms";
/// Size of the answer's body.
pub const ANSWER_BYTES: &str = "standin-answer-bytes";
/// Status of the answer.
pub const STATUS: &str = "standin-status";
/// Service time of this call in microseconds, in place of the target's own.
pub const SERVICE_US: &str = "standin-service-us";
/// Crashes the target that runs the request.
pub const CRASH: &str = "standin-crash";
/// Hash of the answer's body, in hexadecimal.
pub const DIGEST: &str = "standin-digest";
/// Name of the target that answered.
pub const TARGET: &str = "standin-target";
/// Number of the run in the target's journal.
pub const RUN: &str = "standin-run";
/// Status of the call that the target made on its part.
pub const CALLED_STATUS: &str = "standin-called-status";
