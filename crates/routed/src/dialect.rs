//! Header names of callers and targets on the native platform.

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
    client_account: Some(header::TENANT),
    warm_up_left_ms: &[],
    max_requests_per_s: &[],
    leaving: &[],
};

/// The native header dialect.
#[derive(Clone, Copy, Debug)]
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn names(&self) -> &HeaderNames {
        &NAMES
    }

    /// Always `None`: native targets report their load for target selection, but not the
    /// speed of their VM.
    fn load(&self, _value: &str) -> Option<TargetLoad> {
        None
    }
}
