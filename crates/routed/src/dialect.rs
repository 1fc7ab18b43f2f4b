//! What our own callers and targets call the fields of their heads.

use hornbeamhitch_edge::dialect::{Dialect, HeaderNames, TargetLoad};
use hornbeamhitch_wire::header;

const NAMES: HeaderNames = HeaderNames {
    request_id: header::REQUEST_ID,
    deadline_ms: header::DEADLINE_MS,
    digest: None,
    expected_target: header::EXPECTED_VM,
    load: header::LOAD,
    not_run: header::NOT_RUN,
    caller_service: header::CALLER_SERVICE,
};

/// The heads of our own deployments.
#[derive(Clone, Copy, Debug)]
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn names(&self) -> &HeaderNames {
        &NAMES
    }

    /// Our targets tell their load for picking, and nothing of their VM's speed.
    fn load(&self, _value: &str) -> Option<TargetLoad> {
        None
    }
}
