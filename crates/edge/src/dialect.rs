//! Header names and header formats that differ between deployments.

use std::fmt::Debug;

/// Names of header fields on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, which targets echo.
    pub request_id: &'static str,
    /// Milliseconds until the sender gives up.
    pub deadline_ms: &'static str,
    /// Digest with which targets mark their own answers; `None` if they send none.
    /// Where it is set, a successful answer without it is treated as broken.
    pub digest: Option<&'static str>,
    /// Id of the only target incarnation that may run the request.
    pub expected_target: &'static str,
    /// Load report of the target.
    pub load: &'static str,
    /// States that the target did not run the request.
    pub not_run: &'static str,
    /// Service on the VM from which the request originates.
    pub caller_service: &'static str,
    /// Client account on whose behalf a caller sends a request; `None` if callers do not
    /// state it.
    pub client_account: Option<&'static str>,
    /// Milliseconds for which the target stays cold; the first name that an answer has
    /// counts. Empty if targets do not report it.
    pub warm_up_left_ms: &'static [&'static str],
    /// Requests per second that the target accepts from all nodes together, as a decimal
    /// number; the first name that an answer has counts.
    pub max_requests_per_s: &'static [&'static str],
    /// `1` if the target is leaving; the first name that an answer has counts.
    pub leaving: &'static [&'static str],
}

/// A target's report of its own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued in the target.
    pub waiting: u32,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Current run time on the target's VM, in percent of the usual; `None` if the
    /// target does not report it.
    pub slowness_percent: Option<u32>,
}

/// Reads and writes the header fields of a deployment.
pub trait Dialect: Debug + Send + Sync {
    /// Returns the names of the header fields.
    fn names(&self) -> &HeaderNames;

    /// Parses a load report; returns `None` if it is malformed.
    fn load(&self, value: &str) -> Option<TargetLoad>;
}
