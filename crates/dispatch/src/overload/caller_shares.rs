//! Equal shares of callers that compete for a service.

use crate::prelude::*;

/// Hash of what identifies a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Recent work of the heaviest callers of each service.
#[derive(Debug, Default)]
pub struct CallerShares {}

impl CallerShares {
    /// Counts offered work of a caller.
    pub fn note_offered(
        &mut self,
        _service: &ServiceName,
        _caller: CallerId,
        _work_ms: Millis,
        _now: Millis,
    ) {
    }

    /// Counts work that was admitted for any caller.
    pub fn note_admitted(&mut self, _service: &ServiceName, _work_ms: Millis, _now: Millis) {}

    /// Returns whether a caller's recent work exceeds its share.
    pub fn exceeds_share(
        &mut self,
        _service: &ServiceName,
        _caller: CallerId,
        _now: Millis,
    ) -> bool {
        false
    }
}
