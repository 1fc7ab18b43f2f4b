//! What callers and targets of a deployment call the fields of their heads.

use std::fmt::Debug;

/// Names of header fields, as they stand on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; targets echo it.
    pub request_id: &'static str,
    /// Milliseconds that are left until the sender gives up.
    pub deadline_ms: &'static str,
    /// The target's mark on its own answers, where targets make one; then a
    /// success without it is none.
    pub digest: Option<&'static str>,
    /// Id of the only life of a target that may run the request.
    pub expected_target: &'static str,
    /// Load report of a target.
    pub load: &'static str,
    /// A target's statement that it did not run the request.
    pub not_run: &'static str,
    /// Service beside which the request began.
    pub caller_service: &'static str,
}

/// A target's own report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the target.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that work takes on its VM now, in percent of the usual; `None` when
    /// it does not tell.
    pub slowness_percent: Option<u32>,
}

/// How to read and write the heads of a deployment.
pub trait Dialect: Debug + Send + Sync {
    /// The names of its header fields.
    fn names(&self) -> &HeaderNames;

    /// Reads a load report; `None` when it is malformed.
    fn load(&self, value: &str) -> Option<TargetLoad>;
}
