//! Collects the faults and warnings of one check.

use crate::checked::CheckedText;
use crate::fault::KeyPath;
use crate::limits::MAX_REPORTED;
use crate::position::LineIndex;
use crate::prelude::*;

/// The faults and warnings found so far.
pub(crate) struct Report<'i, 't> {
    lines: &'i LineIndex<'t>,
    faults: Vec<Fault>,
    omitted_faults: usize,
    warnings: Vec<Warning>,
}

impl<'i, 't> Report<'i, 't> {
    pub(crate) fn new(lines: &'i LineIndex<'t>) -> Self {
        Self {
            lines,
            faults: Vec::new(),
            omitted_faults: 0,
            warnings: Vec::new(),
        }
    }

    pub(crate) fn lines(&self) -> &'i LineIndex<'t> {
        self.lines
    }

    /// Adds a fault at a byte offset. Faults beyond the limit are only counted,
    /// without calling `describe`, which bounds the cost of a hostile text.
    pub(crate) fn fault(&mut self, offset: usize, describe: impl FnOnce() -> (KeyPath, FaultKind)) {
        if self.faults.len() >= MAX_REPORTED {
            self.omitted_faults += 1;
            return;
        }
        let (path, kind) = describe();
        self.faults.push(Fault {
            position: self.lines.position(offset),
            path,
            kind,
        });
    }

    /// Adds a warning at a byte offset. Warnings beyond the limit are dropped.
    pub(crate) fn warning(
        &mut self,
        offset: usize,
        describe: impl FnOnce() -> (KeyPath, WarningKind),
    ) {
        if self.warnings.len() >= MAX_REPORTED {
            return;
        }
        let (path, kind) = describe();
        self.warnings.push(Warning {
            position: self.lines.position(offset),
            path,
            kind,
        });
    }

    pub(crate) fn into_faults(mut self) -> Faults {
        self.faults
            .sort_by(|a, b| (a.position, &a.path).cmp(&(b.position, &b.path)));
        Faults {
            faults: self.faults,
            omitted: self.omitted_faults,
        }
    }

    /// Returns the resolved text with its warnings, or the faults if there are any.
    pub(crate) fn finish(mut self, mut resolved: CheckedText) -> Result<CheckedText, Faults> {
        if !self.faults.is_empty() {
            return Err(self.into_faults());
        }
        self.warnings
            .sort_by(|a, b| (a.position, &a.path).cmp(&(b.position, &b.path)));
        resolved.warnings = self.warnings;
        Ok(resolved)
    }
}
