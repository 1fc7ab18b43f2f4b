//! A short record of a call's attempts for the log.

use crate::prelude::*;

/// Refusals are recorded only within this many steps. A call that is refused in
/// every round tries dozens of gates, and the first ones suffice to explain it.
const MAX_STEPS: usize = 8;

/// The attempts of a call in the form `id=end`, separated by spaces.
#[derive(Clone, Debug, Default)]
pub(super) struct Trail {
    text: String,
    steps: usize,
}

impl Trail {
    /// Adds a step. After the first [`MAX_STEPS`], refusals by a gate are dropped.
    pub(super) fn push(&mut self, target: &TargetId, end: &str) {
        self.steps += 1;
        let is_refusal = matches!(end, "slow" | "busy" | "late" | "warming-up");
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
