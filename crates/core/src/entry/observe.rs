//! Read access for operators; nothing here takes part in decisions.

use super::{EntryService, TargetIndex};
use crate::prelude::*;

impl EntryService {
    /// Returns the view in use.
    #[must_use]
    pub fn view(&self) -> &ServiceView {
        &self.view
    }

    /// Whether a target is currently ejected.
    #[must_use]
    pub fn is_ejected(&self, index: TargetIndex) -> bool {
        self.table.ejected.contains(&index.0)
    }
}
