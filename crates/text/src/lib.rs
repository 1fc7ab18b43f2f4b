//! The configuration text: parsing, checks, differences and explanations.
//!
//! Operators write one text in JSON with comments. [`check`] either resolves it
//! to the policies that the nodes run by, or names every fault with its line,
//! column, reason and what is allowed instead. [`diff`] says in words what an
//! edit changes, and [`explain`] where each value of a service comes from.
//!
//! Nothing here does I/O, and every result depends on the text alone: the
//! operator's command line and each node come to the same verdict.

pub mod change;
pub mod checked;
pub mod explanation;
pub mod fault;
pub mod position;
pub mod prelude;
pub mod setting;
pub mod warning;

mod depth;
mod diff;
mod draft;
mod explain;
mod graph;
mod keys;
mod limits;
mod name;
mod nearest;
mod number;
mod read;
mod reader;
mod relations;
mod report;
mod resolve;
mod syntax;

pub use change::Change;
pub use checked::{CheckedText, HostRoute};
pub use diff::diff;
pub use explain::explain;
pub use explanation::{Explanation, UnknownService};
pub use fault::{Fault, FaultKind, Faults};
pub use limits::MAX_TEXT_BYTES;
pub use position::Position;
pub use setting::Setting;
pub use syntax::SYNTAX;
pub use warning::{Warning, WarningKind};

use fault::KeyPath;
use position::LineIndex;
use report::Report;

/// Checks a text as it came from a file or the platform.
///
/// # Errors
///
/// As [`check`]; bytes that are not UTF-8 are a fault.
pub fn check_bytes(bytes: &[u8]) -> Result<CheckedText, Faults> {
    let error = match std::str::from_utf8(bytes) {
        Ok(text) => return check(text),
        Err(error) => error,
    };
    let valid = bytes.get(..error.valid_up_to()).unwrap_or_default();
    let valid = std::str::from_utf8(valid).unwrap_or_default();
    let lines = LineIndex::new(valid);
    let mut report = Report::new(&lines);
    report.fault(valid.len(), || (KeyPath::default(), FaultKind::NotUtf8));
    Err(report.into_faults())
}

/// Checks a whole text and resolves it.
///
/// # Errors
///
/// Every fault found, ordered by position. A text with a syntax error is read
/// on leniently where that is possible, so that its other faults show too.
pub fn check(text: &str) -> Result<CheckedText, Faults> {
    let lines = LineIndex::new(text);
    let mut report = Report::new(&lines);
    let Some(root) = syntax::parse(text, &mut report) else {
        return Err(report.into_faults());
    };
    let draft = read::text(&root, &mut report);
    graph::check(&draft, &mut report);
    let resolved = resolve::text(&draft, &lines, &mut report);
    relations::check(&draft, &resolved, &mut report);
    report.finish(resolved)
}
