//! What operators may see of an entry; decides nothing.

use super::{EntryService, TargetIndex};
use crate::prelude::*;

impl EntryService {
    /// The view in use.
    #[must_use]
    pub fn view(&self) -> &ServiceView {
        &self.view
    }

    /// Whether a target is ejected at present.
    #[must_use]
    pub fn is_ejected(&self, index: TargetIndex) -> bool {
        self.table.ejected.contains(&index.0)
    }
}
