//! Names of HTTP headers and reserved paths.

/// The caller's idempotency key of a non-idempotent call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Id of one attempt of a caller on the routed path. Targets echo it.
pub const REQUEST_ID: &str = "hitch-request-id";
/// On the routed path, the only VM whose target may run the request.
pub const EXPECTED_VM: &str = "hitch-expected-vm";
/// On the routed path, the service on whose VM the request originated.
pub const CALLER_SERVICE: &str = "hitch-caller-service";
/// Name of the tenant.
pub const TENANT: &str = "hitch-tenant";
/// Remaining time until the deadline, in whole milliseconds.
pub const DEADLINE_MS: &str = "hitch-deadline-ms";
/// End of a ticketed call's deadline, in the clock of the receiving gate.
pub const GATE_DEADLINE_AT_MS: &str = "hitch-gate-deadline-at-ms";
/// Call depth, 0 at the outermost caller.
pub const DEPTH: &str = "hitch-depth";
/// Number of the result code.
pub const CODE: &str = "hitch-code";
/// Certainty of the result.
pub const CERTAINTY: &str = "hitch-certainty";
/// A ticket for the caller's next non-idempotent call.
pub const NEXT_TICKET: &str = "hitch-next-ticket";
/// Delay before a retry, in milliseconds.
pub const RETRY_AFTER_MS: &str = "hitch-retry-after-ms";
/// The ticket of a call between nodes.
pub const TICKET: &str = "hitch-ticket";
/// The service of a call between nodes.
pub const SERVICE: &str = "hitch-service";
/// Number of the attempt, 0 for the first.
pub const ATTEMPT: &str = "hitch-attempt";
/// The call key that is passed to the target.
pub const KEY: &str = "hitch-key";
/// The gate's load report.
pub const LOAD: &str = "hitch-load";
/// State reported by a target; see [`STATE_DRAINING`].
pub const STATE: &str = "hitch-state";
/// Value of [`STATE`] with which a target requests no new work.
pub const STATE_DRAINING: &str = "draining";
/// A target's statement that it did not run the request.
pub const NOT_RUN: &str = "hitch-not-run";
/// Control address of the entry that sends a call to a gate.
pub const ENTRY: &str = "hitch-entry";
/// Set by an entry if an earlier attempt of the call was interrupted while it ran.
pub const SUSPECT: &str = "hitch-suspect";

/// Prefix of all paths that are reserved for the system.
pub const RESERVED_PREFIX: &str = "/.hitch/";
/// Path of ticketed calls, followed by the ticket.
pub const TICKETED_PREFIX: &str = "/.hitch/t/";
/// Path at which callers fetch tickets, followed by the service.
pub const TICKETS_PREFIX: &str = "/.hitch/tickets/";
/// Path at which an entry queries a gate for the state of a key. The request fences the
/// key.
pub const FENCE_PATH: &str = "/.hitch/fence";
