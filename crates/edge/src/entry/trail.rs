//! What a call was told on its way, in short.

use crate::prelude::*;

/// A call that is refused round after round asks dozens of gates; the first and
/// the number of the rest say enough.
const MAX_STEPS: usize = 8;

/// Targets that were asked, and what came of each, as `id=end` with a blank in
/// between.
#[derive(Clone, Debug, Default)]
pub(super) struct Trail {
    text: String,
    steps: usize,
}

impl Trail {
    /// Adds a step. Beyond the first few, only those that a target itself was
    /// reached in are kept.
    pub(super) fn push(&mut self, target: &TargetId, end: &str) {
        self.steps += 1;
        let is_refusal = matches!(end, "slow" | "busy" | "late");
        if self.steps > MAX_STEPS && is_refusal {
            return;
        }
        if !self.text.is_empty() {
            self.text.push(' ');
        }
        self.text.push_str(target.as_str());
        self.text.push('=');
        self.text.push_str(end);
    }

    pub(super) fn as_str(&self) -> &str {
        &self.text
    }
}
