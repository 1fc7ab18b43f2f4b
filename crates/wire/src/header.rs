//! Names of HTTP headers and reserved paths.

/// The caller's key of a non-idempotent call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Id of one attempt of a caller on the routed path; targets echo it.
pub const REQUEST_ID: &str = "hitch-request-id";
/// On the routed path, the VM whose target alone may run the request.
pub const EXPECTED_VM: &str = "hitch-expected-vm";
/// On the routed path, the service beside which the request began.
pub const CALLER_SERVICE: &str = "hitch-caller-service";
/// The tenant's name.
pub const TENANT: &str = "hitch-tenant";
/// What is left of the deadline, in whole milliseconds.
pub const DEADLINE_MS: &str = "hitch-deadline-ms";
/// End of a ticketed call's deadline, in the clock of the gate that it goes to.
pub const GATE_DEADLINE_AT_MS: &str = "hitch-gate-deadline-at-ms";
/// Depth of the call, 0 at the outermost caller.
pub const DEPTH: &str = "hitch-depth";
/// Number of the result code.
pub const CODE: &str = "hitch-code";
/// Certainty of the result.
pub const CERTAINTY: &str = "hitch-certainty";
/// A ticket for the caller's next non-idempotent call.
pub const NEXT_TICKET: &str = "hitch-next-ticket";
/// When to come back, in milliseconds.
pub const RETRY_AFTER_MS: &str = "hitch-retry-after-ms";
/// The ticket of a call between nodes.
pub const TICKET: &str = "hitch-ticket";
/// The service of a call between nodes.
pub const SERVICE: &str = "hitch-service";
/// The attempt's number, 0 for the first.
pub const ATTEMPT: &str = "hitch-attempt";
/// The call key that a target is shown.
pub const KEY: &str = "hitch-key";
/// The gate's load report.
pub const LOAD: &str = "hitch-load";
/// A target's own state, see [`STATE_DRAINING`].
pub const STATE: &str = "hitch-state";
/// Value of [`STATE`] with which a target asks for no new work.
pub const STATE_DRAINING: &str = "draining";
/// A target's statement that it did not run the request.
pub const NOT_RUN: &str = "hitch-not-run";
/// Control address of the entry that sends a call to a gate.
pub const ENTRY: &str = "hitch-entry";
/// An entry's word that an earlier attempt of the call broke in its run.
pub const SUSPECT: &str = "hitch-suspect";

/// Everything below this path belongs to the system.
pub const RESERVED_PREFIX: &str = "/.hitch/";
/// Path of ticketed calls, followed by the ticket.
pub const TICKETED_PREFIX: &str = "/.hitch/t/";
/// Path at which callers fetch tickets, followed by the service.
pub const TICKETS_PREFIX: &str = "/.hitch/tickets/";
/// Path at which an entry asks a gate about a key, which fences it.
pub const FENCE_PATH: &str = "/.hitch/fence";
