//! Control state: membership, configuration, dissemination, leaving.

mod api;
mod status;

pub use api::{
    CheckedText, ControlAction, ControlEvent, ControlSettings, PlatformRead, RequestId,
    TextChecker, TextRefusal,
};
pub use status::{
    ControlCounters, ControlStatus, MemberState, MemberStatus, PlatformState, ReaderStatus,
    RefusedText, ServiceStatus,
};

use crate::prelude::*;

/// The control half of one node.
pub struct Control {
    settings: ControlSettings,
    checker: Box<dyn TextChecker + Send>,
}

impl Control {
    /// A node that knows nothing yet.
    #[must_use]
    pub fn new(
        settings: ControlSettings,
        checker: Box<dyn TextChecker + Send>,
        _now: Millis,
    ) -> Self {
        Self { settings, checker }
    }

    /// Takes in an event and says what shall be done, in this order.
    pub fn handle(&mut self, _event: ControlEvent, _now: Millis) -> Vec<ControlAction> {
        let _ = (&self.settings, &self.checker);
        Vec::new()
    }

    /// What operators see.
    #[must_use]
    pub fn status(&self, _now: Millis) -> ControlStatus {
        ControlStatus::default()
    }
}
